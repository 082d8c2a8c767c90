use std::collections::HashSet;

use verbenaspool_policy::{
    member::{Member, Peer},
    subset,
};

use super::world::{member, name};

const ZONES: usize = 3;
const SIZE: usize = 16;

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

/// The names each entry works with.
fn choose(peers: &[Peer], members: &[Member]) -> Vec<HashSet<String>> {
    let names = |places: Vec<usize>| {
        places
            .iter()
            .map(|&i| members[i].name.to_string())
            .collect()
    };
    let chosen = |peer: &Peer| subset::choose(&peer.name, &peer.zone, peers, members, SIZE);
    peers.iter().map(|peer| names(chosen(peer))).collect()
}

#[test]
fn small_services_are_used_whole() {
    let members = members(SIZE);
    assert!(
        choose(&peers(4), &members)
            .iter()
            .all(|chosen| chosen.len() == SIZE)
    );
    assert!(choose(&peers(4), &[]).iter().all(HashSet::is_empty));
}

/// Random subsets leave some upstreams idle while others are overrun.
#[test]
fn every_upstream_is_used_by_about_as_many_entries() {
    let (peers, members) = (peers(90), members(240));
    let chosen = choose(&peers, &members);
    let sizes = chosen.iter().map(HashSet::len);
    assert!(
        sizes
            .clone()
            .all(|size| (SIZE / 2..=SIZE * 3 / 2).contains(&size))
    );
    let entries = |member: &Member| {
        chosen
            .iter()
            .filter(|c| c.contains(member.name.as_str()))
            .count()
    };
    let (least, most) = members
        .iter()
        .map(entries)
        .fold((90, 0), |(l, m), n| (l.min(n), m.max(n)));
    assert!(
        least >= 3 && most <= 8,
        "{least} to {most} entries an upstream"
    );
}

/// Each change of the list moves everyone's subset, and every cache goes cold.
#[test]
fn a_change_moves_few() {
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
