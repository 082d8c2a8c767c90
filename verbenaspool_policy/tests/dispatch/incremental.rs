//! Incremental changes of expert placement, which reduce the load of the busiest ranks by
//! few copies.

use proptest::prelude::*;
use verbenaspool_policy::rebalancer::incremental::{ChangeLimits, imbalance, plan_change};
use verbenaspool_state::expert_map::{Layer, Map, Shape};

const SHAPE: Shape = Shape {
    ranks: 8,
    experts: 64,
    layers: 6,
    slots: 11,
};

const LIMITS: ChangeLimits = ChangeLimits {
    max_slots_per_rank: 11,
    max_new_per_layer: 4,
    max_copies_per_rank: 1,
    min_gain_per_copy: 0.025,
};

/// Expert loads of each layer with a measured distribution of popularity, in an order that
/// differs between layers.
fn loads(shape: Shape, shift: usize) -> Vec<Vec<f64>> {
    let count = usize::from(shape.experts);
    (0..usize::from(shape.layers))
        .map(|layer| {
            let popularity_rank = |expert: usize| (expert * 29 + 7 * layer + shift) % count;
            #[allow(clippy::cast_precision_loss)]
            let load = |expert| 1e4 / (popularity_rank(expert) as f64 + 1.0).powf(1.6);
            (0..count).map(load).collect()
        })
        .collect()
}

fn initial_layers(shape: Shape) -> Vec<Layer> {
    let slots = shape.experts.div_ceil(shape.ranks);
    Map::spread(1, Shape { slots, ..shape }).layers
}

/// Guards against shifts of popularity that keep a group at three times its mean load,
/// that of the rank with the most popular expert. Changes of one copy per rank take 0.15 s
/// each and must remove most of the imbalance within a second.
#[test]
fn few_copies_remove_most_of_the_imbalance() {
    let mut layers = initial_layers(SHAPE);
    let loads = loads(SHAPE, 0);
    let before = imbalance(&layers, &loads);
    assert!(before > 2.5, "{before}");
    let mut copies = 0;
    for _ in 0..5 {
        let Some(change) = plan_change(&layers, &loads, &[], &LIMITS) else {
            break;
        };
        assert!(change.imbalance_after < change.imbalance_before);
        assert!(change.max_rank_copies <= 1);
        copies += change.copies;
        layers = change.layers;
    }
    let after = imbalance(&layers, &loads);
    assert!(
        after < 1.6,
        "{before} before, {after} after {copies} copies"
    );
}

/// Guards against a busy rank that keeps its load if no slot is free and each expert is
/// placed only once. Adding copies isn't possible then, but exchanging an expert for one
/// with less load is.
#[test]
fn ranks_exchange_experts_if_no_slot_is_free() {
    let placement = [Layer {
        ranks: vec![vec![0, 1], vec![2, 3]],
    }];
    let loads = [vec![10.0, 10.0, 1.0, 1.0]];
    let limits = ChangeLimits {
        max_slots_per_rank: 2,
        max_new_per_layer: 1,
        max_copies_per_rank: 1,
        min_gain_per_copy: 0.01,
    };
    let change = plan_change(&placement, &loads, &[], &limits).expect("an exchange helps");
    assert_eq!((change.copies, change.max_rank_copies), (2, 1));
    assert!((change.imbalance_after - 1.0).abs() < 1e-6, "{change:?}");
}

/// A group of 32 ranks has one free slot per rank and layer, and its most popular expert
/// gets a twelfth of a layer's load. Three changes of two copies per rank, 0.3 s each,
/// must bring it from three times the mean load near to balance.
#[test]
fn a_large_group_is_balanced_within_a_second() {
    let shape = Shape {
        ranks: 32,
        experts: 128,
        layers: 12,
        slots: 5,
    };
    let limits = ChangeLimits {
        max_slots_per_rank: 5,
        max_new_per_layer: 2,
        max_copies_per_rank: 2,
        min_gain_per_copy: 0.001,
    };
    let loads: Vec<Vec<f64>> = (0..12)
        .map(|layer| {
            let popularity_rank = |expert: usize| (expert * 29 + 7 * layer) % 128;
            #[allow(clippy::cast_precision_loss)]
            let load = |expert| 1e4 / (popularity_rank(expert) as f64 + 1.0).powf(0.7);
            (0..128).map(load).collect()
        })
        .collect();
    let mut layers = initial_layers(shape);
    let before = imbalance(&layers, &loads);
    for _ in 0..3 {
        let change = plan_change(&layers, &loads, &[], &limits).expect("a change helps");
        assert!(change.max_rank_copies <= 2);
        layers = change.layers;
    }
    let after = imbalance(&layers, &loads);
    assert!(
        before > 3.0 && after < 1.25,
        "{before} before, {after} after"
    );
}

/// A group of 12 ranks with two slots per rank and layer more than needed for one copy of
/// each expert.
const FEW_SPARE_SLOTS: Shape = Shape {
    ranks: 12,
    experts: 72,
    layers: 4,
    slots: 8,
};

/// Limits of a change while a rank is slow, or recovered and without experts.
const EVACUATION_LIMITS: ChangeLimits = ChangeLimits {
    max_slots_per_rank: 8,
    max_new_per_layer: 3,
    max_copies_per_rank: 3,
    min_gain_per_copy: 0.008,
};

