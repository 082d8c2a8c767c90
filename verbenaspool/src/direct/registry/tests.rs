//! Tests of the changes that are sent to peers.

use std::{collections::BTreeMap, time::Duration};

use verbenaspool_platform::store::Object;
use verbenaspool_state::{position::Position, provenance::Provenance};

use super::{COPIED_OBJECT_TIME, Changes, MAX_REMOVALS, Registry, Snapshot, Source};

/// The objects with these names and revisions.
fn objects(list: &[(&str, u64)]) -> BTreeMap<String, Object> {
    let object = |&(name, revision): &(&str, u64)| Object {
        name: name.to_owned(),
        revision,
        specification: format!(
            r#"{{"service":"jobs","address":"127.0.0.1:{revision}","zone":"a","state":"ready"}}"#
        ),
        status: "null".to_owned(),
    };
    let named = list.iter().map(|entry| (entry.0.to_owned(), object(entry)));
    named.collect()
}

fn update(registry: &mut Registry, revision: u64, list: &[(&str, u64)]) {
    replace(registry, revision, &objects(list));
}

/// The position of a revision in the first era of the store.
fn at(revision: u64) -> Position {
    Position::new(1, revision)
}

/// Replaces the objects by those of a snapshot that isn't outdated.
fn replace(registry: &mut Registry, revision: u64, objects: &BTreeMap<String, Object>) {
    let position = at(revision);
    let snapshot = Snapshot {
        objects,
        position,
        outdated: false,
        listed: 0,
        source: Source::Listing,
    };
    registry.update(Duration::from_secs(1), Duration::ZERO, &snapshot);
}

/// Applies the changes after a revision to older objects.
fn apply(registry: &Registry, since: u64, list: &[(&str, u64)]) -> BTreeMap<String, Object> {
    let Changes { changed, removed } = registry.changes(at(since)).expect("the changes are known");
    let mut objects = objects(list);
    for name in &removed {
        objects.remove(name);
    }
    let changed = changed.into_iter();
    objects.extend(changed.map(|object| (object.name.clone(), object)));
    objects
}

/// Guards against a peer that keeps a removed upstream, or misses a changed one, because it
/// gets changes instead of all objects.
#[test]
fn changes_lead_to_the_same_objects_from_each_revision() {
    let mut registry = Registry::default();
    let states: [(u64, &[(&str, u64)]); 4] = [
        (10, &[("a", 4), ("b", 9)]),
        (20, &[("a", 4), ("b", 15), ("c", 20)]),
        (30, &[("b", 15), ("c", 20)]),
        // `a` has registered again.
        (40, &[("a", 36), ("c", 40)]),
    ];
    for (revision, list) in states {
        update(&mut registry, revision, list);
    }
    for (revision, list) in states {
        assert_eq!(
            apply(&registry, revision, list),
            objects(states[3].1),
            "{revision}"
        );
    }
    assert_eq!(
        registry.changes(at(5)),
        None,
        "removals before the first listing are unknown"
    );
}

/// Guards against a peer that misses removals which are no longer remembered.
#[test]
fn changes_are_unknown_after_too_many_removals() {
    let mut registry = Registry::default();
    let names: Vec<String> = (0..=MAX_REMOVALS).map(|n| format!("i-{n}")).collect();
    let list: Vec<(&str, u64)> = names.iter().map(|name| (&**name, 5)).collect();
    update(&mut registry, 10, &list);
    update(&mut registry, 20, &list[1..]);
    assert!(registry.changes(at(10)).is_some());
    update(&mut registry, 30, &[]);
    assert_eq!(registry.changes(at(10)), None);
    assert!(registry.changes(at(20)).is_some());
}

/// The object of an upstream that started at this time, at an address that all of them share.
fn started(name: &str, revision: u64, born: &str) -> Object {
    Object {
        name: name.to_owned(),
        revision,
        specification: format!(
            r#"{{"service":"jobs","address":"127.0.0.1:80","zone":"a","state":"ready"{born}}}"#
        ),
        status: "null".to_owned(),
    }
}

/// Ids of the upstreams that get requests.
fn used(registry: &Registry) -> Vec<String> {
    registry
        .iter()
        .map(|replica| replica.id.to_string())
        .collect()
}

