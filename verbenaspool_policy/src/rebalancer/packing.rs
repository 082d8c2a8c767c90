//! Packing from scratch: hot experts are replicated, then all copies are placed
//! in order of falling load, each on the least busy rank (longest processing
//! time first).
//!
//! [`pack`] ignores the current placement, so nearly every expert moves. It is
//! the baseline that the benchmarks compare with: a policy that rebalances at
//! every interval. [`repack`] keeps experts where they are while that costs
//! little balance.

use verbenaspool_state::expert_map::{Layer, Shape};

/// Packs one layer's experts by their loads, in tokens per step.
///
/// ```
/// use verbenaspool_policy::rebalancer::packing::pack;
/// use verbenaspool_state::expert_map::Shape;
///
/// let shape = Shape { ranks: 2, experts: 3, layers: 1, slots: 2 };
/// // The hot expert is on both ranks.
/// let layer = pack(&[10.0, 2.0, 2.0], shape);
/// assert!(layer.ranks.iter().all(|experts| experts.contains(&0)));
/// ```
#[must_use]
pub fn pack(loads: &[f64], shape: Shape) -> Layer {
    let ranks = vec![Vec::new(); usize::from(shape.ranks)];
    repack(loads, shape, &Layer { ranks }, 0.0)
}

/// Packs one layer's experts, preferring ranks that already hold an expert as
/// long as their load exceeds that of the least busy rank by no more than
/// `slack`, a fraction of the mean rank load.
///
/// ```
/// use verbenaspool_policy::rebalancer::packing::repack;
/// use verbenaspool_state::expert_map::{Layer, Shape};
///
/// let shape = Shape { ranks: 2, experts: 2, layers: 1, slots: 1 };
/// let current = Layer { ranks: vec![vec![1], vec![0]] };
/// assert_eq!(repack(&[3.0, 2.0], shape, &current, 0.1), current);
/// ```
#[must_use]
pub fn repack(loads: &[f64], shape: Shape, current: &Layer, slack: f64) -> Layer {
    let ranks = usize::from(shape.ranks);
    let slots = usize::from(shape.slots);
    let slack = slack * loads.iter().sum::<f64>() / f64::from(shape.ranks.max(1));
    let copies = copy_counts(loads, ranks, ranks * slots);
    let mut copy_loads: Vec<(f64, u16)> = Vec::with_capacity(ranks * slots);
    for (expert, (&load, &copies)) in (0..).zip(loads.iter().zip(&copies)) {
        let copy_load = load / f64::from(copies);
        copy_loads.extend((0..copies).map(|_| (copy_load, expert)));
    }
    copy_loads.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut holders = vec![Vec::new(); loads.len()];
    for (rank, experts) in current.ranks.iter().enumerate() {
        for &expert in experts {
            holders[usize::from(expert)].push(rank);
        }
    }
    let mut rank_loads = vec![0.0; ranks];
    let mut layer = vec![Vec::with_capacity(slots); ranks];
    let mut is_placed = vec![false; loads.len()];
    for (copy_load, expert) in copy_loads {
        let is_open = |rank: usize| {
            let experts: &Vec<u16> = &layer[rank];
            experts.len() < slots && !experts.contains(&expert)
        };
        let mut least_busy = None;
        for rank in 0..ranks {
            let lower = least_busy
                .is_none_or(|least_busy: usize| rank_loads[rank] < rank_loads[least_busy]);
            if lower && is_open(rank) {
                least_busy = Some(rank);
            }
        }
        let limit = least_busy.map_or(0.0, |least_busy| rank_loads[least_busy] + slack);
        let within_slack = |rank: &&usize| rank_loads[**rank] <= limit && is_open(**rank);
        let holder = holders[usize::from(expert)].iter().filter(within_slack);
        let holder = holder.min_by(|&&a, &&b| f64::total_cmp(&rank_loads[a], &rank_loads[b]));
        let least_busy = holder.copied().or(least_busy);
        // An additional copy that fits nowhere is left out. A first copy always
        // finds a rank that doesn't hold the expert yet, and there are enough
        // slots for all experts, but additional copies of other experts may
        // have taken them: then one of those is evicted.
        let rank = match least_busy {
            Some(rank) => rank,
            None if is_placed[usize::from(expert)] => continue,
            None => evict_copy(&mut layer, loads.len()),
        };
        layer[rank].push(expert);
        rank_loads[rank] += copy_load;
        is_placed[usize::from(expert)] = true;
    }
    Layer { ranks: layer }
}

/// Number of copies of each expert: each additional copy goes to the expert
/// with the largest load per copy.
fn copy_counts(loads: &[f64], ranks: usize, slots: usize) -> Vec<u32> {
    let max_copies = u32::try_from(ranks).unwrap_or(u32::MAX);
    let mut copies = vec![1_u32; loads.len()];
    let copy_load = |copies: &[u32], expert: usize| loads[expert] / f64::from(copies[expert]);
    for _ in loads.len()..slots {
        let candidates = (0..loads.len()).filter(|&expert| copies[expert] < max_copies);
        let hottest =
            candidates.max_by(|&a, &b| copy_load(&copies, a).total_cmp(&copy_load(&copies, b)));
        let Some(expert) = hottest else {
            break;
        };
        copies[expert] += 1;
    }
    copies
}

/// Removes one copy of a replicated expert, on the last rank that has one, and
/// returns that rank.
fn evict_copy(layer: &mut [Vec<u16>], experts: usize) -> usize {
    let mut copies = vec![0; experts];
    for &expert in layer.iter().flatten() {
        copies[usize::from(expert)] += 1;
    }
    let last_replicated = |experts: &Vec<u16>| {
        let is_replicated = |&expert: &u16| copies[usize::from(expert)] > 1;
        experts.iter().rposition(is_replicated)
    };
    let found = layer.iter().enumerate().rev();
    let mut found =
        found.filter_map(|(rank, experts)| last_replicated(experts).map(|slot| (rank, slot)));
    // If all slots are taken and an expert isn't placed, some expert has
    // several copies.
    let (rank, slot) = found
        .next()
        .expect("a full layer with an unplaced expert has a replicated one");
    drop(found);
    layer[rank].remove(slot);
    rank
}
