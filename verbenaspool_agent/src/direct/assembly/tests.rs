use std::time::Duration;

use verbenaspool_protocol::member::{Difference, Move, placement_hash};
use verbenaspool_state::engine::Experts;

use super::{INITIAL_VERSION, MapCache, PartialDifference, diff};

/// An agent that knows the base derives the same map from a difference as the lead; one
/// that doesn't know it has to request the complete map.
#[test]
fn a_difference_leads_to_the_same_map() {
    let mut known = MapCache::default();
    known.add(1, 7, vec![vec![vec![0, 1], vec![2]]]);
    let difference = Difference {
        epoch: 1,
        version: 8,
        base: 7,
        moves: vec![
            Move {
                set: 0,
                rank: 0,
                removed: Some(1),
                added: Some(2),
            },
            Move {
                set: 0,
                rank: 1,
                removed: None,
                added: Some(1),
            },
        ],
        hash: placement_hash(&[vec![vec![0, 2], vec![1, 2]]]),
        part: 0,
        part_count: 1,
        descendants: Vec::new(),
    };
    let placement = known.apply(&difference).expect("the base is known");
    assert_eq!(placement, [[vec![0, 2], vec![1, 2]]]);
    let other = Difference {
        base: 6,
        ..difference.clone()
    };
    assert_eq!(known.apply(&other), None);
    let later = Difference {
        epoch: 2,
        ..difference
    };
    assert_eq!(known.apply(&later), None);
}

/// A re-formed group starts its versions anew, so maps of the previous epoch don't apply.
#[test]
fn a_new_epoch_forgets_maps() {
    let mut known = MapCache::default();
    known.add(1, 7, vec![vec![vec![0]]]);
    known.add(2, 9, vec![vec![vec![1]]]);
    let old = Difference {
        epoch: 1,
        version: 8,
        base: 7,
        moves: Vec::new(),
        hash: placement_hash(&[vec![vec![0]]]),
        part: 0,
        part_count: 1,
        descendants: Vec::new(),
    };
    assert_eq!(known.apply(&old), None);
}

/// Guards against differences that can't express that a rank loses an expert and gets
/// none. The rank's agent kept the expert, ranks were armed for different maps of one
/// version, and passes ran on them.
#[test]
fn a_difference_may_only_remove_an_expert() {
    let before = vec![vec![vec![0, 1, 2], vec![2, 3], vec![3]]];
    let after = vec![vec![vec![0, 1], vec![2], vec![2, 3]]];
    let mut known = MapCache::default();
    known.add(1, 7, before.clone());
    let difference = Difference {
        epoch: 1,
        version: 8,
        base: 7,
        moves: diff(&before, &after),
        hash: placement_hash(&after),
        part: 0,
        part_count: 1,
        descendants: Vec::new(),
    };
    assert_eq!(known.apply(&difference), Some(after));
}

/// An agent's map of a version may differ from the lead's. A map derived from it would
/// differ as well, so the complete map has to be requested.
#[test]
fn a_difference_with_another_hash_is_rejected() {
    let (theirs, after) = (
        vec![vec![vec![0], vec![1]]],
        vec![vec![vec![0], vec![0, 1]]],
    );
    let mut known = MapCache::default();
    known.add(1, 7, vec![vec![vec![0, 1], vec![1]]]);
    let difference = Difference {
        epoch: 1,
        version: 8,
        base: 7,
        moves: diff(&theirs, &after),
        hash: placement_hash(&after),
        part: 0,
        part_count: 1,
        descendants: Vec::new(),
    };
    assert_eq!(known.apply(&difference), None);
}

/// One part of a difference.
fn part(version: u64, part: u16, parts: u16) -> Difference {
    Difference {
        epoch: 1,
        version,
        base: INITIAL_VERSION,
        moves: vec![Move {
            set: part,
            rank: 0,
            removed: None,
            added: Some(9),
        }],
        hash: 0,
        part,
        part_count: parts,
        descendants: vec![4],
    }
}

/// The change of a large group takes several datagrams, which may be reordered, duplicated
/// or mixed with those of the previous change. Only all parts of one change make a map.
#[test]
fn parts_of_one_change_make_a_difference() {
    let mut parts = PartialDifference::for_part(None, &part(8, 0, 2));
    assert_eq!(parts.add(&part(8, 1, 2)), None);
    assert_eq!(parts.add(&part(8, 1, 2)), None);
    assert_eq!(parts.add(&part(8, 7, 2)), None);
    let mut later = PartialDifference::for_part(Some(parts), &part(9, 0, 2));
    assert_eq!(later.add(&part(9, 0, 2)), None);
    let mut same = PartialDifference::for_part(Some(later), &part(9, 1, 2));
    let whole = same.add(&part(9, 1, 2)).expect("both parts came");
    let sets: Vec<u16> = whole.moves.iter().map(|change| change.set).collect();
    assert_eq!(sets, [0, 1]);
}

/// Guards against sending the complete map to each rank, 15 KB each in a group of 63, for
/// the first change of a group. Every agent can derive the initial map.
#[test]
fn the_initial_map_is_known_without_messages() {
    let experts = Experts {
        layers: 2,
        count: 5,
        max_slots_per_rank: 3,
        max_new_per_layer: 1,
        work_share: 0.8,
        copy_time: Duration::from_millis(40),
    };
    let mut known = MapCache::default();
    known.add_initial(1, 2, &experts);
    let first = vec![vec![0, 2, 4], vec![1, 3]];
    let change = Difference {
        moves: Vec::new(),
        hash: placement_hash(&[first.clone(), first.clone()]),
        ..part(8, 0, 1)
    };
    assert_eq!(known.apply(&change), Some(vec![first.clone(), first]));
}
