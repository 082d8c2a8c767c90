use std::collections::HashSet;

use verbenaspool_policy::{
    member::{Member, Peer},
    subset,
};

use super::common::{member, name};

const ZONES: usize = 3;
const SUBSET_SIZE: usize = 16;

fn members(count: usize) -> Vec<Member> {
    (0..count)
        .map(|i| Member {
            zone: name(&format!("zone-{}", i % ZONES)),
            ..member(&format!("upstream-{i}"))
        })
        .collect()
}

fn peers(count: usize) -> Vec<Peer> {
    (0..count)
        .map(|i| Peer {
            name: name(&format!("entry-{i}")),
            zone: name(&format!("zone-{}", i % ZONES)),
        })
        .collect()
}

/// The names of the upstreams in each entry's subset.
fn choose(peers: &[Peer], members: &[Member]) -> Vec<HashSet<String>> {
    let names = |indices: Vec<usize>| {
        indices
            .iter()
            .map(|&i| members[i].name.to_string())
            .collect()
    };
    let chosen = |peer: &Peer| subset::choose(&peer.name, &peer.zone, peers, members, SUBSET_SIZE);
    peers.iter().map(|peer| names(chosen(peer))).collect()
}

#[test]
fn subsets_of_small_services_have_all_upstreams() {
    let members = members(SUBSET_SIZE);
    assert!(
        choose(&peers(4), &members)
            .iter()
            .all(|chosen| chosen.len() == SUBSET_SIZE)
    );
    assert!(choose(&peers(4), &[]).iter().all(HashSet::is_empty));
}

/// Random subsets would leave some upstreams idle and overload others.
#[test]
fn every_upstream_is_used_by_about_as_many_entries() {
    let (peers, members) = (peers(90), members(240));
    let chosen = choose(&peers, &members);
    let sizes = chosen.iter().map(HashSet::len);
    assert!(
        sizes
            .clone()
            .all(|size| (SUBSET_SIZE / 2..=SUBSET_SIZE * 3 / 2).contains(&size))
    );
    let entries = |member: &Member| {
        chosen
            .iter()
            .filter(|c| c.contains(member.name.as_str()))
            .count()
    };
    let (min_entries, max_entries) = members
        .iter()
        .map(entries)
        .fold((90, 0), |(l, m), n| (l.min(n), m.max(n)));
    assert!(
        min_entries >= 3 && max_entries <= 8,
        "{min_entries} to {max_entries} entries per upstream"
    );
}

/// Guards against a change of the list that changes every entry's subset, so that no
/// upstream has the prefixes of its new requests cached.
#[test]
fn a_removed_upstream_moves_few_selections() {
    let (peers, members) = (peers(90), members(240));
    let before = choose(&peers, &members);
    let after = choose(&peers, &members[1..]);
    let moved: usize = before
        .iter()
        .zip(&after)
        .map(|(b, a)| a.difference(b).count())
        .sum();
    let all: usize = before.iter().map(HashSet::len).sum();
    assert!(moved * 50 <= all, "{moved} of {all} moved");
}
