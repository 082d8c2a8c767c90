//! Concurrent applies, each followed by a garbage collection.

use std::collections::BTreeMap;

use proptest::prelude::*;
use verbenaspool_coordination::{
    apply::{Apply, Outcome, Request},
    gc::Collection,
    head::Head,
    keys,
    piece::{self, Pieces},
    store::{Answer, Call, Machine, Step},
};
use verbenaspool_state::{customer::Customer, file::File, name::Name, version::Version};

use crate::model::{Event, Store, runner, runs};

/// The firm whose files are applied.
fn firm() -> Name {
    "tidewater".parse().unwrap()
}

/// Creates a file of 12 customers whose shares depend on `mark`. Files repeat among the
/// marks, so that pieces are dropped and come back.
fn file(mark: u32) -> File {
    let customer = |i: u32| Customer {
        name: format!("customer-{i}").parse().unwrap(),
        share: if i == mark % 12 { 1 + mark % 9 } else { 1 },
        credentials: Vec::new(),
        services: Vec::new(),
    };
    File {
        firm: firm(),
        places: Vec::new(),
        services: Vec::new(),
        customers: (0..12).map(customer).collect(),
    }
}

/// Creates an apply with the given id.
fn apply(id: &str, mark: u32) -> Apply {
    Apply::new(Request {
        firm: firm(),
        id: id.to_owned(),
        expected_version: None,
        split: piece::split(&file(mark)).unwrap(),
    })
}

/// An operator that runs an apply, then the garbage collection after it.
struct Operator {
    id: String,
    mark: u32,
    apply: Apply,
    collection: Option<Collection>,
}

impl Operator {
    fn new(id: String, mark: u32) -> Self {
        let apply = apply(&id, mark);
        Self {
            id,
            mark,
            apply,
            collection: None,
        }
    }
}

/// Returns the stored head.
fn head(store: &Store) -> Option<Head> {
    let (_, value) = store.objects.get(&keys::head(&firm()))?;
    Head::from_bytes(value)
}

/// Whether all pieces that the head references exist.
fn is_complete(store: &Store) -> bool {
    let Some(head) = head(store) else {
        return true;
    };
    let mut pieces = Pieces::default();
    let prefix = keys::pieces(&firm());
    for (key, (_, value)) in &store.objects {
        if let Some(hash) = key.strip_prefix(&prefix) {
            pieces.insert(hash.parse().unwrap(), value).unwrap();
        }
    }
    pieces
        .missing(head.root)
        .is_ok_and(|missing| missing.is_empty())
}

// Guards against operators that are told a wrong outcome, skipped versions, and missing
// pieces. Three operators apply files concurrently while calls are lost or delayed,
// answers are lost, operators abandon their applies, and collections run in between.
#[test]
fn reported_outcomes_are_true() {
    let outcome = runner(400).run(&runs(), |events| {
        let mut store = Store::default();
        let mut checked_revision = 0;
        let mut operators: Vec<Operator> = (0..3)
            .map(|i| Operator::new(format!("{i}-first"), i))
            .collect();
        let mut accepted: BTreeMap<u64, String> = BTreeMap::new();
        let mut rejected: Vec<String> = Vec::new();
        let mut reported: Vec<(String, u64)> = Vec::new();
        for (number, event) in events.into_iter().enumerate() {
            let next = u32::try_from(number).unwrap();
            match event {
                Event::DeliverDelayed => {
                    if !store.delayed.is_empty() {
                        let call = store.delayed.remove(0);
                        store.execute(call);
                    }
                }
                Event::Call(index, fault) => {
                    let operator = &mut operators[index];
                    if let Some(collection) = &mut operator.collection {
                        if store.call_next(collection, fault).is_some() {
                            *operator = Operator::new(format!("{index}-{number}"), next);
                        }
                    } else if let Some(outcome) = store.call_next(&mut operator.apply, fault) {
                        match outcome {
                            Outcome::Accepted {
                                version,
                                object_version,
                            } => {
                                reported.push((operator.id.clone(), version.0));
                                let split = piece::split(&file(operator.mark)).unwrap();
                                let kept = split.pieces.keys().copied().collect();
                                let object_version = object_version.unwrap_or_default();
                                operator.collection =
                                    Some(Collection::new(firm(), object_version, kept));
                            }
                            Outcome::Conflict { .. } | Outcome::Failed(_) => {
                                rejected.push(operator.id.clone());
                                *operator = Operator::new(format!("{index}-{number}"), next);
                            }
                            Outcome::Unchanged(_) | Outcome::Unknown(_) => {
                                *operator = Operator::new(format!("{index}-{number}"), next);
                            }
                        }
                    }
                }
                Event::Abandon(index) => {
                    let operator = &mut operators[index];
                    if let Outcome::Failed(_) = operator.apply.abandon() {
                        rejected.push(operator.id.clone());
                    }
                    *operator = Operator::new(format!("{index}-{number}"), next);
                }
            }
            if let Some(head) = head(&store) {
                let last = accepted.last_key_value().map_or(0, |(version, _)| *version);
                prop_assert!(head.version.0 == last || head.version.0 == last + 1);
                let id = accepted.entry(head.version.0).or_insert(head.apply.clone());
                prop_assert_eq!(&*id, &head.apply);
            }
            if checked_revision != store.revision {
                prop_assert!(
                    is_complete(&store),
                    "the head refers to a piece that is gone"
                );
                checked_revision = store.revision;
            }
        }
        for (id, version) in reported {
            prop_assert_eq!(accepted.get(&version), Some(&id));
        }
        for id in rejected {
            prop_assert!(!accepted.values().any(|a| *a == id), "{} was rejected", id);
        }
        Ok(())
    });
    outcome.unwrap();
}

