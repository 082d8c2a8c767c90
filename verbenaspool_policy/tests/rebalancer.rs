//! Tests of the rebalancer under drifting popularity and bad samples.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use verbenaspool_policy::rebalancer::{
    Rebalancer,
    packing::{pack, repack},
    placement::Placement,
    sample::{self, Sample},
};
use verbenaspool_state::{
    expert_map::{Layer, Map, Shape},
    rebalancing::Rebalancing,
};

const SHAPE: Shape = Shape {
    ranks: 4,
    experts: 8,
    layers: 1,
    slots: 3,
};

fn sample(step: u64, counts: &[u64]) -> Sample {
    Sample {
        epoch: 1,
        step,
        steps: 1,
        spare: 0.1,
        layers: vec![counts.to_vec()],
    }
}

fn rebalancer(settings: Rebalancing) -> Rebalancer {
    Rebalancer::new(settings, SHAPE, 1 << 20)
}

/// Feeds the counts in turn, one sample per second, and applies each planned
/// change at once. Returns the number of changes and the final map.
fn run(settings: Rebalancing, counts: &[&[u64]], seconds: u64) -> (u32, Map) {
    let mut rebalancer = rebalancer(settings);
    let mut map = Map::spread(1, SHAPE);
    let mut changes = 0;
    for second in 1..=seconds {
        let turn = usize::try_from(second).unwrap() % counts.len();
        let mut sample = sample(second, counts[turn]);
        sample.epoch = map.epoch;
        rebalancer.observe(&sample).unwrap();
        if let Some(plan) = rebalancer.decide(Duration::from_secs(second), &map) {
            let epoch = map.epoch + 1;
            map = Map {
                epoch,
                layers: plan.layers,
            };
            assert_eq!(map.check(SHAPE, epoch - 1), Ok(()));
            changes += 1;
        }
    }
    (changes, map)
}

/// Invalid counts, as sent after an engine restart, by an overflowing counter
/// or by an agent of another group, are ignored with a reason, and the group
/// keeps its map.
#[test]
fn bad_samples_are_ignored() {
    let good = sample(5, &[9; 8]);
    let with = |change: fn(&mut Sample)| {
        let mut sample = sample(6, &[9; 8]);
        change(&mut sample);
        sample
    };
    let cases = [
        (
            with(|s| s.layers[0].truncate(7)),
            sample::Error::ShapeMismatch,
        ),
        (with(|s| s.layers.clear()), sample::Error::ShapeMismatch),
        (
            with(|s| s.epoch = 0),
            sample::Error::StaleEpoch {
                sample: 0,
                epoch: 1,
            },
        ),
        (
            with(|s| s.step = 5),
            sample::Error::StaleStep {
                step: 5,
                last_step: 5,
            },
        ),
        (
            with(|s| s.layers[0][2] = u64::MAX),
            sample::Error::ImplausibleCount { count: u64::MAX },
        ),
        (
            with(|s| s.steps = 0),
            sample::Error::ImplausibleCount { count: 9 },
        ),
        (with(|s| s.layers[0].fill(0)), sample::Error::NoTokens),
    ];
    let mut rebalancer = rebalancer(Rebalancing::default());
    let map = Map::spread(1, SHAPE);
    assert_eq!(rebalancer.decide(Duration::ZERO, &map), None);
    assert_eq!(rebalancer.observe(&good), Ok(()));
    for (sample, reason) in cases {
        assert_eq!(rebalancer.observe(&sample), Err(reason), "{sample:?}");
    }
    let not_a_number = with(|s| s.spare = f64::NAN);
    assert_eq!(rebalancer.observe(&not_a_number), Ok(()));
}

/// Load oscillates between two sets of experts every second. Maps that follow
/// it are out of date once they are in use, and each costs a load of weights.
#[test]
fn oscillating_load_rarely_changes_the_map() {
    let low: &[u64] = &[900, 100, 900, 100, 900, 100, 900, 100];
    let high: &[u64] = &[100, 900, 100, 900, 100, 900, 100, 900];
    let settings = Rebalancing {
        pause_s: 5,
        ..Rebalancing::default()
    };
    let (changes, _) = run(settings, &[low, high], 300);
    assert!(changes <= 3, "{changes}");
}

/// Popularity shifts once and stays: the map has to follow without repeated
/// changes.
#[test]
fn lasting_shift_changes_the_map_once() {
    let shifted: &[u64] = &[4_000, 100, 100, 100, 2_000, 100, 100, 100];
    let settings = Rebalancing {
        pause_s: 5,
        ..Rebalancing::default()
    };
    let (changes, map) = run(settings, &[shifted], 300);
    assert!((1..=2).contains(&changes), "{changes}");
    let loads: Vec<f64> = shifted
        .iter()
        .map(|&n| f64::from(u32::try_from(n).unwrap()))
        .collect();
    let peak = |layer: &Layer| Placement::new(layer, &loads, SHAPE.slots).peak_load();
    assert!(peak(&map.layers[0]) <= 1.01 * peak(&pack(&loads, SHAPE)));
}

