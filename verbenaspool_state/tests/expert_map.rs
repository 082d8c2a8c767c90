//! Rejection of invalid expert maps and rebalancing settings.

use verbenaspool_state::{
    expert_map::{Layer, Map, Problem, Shape},
    rebalancing::Rebalancing,
};

const SHAPE: Shape = Shape {
    ranks: 2,
    experts: 4,
    layers: 2,
    slots: 3,
};

fn map(change: impl Fn(&mut Vec<Layer>)) -> Map {
    let mut map = Map::spread(8, SHAPE);
    change(&mut map.layers);
    map
}

/// Guards against using a map that doesn't fit the group, such as one from an operator or
/// another software version. It is rejected with its first problem, and the group keeps
/// its current map.
#[test]
fn invalid_maps_are_rejected() {
    let cases = [
        (
            map(|layers| layers.truncate(1)),
            Problem::Layers {
                found: 1,
                expected: 2,
            },
        ),
        (
            map(|layers| layers[1].ranks.push(vec![0])),
            Problem::Ranks {
                layer: 1,
                found: 3,
                expected: 2,
            },
        ),
        (
            map(|layers| layers[0].ranks[1] = vec![0, 1, 2, 3]),
            Problem::Slots {
                layer: 0,
                rank: 1,
                found: 4,
                slots: 3,
            },
        ),
        (
            map(|layers| layers[0].ranks[0] = vec![0, 4]),
            Problem::Unknown {
                layer: 0,
                rank: 0,
                expert: 4,
            },
        ),
        (
            map(|layers| layers[0].ranks[0] = vec![1, 1]),
            Problem::Twice {
                layer: 0,
                rank: 0,
                expert: 1,
            },
        ),
        (
            map(|layers| layers[1].ranks = vec![vec![0, 1], vec![3]]),
            Problem::Missing {
                layer: 1,
                expert: 2,
            },
        ),
    ];
    for (map, problem) in cases {
        assert_eq!(map.check(SHAPE, 7), Err(problem.clone()), "{problem}");
    }
    let stale = Problem::Stale { epoch: 8, above: 8 };
    assert_eq!(map(|_| ()).check(SHAPE, 8), Err(stale));
    assert_eq!(map(|_| ()).check(SHAPE, 7), Ok(()));
}

/// Ranks may have fewer experts than slots, as long as each expert is on some rank.
#[test]
fn slots_may_be_empty() {
    let uneven = map(|layers| layers[0].ranks = vec![vec![0], vec![1, 2, 3]]);
    assert_eq!(uneven.check(SHAPE, 0), Ok(()));
}

/// Each invalid setting is reported with its key, so that a file can be corrected at once.
#[test]
fn all_invalid_settings_are_reported() {
    let settings = Rebalancing {
        skew: -1.0,
        cost: f64::INFINITY,
        most_moves: 0,
        bytes_a_second: 0,
        pause_s: 0,
        most_delay: 1.5,
    };
    let problems: Vec<String> = settings.check().iter().map(ToString::to_string).collect();
    let expected = [
        "skew: must be from 0 to 1000, not -1",
        "cost: must be from 0 to 1000, not inf",
        "bytes_a_second: must be above 0",
        "pause_s: must be above 0",
        "most_delay: must be from 0 to 1, not 1.5",
    ];
    assert_eq!(problems, expected);
}