/// Runs a state machine to its outcome without faults.
fn run<T>(store: &mut Store, machine: &mut dyn Machine<Outcome = T>) -> T {
    loop {
        match machine.step() {
            Step::Done(outcome) => return outcome,
            Step::Call(call) | Step::Retry(call) => {
                let answer = store.execute(call);
                machine.answer(answer);
            }
        }
    }
}

#[test]
fn expected_version() {
    let mut store = Store::default();
    let mut request = Request {
        firm: firm(),
        id: "one".to_owned(),
        expected_version: Some(Version(0)),
        split: piece::split(&file(1)).unwrap(),
    };
    let first = run(&mut store, &mut Apply::new(request.clone()));
    assert!(matches!(
        first,
        Outcome::Accepted {
            version: Version(1),
            ..
        }
    ));
    "two".clone_into(&mut request.id);
    request.split = piece::split(&file(2)).unwrap();
    let stale = run(&mut store, &mut Apply::new(request.clone()));
    let (expected, current) = (Version(0), Version(1));
    assert_eq!(stale, Outcome::Conflict { expected, current });
    request.expected_version = Some(Version(1));
    let second = run(&mut store, &mut Apply::new(request.clone()));
    assert!(matches!(
        second,
        Outcome::Accepted {
            version: Version(2),
            ..
        }
    ));
    // Applying the accepted file again needs no new version.
    request.expected_version = None;
    "three".clone_into(&mut request.id);
    let same = run(&mut store, &mut Apply::new(request));
    assert_eq!(same, Outcome::Unchanged(Version(2)));
}

// Guards against reporting an accepted file as failed: the answer to a swap is lost,
// and by the time its operator asks again, ten more versions were accepted and the head
// no longer lists the apply.
#[test]
fn forgotten_apply_is_unknown() {
    let mut store = Store::default();
    let mut lost = apply("lost", 100);
    while !matches!(lost.step(), Step::Call(Call::Put { key, .. }) if key.ends_with("head")) {
        let Step::Call(call) = lost.step() else {
            unreachable!("no call fails here");
        };
        let answer = store.execute(call);
        lost.answer(answer);
    }
    let Step::Call(swap) = lost.step() else {
        unreachable!("the loop ended on it");
    };
    store.execute(swap);
    lost.answer(Answer::Lost("lost".to_owned()));
    for mark in 0..10 {
        let outcome = run(&mut store, &mut apply(&format!("later-{mark}"), mark + 20));
        assert!(matches!(outcome, Outcome::Accepted { .. }));
    }
    assert!(matches!(run(&mut store, &mut lost), Outcome::Unknown(_)));
}