/// A service that allows no delay moves no experts while its host links are
/// fully used, and otherwise loads no faster than the idle bandwidth.
#[test]
fn service_without_allowed_delay_is_not_slowed() {
    let settings = Rebalancing {
        most_delay: 0.0,
        pause_s: 1,
        ..Rebalancing::default()
    };
    for (spare, moves) in [(0.0, false), (0.01, true)] {
        let mut rebalancer = rebalancer(settings.clone());
        let map = Map::spread(1, SHAPE);
        let mut plan = None;
        for second in 1..=9 {
            let mut sample = sample(second, &[900, 1, 1, 1, 900, 1, 1, 1]);
            sample.spare = spare;
            rebalancer.observe(&sample).unwrap();
            plan = plan.or(rebalancer.decide(Duration::from_secs(second), &map));
        }
        assert_eq!(plan.is_some(), moves, "spare {spare}");
        assert!(plan.is_none_or(|plan| plan.slowdown < 1e-9));
    }
}

/// A change loads no more experts than the service allows.
#[test]
fn moves_are_limited() {
    let settings = Rebalancing {
        most_moves: 1,
        pause_s: 1,
        ..Rebalancing::default()
    };
    let mut rebalancer = rebalancer(settings);
    let map = Map::spread(1, SHAPE);
    for second in 1..=9 {
        let counts = [4_000, 100, 100, 100, 2_000, 100, 100, 100];
        rebalancer.observe(&sample(second, &counts)).unwrap();
        let plan = rebalancer.decide(Duration::from_secs(second), &map);
        assert!(plan.is_none_or(|plan| plan.moves <= 1));
    }
}

/// The lowest peak load over all ways to place nine experts on three ranks of
/// three slots.
fn lowest_peak(loads: &[f64], left: &mut Vec<usize>, rank_loads: &mut Vec<f64>) -> f64 {
    if left.is_empty() {
        return rank_loads.iter().copied().fold(0.0, f64::max);
    }
    let mut best = f64::INFINITY;
    let first = left.remove(0);
    for a in 0..left.len() {
        for b in a + 1..left.len() {
            let (second, third) = (left[a], left[b]);
            let mut rest: Vec<usize> = left.clone();
            rest.retain(|&expert| expert != second && expert != third);
            rank_loads.push(loads[first] + loads[second] + loads[third]);
            best = best.min(lowest_peak(loads, &mut rest, rank_loads));
            rank_loads.pop();
        }
    }
    left.insert(0, first);
    best
}

/// Compares packings of small layers with the optimum where all slots are
/// needed, and with the mean rank load, a lower bound, where slots are left for
/// replicas.
#[test]
fn packing_is_close_to_optimal_on_small_layers() {
    let mut rng = SmallRng::seed_from_u64(11);
    let (mut packed_peaks, mut lowest_peaks) = (0.0, 0.0);
    let (mut replicated_peaks, mut mean_loads) = (0.0, 0.0);
    for _ in 0..200 {
        let loads: Vec<f64> = (0..9).map(|_| rng.random_range(1.0..10.0)).collect();
        let exact = Shape {
            ranks: 3,
            experts: 9,
            layers: 1,
            slots: 3,
        };
        packed_peaks += Placement::new(&pack(&loads, exact), &loads, 3).peak_load();
        lowest_peaks += lowest_peak(&loads, &mut (0..9).collect(), &mut Vec::new());
        let with_replicas = Shape { slots: 5, ..exact };
        let placement = Placement::new(&pack(&loads, with_replicas), &loads, 5);
        replicated_peaks += placement.peak_load();
        mean_loads += placement.mean_load();
    }
    assert!(
        packed_peaks / lowest_peaks < 1.05,
        "{}",
        packed_peaks / lowest_peaks
    );
    assert!(
        replicated_peaks / mean_loads < 1.05,
        "{}",
        replicated_peaks / mean_loads
    );
}

/// Packings are valid maps for any distribution of load.
#[test]
fn packings_are_valid_maps() {
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..200 {
        let ranks = rng.random_range(1..9);
        let experts = rng.random_range(1..40_u16);
        let slots = experts.div_ceil(ranks) + rng.random_range(0..3);
        let shape = Shape {
            ranks,
            experts,
            layers: 1,
            slots,
        };
        let load = |rng: &mut SmallRng| rng.random_range(0.0..1.0_f64).powi(8);
        let loads: Vec<f64> = (0..experts).map(|_| load(&mut rng)).collect();
        let first = pack(&loads, shape);
        let loads: Vec<f64> = (0..experts).map(|_| load(&mut rng)).collect();
        let layers: [Layer; 2] = [repack(&loads, shape, &first, 0.1), first];
        for layer in layers {
            let map = Map {
                epoch: 1,
                layers: vec![layer],
            };
            assert_eq!(map.check(shape, 0), Ok(()), "{shape:?}");
        }
    }
}
