//! Packing from nothing: replicas for hot experts, then the longest processing
//! time first.
//!
//! It sets a group's first map and is the baseline that rebalances at every
//! interval. By itself it ignores what is placed already, so nearly every
//! expert moves; [`repack`] leaves experts where they are while that costs
//! little evenness.

use verbenaspool_state::expert_map::{Layer, Shape};

/// Packs one layer's experts by their loads, in tokens a step.
///
/// ```
/// use verbenaspool_policy::rebalancer::packing::pack;
/// use verbenaspool_state::expert_map::Shape;
///
/// let shape = Shape { ranks: 2, experts: 3, layers: 1, slots: 2 };
/// // The hot expert stands on both ranks.
/// let layer = pack(&[10.0, 2.0, 2.0], shape);
/// assert!(layer.ranks.iter().all(|experts| experts.contains(&0)));
/// ```
#[must_use]
pub fn pack(loads: &[f64], shape: Shape) -> Layer {
    let ranks = vec![Vec::new(); usize::from(shape.ranks)];
    repack(loads, shape, &Layer { ranks }, 0.0)
}

/// Packs one layer's experts anew, but prefers a rank that holds the expert
/// already, as long as that rank is by no more than `slack` busier than the
/// least busy one; `slack` is a part of the mean work of a rank.
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
    let mut shares: Vec<(f64, u16)> = Vec::with_capacity(ranks * slots);
    for (expert, (&load, &copies)) in (0..).zip(loads.iter().zip(&copies)) {
        let share = load / f64::from(copies);
        shares.extend((0..copies).map(|_| (share, expert)));
    }
    shares.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut holders = vec![Vec::new(); loads.len()];
    for (rank, experts) in current.ranks.iter().enumerate() {
        for &expert in experts {
            holders[usize::from(expert)].push(rank);
        }
    }
    let mut rank_loads = vec![0.0; ranks];
    let mut layer = vec![Vec::with_capacity(slots); ranks];
    let mut is_placed = vec![false; loads.len()];
    for (share, expert) in shares {
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
        // A further copy that fits nowhere is left out; a first copy always
        // finds a slot, since no rank can hold it yet and slots suffice, unless
        // later copies of others took them: then one of those makes room.
        let rank = match least_busy {
            Some(rank) => rank,
            None if is_placed[usize::from(expert)] => continue,
            None => evict_copy(&mut layer, loads.len()),
        };
        layer[rank].push(expert);
        rank_loads[rank] += share;
        is_placed[usize::from(expert)] = true;
    }
    Layer { ranks: layer }
}

/// How many copies each expert gets: the next one always goes to the expert
/// whose copies carry most.
fn copy_counts(loads: &[f64], ranks: usize, slots: usize) -> Vec<u32> {
    let max_copies = u32::try_from(ranks).unwrap_or(u32::MAX);
    let mut copies = vec![1_u32; loads.len()];
    let share = |copies: &[u32], expert: usize| loads[expert] / f64::from(copies[expert]);
    for _ in loads.len()..slots {
        let candidates = (0..loads.len()).filter(|&expert| copies[expert] < max_copies);
        let hottest = candidates.max_by(|&a, &b| share(&copies, a).total_cmp(&share(&copies, b)));
        let Some(expert) = hottest else {
            break;
        };
        copies[expert] += 1;
    }
    copies
}

/// Takes the last copy of a replicated expert out and returns its rank.
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
    // With all slots full and an expert unplaced, some expert stands twice.
    let (rank, slot) = found.next().expect("ranks times slots hold all experts");
    drop(found);
    layer[rank].remove(slot);
    rank
}