/// Guards against requests to upstreams that crashed: their entries stay for nine seconds, while
/// their successors have registered at the same addresses. As all machines of a fleet came
/// back, half of the registry was of that kind, and more than half of the requests used up
/// their attempts on it.
#[test]
fn an_upstream_is_replaced_by_the_next_one_at_its_address() {
    for (first, second) in [
        (r#","born":1000"#, r#","born":2000"#),
        // The revision decides if they don't say when they started.
        ("", ""),
    ] {
        let mut registry = Registry::default();
        let objects = [started("i-9", 5, first), started("i-1", 7, second)];
        let named = objects
            .into_iter()
            .map(|object| (object.name.clone(), object));
        replace(&mut registry, 10, &named.collect());
        assert_eq!(used(&registry), ["i-1"], "{first}");
        let address = "127.0.0.1:80".parse().expect("an address");
        assert_eq!(
            registry.at(address).map(|replica| &*replica.id),
            Some("i-1")
        );
    }
}

/// Guards against an entry of another writer that takes the address of an upstream for good.
#[test]
fn an_entry_whose_upstream_doesnt_answer_gives_way() {
    let mut registry = Registry::default();
    let objects = [
        started("i-1", 5, r#","born":1000"#),
        started("i-2", 7, r#","born":9000"#),
    ];
    let named = objects
        .into_iter()
        .map(|object| (object.name.clone(), object));
    replace(&mut registry, 10, &named.collect());
    assert!(registry.record_replaced(&"i-2".into()));
    assert_eq!(used(&registry), ["i-1"]);
    assert!(!registry.record_replaced(&"i-3".into()), "unknown");
}

/// Guards against a peer that keeps a removed upstream: a first listing that may be outdated has the
/// revision of its newest object, and says nothing of removals after that.
#[test]
fn removals_before_an_outdated_listing_are_unknown() {
    let mut registry = Registry::default();
    let first = objects(&[("b", 9)]);
    let outdated = Snapshot {
        objects: &first,
        position: at(9),
        outdated: true,
        listed: 0,
        source: Source::OutdatedListing,
    };
    registry.update(Duration::from_secs(1), Duration::ZERO, &outdated);
    let mut confirmed = registry;
    confirmed.confirm(Provenance {
        position: at(46),
        ..Provenance::default()
    });
    let mut listed = Registry::default();
    listed.update(Duration::from_secs(1), Duration::ZERO, &outdated);
    replace(&mut listed, 46, &first);
    for registry in [confirmed, listed] {
        assert_eq!(registry.changes(at(9)), None);
        assert!(!registry.accepts(&outdated));
        assert!(registry.changes(at(46)).is_some());
    }
}

/// A snapshot of a later era, with a lower revision, replaces the objects.
fn restore(registry: &mut Registry, now: Duration, until: Duration, list: &[Object]) {
    let named = list.iter().map(|o| (o.name.clone(), o.clone()));
    let objects = named.collect();
    let snapshot = Snapshot {
        objects: &objects,
        position: Position::new(registry.position.era + 1, 4),
        outdated: false,
        listed: 0,
        source: Source::Listing,
    };
    assert!(registry.accepts(&snapshot));
    registry.update(now, until, &snapshot);
}

/// Guards against a peer that gets the changes since a revision of an earlier era of the store,
/// where the same number meant another state, and against objects of that era that replace later
/// ones.
#[test]
fn positions_of_another_era_are_no_base_for_changes() {
    let mut registry = Registry::default();
    update(&mut registry, 9, &[("a", 4), ("b", 9)]);
    let now = Duration::from_secs(5);
    restore(&mut registry, now, now, &[started("b", 3, "")]);
    assert_eq!(registry.changes(at(9)), None);
    assert_eq!(registry.changes(at(4)), None);
    assert!(registry.changes(Position::new(2, 4)).is_some());
    let late = objects(&[("a", 4), ("b", 9)]);
    let late = Snapshot {
        objects: &late,
        position: at(12),
        outdated: false,
        listed: 0,
        source: Source::Listing,
    };
    assert!(!registry.accepts(&late));
}

/// Guards against an upstream that stays without requests because its object was removed before the
/// store came back from a copy, although it runs and its object doesn't expire.
#[test]
fn an_upstream_that_returns_with_a_copy_is_left_out_for_a_time() {
    let mut registry = Registry::default();
    let named = |list: &[Object]| {
        let named = list.iter().map(|o| (o.name.clone(), o.clone()));
        named.collect::<BTreeMap<_, _>>()
    };
    let upstream = started("i-1", 4, r#","born":1000"#);
    replace(&mut registry, 5, &named(std::slice::from_ref(&upstream)));
    replace(&mut registry, 6, &named(&[]));
    let now = Duration::from_secs(3);
    restore(&mut registry, now, now, std::slice::from_ref(&upstream));
    assert!(used(&registry).is_empty());
    assert!(!registry.readmit(now + COPIED_OBJECT_TIME / 2));
    assert!(registry.readmit(now + COPIED_OBJECT_TIME));
    assert_eq!(used(&registry), ["i-1"]);
}

/// Guards against an upstream that gets no requests because another writer's entry of a service
/// that no configuration names has its address and a later start.
#[test]
fn an_entry_of_an_unknown_service_displaces_no_upstream() {
    let mut registry = Registry::default();
    let mut foreign = started("i-2", 7, r#","born":9000"#);
    foreign.specification = foreign.specification.replace("jobs", "unknown");
    let objects = [started("i-1", 5, r#","born":1000"#), foreign];
    let named = objects
        .into_iter()
        .map(|object| (object.name.clone(), object));
    replace(&mut registry, 10, &named.collect());
    registry.set_services(["jobs".into()].into());
    assert_eq!(used(&registry), ["i-1"]);
    // The address was assigned to an upstream of a service that the configuration adds.
    registry.set_services(["jobs".into(), "unknown".into()].into());
    assert_eq!(used(&registry), ["i-2"]);
}