/// The time of the slowest rank relative to the mean load, averaged over layers.
#[allow(clippy::cast_precision_loss)] // Groups are small.
fn slowest_rank_time(layers: &[Layer], loads: &[Vec<f64>], paces: &[f64]) -> f64 {
    let times = layers.iter().zip(loads).map(|(layer, loads)| {
        let copies = |e: &u16| layer.ranks.iter().filter(|rank| rank.contains(e)).count();
        let share = |e: &u16| loads[usize::from(*e)] / copies(e) as f64;
        let ranks = layer.ranks.iter().zip(paces);
        let rank_times = ranks.map(|(rank, pace)| rank.iter().map(share).sum::<f64>() * pace);
        rank_times.fold(0.0, f64::max) / (loads.iter().sum::<f64>() / paces.len() as f64)
    });
    times.sum::<f64>() / layers.len() as f64
}

/// Guards against a rank that becomes 12 times slower and delays every pass of its group:
/// all callers see gaps of 0.7 s, with 0.12 s on time. All its experts must leave it in a
/// single change, because each further one waits for two more of these passes.
#[test]
fn a_slow_rank_loses_its_experts_in_one_change() {
    for slow_ranks in [vec![5], vec![0], vec![1, 7]] {
        let mut placement = initial_layers(FEW_SPARE_SLOTS);
        let loads = loads(FEW_SPARE_SLOTS, 0);
        for _ in 0..8 {
            let limits = ChangeLimits {
                max_copies_per_rank: 1,
                ..EVACUATION_LIMITS
            };
            match plan_change(&placement, &loads, &[], &limits) {
                Some(change) => placement = change.layers,
                None => break,
            }
        }
        let mut paces = vec![1.0; 12];
        for rank in &slow_ranks {
            paces[*rank] = 12.0;
        }
        let before = slowest_rank_time(&placement, &loads, &paces);
        let change =
            plan_change(&placement, &loads, &paces, &EVACUATION_LIMITS).expect("a change helps");
        assert!(change.max_rank_copies <= 3, "{change:?}");
        let after = slowest_rank_time(&change.layers, &loads, &paces);
        let max_after = if slow_ranks.len() == 1 { 2.0 } else { 3.0 };
        assert!(
            before > 5.0 && after < max_after,
            "{before} before, {after} after"
        );
        let map = Map {
            epoch: 2,
            layers: change.layers,
        };
        let ranks = map.layers.iter().flat_map(|layer| &layer.ranks);
        assert!(ranks.clone().all(|rank| rank.len() <= 8));
        let all_placed =
            |layer: &Layer| (0..72).all(|e| layer.ranks.iter().any(|r| r.contains(&e)));
        assert!(map.layers.iter().all(all_placed));
    }
}

/// Guards against a recovered rank without experts that stays idle. It gets its share
/// within a few changes, and the group is as balanced as before.
#[test]
fn a_recovered_rank_takes_experts() {
    let loads = loads(FEW_SPARE_SLOTS, 0);
    let mut paces = vec![1.0; 12];
    paces[5] = 12.0;
    let mut placement = plan_change(
        &initial_layers(FEW_SPARE_SLOTS),
        &loads,
        &paces,
        &EVACUATION_LIMITS,
    )
    .expect("a change helps")
    .layers;
    for _ in 0..6 {
        match plan_change(&placement, &loads, &[], &EVACUATION_LIMITS) {
            Some(change) => placement = change.layers,
            None => break,
        }
    }
    let after = imbalance(&placement, &loads);
    assert!(after < 1.6, "{after}");
    let placed: usize = placement.iter().map(|layer| layer.ranks[5].len()).sum();
    assert!(placed >= 8, "{placed} experts");
}

/// Guards against copies that only follow random variation of an even load. Each copy has
/// a cost.
#[test]
fn an_even_load_needs_no_change() {
    let even = vec![vec![10.0; 64]; 6];
    assert_eq!(
        plan_change(&initial_layers(SHAPE), &even, &[], &LIMITS),
        None
    );
}

proptest! {
    /// Every change is valid for engines: each expert is placed, no rank has more slots,
    /// new experts or copies than allowed, or an expert twice, and the reported imbalance
    /// is right.
    #[test]
    fn changes_are_valid(
        counts in prop::collection::vec(prop::collection::vec(0_u32..5_000, 24), 2),
        max_copies in 1_usize..4,
        max_new in 1_usize..3,
    ) {
        let shape = Shape { ranks: 4, experts: 24, layers: 2, slots: 8 };
        let loads: Vec<Vec<f64>> = counts
            .iter()
            .map(|layer| layer.iter().map(|count| f64::from(*count)).collect())
            .collect();
        let mut placement = initial_layers(shape);
        let limits = ChangeLimits { max_slots_per_rank: 8, max_new_per_layer: max_new, max_copies_per_rank: max_copies, min_gain_per_copy: 0.01 };
        for _ in 0..4 {
            let Some(change) = plan_change(&placement, &loads, &[], &limits) else {
                break;
            };
            let map = Map { epoch: 2, layers: change.layers.clone() };
            prop_assert_eq!(map.check(shape, 1), Ok(()));
            for rank in 0..4 {
                let new = |layer: usize| {
                    let before = &placement[layer].ranks[rank];
                    let after = &change.layers[layer].ranks[rank];
                    after.iter().filter(|expert| !before.contains(expert)).count()
                };
                prop_assert!(new(0) <= max_new && new(1) <= max_new);
                prop_assert!(new(0) + new(1) <= max_copies);
            }
            let measured = imbalance(&change.layers, &loads);
            prop_assert!((measured - change.imbalance_after).abs() < 1e-6);
            placement = change.layers;
        }
    }
}
