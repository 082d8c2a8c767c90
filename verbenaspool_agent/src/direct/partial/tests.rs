use verbenaspool_protocol::seat::{Difference, Move};

use super::Known;

/// A group changes its map by a few places; an agent that knows the map before
/// makes the same map of them as the lead, and one that doesn't asks for it whole.
#[test]
fn a_difference_leads_to_the_same_map() {
    let mut known = Known::default();
    known.add(1, 7, vec![vec![vec![0, 1], vec![2]]]);
    let difference = Difference {
        epoch: 1,
        version: 8,
        base: 7,
        moves: vec![
            Move {
                set: 0,
                rank: 0,
                out: Some(1),
                expert: 2,
            },
            Move {
                set: 0,
                rank: 1,
                out: None,
                expert: 1,
            },
        ],
    };
    let places = known.apply(&difference).expect("the base is known");
    assert_eq!(places, [[vec![0, 2], vec![1, 2]]]);
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

/// A group forms anew and its versions begin again: what was known is void.
#[test]
fn a_new_epoch_forgets_maps() {
    let mut known = Known::default();
    known.add(1, 7, vec![vec![vec![0]]]);
    known.add(2, 9, vec![vec![vec![1]]]);
    let old = Difference {
        epoch: 1,
        version: 8,
        base: 7,
        moves: Vec::new(),
    };
    assert_eq!(known.apply(&old), None);
}
