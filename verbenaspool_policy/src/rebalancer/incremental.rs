//! Which few experts to copy next, so that the busiest ranks get relief soon.
//!
//! Load: popularity that shifts every few seconds. The most popular expert of a
//! set gets up to a third of its work, so the rank that holds it keeps the whole
//! group waiting, at about three times the mean. Copying one expert takes a rank
//! 0.04 to 0.15 s, and a map that is packed anew would be ready when popularity
//! has shifted again. So each change copies no more than a few experts a rank,
//! those that shorten the pass most, and is followed by the next.
//!
//! A pass waits, set after set, for the set's busiest rank: what counts is the
//! sum over the sets of the busiest rank's work.

use verbenaspool_state::expert_map::Layer;

use super::layer_search::{LayerChange, LayerSearch};

/// How a change may look.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChangeLimits {
    /// Experts of one set that a rank holds at most.
    pub max_slots_per_rank: usize,
    /// Experts of one set that may be new to a rank.
    pub max_new_per_layer: usize,
    /// Experts of all sets together that may be new to a rank: the time that the
    /// change takes.
    pub max_copies_per_rank: usize,
    /// The least part of the pass that one copy has to save. Below it, copies
    /// follow chance; measured choices differ by a few percent from one moment to
    /// the next.
    pub min_gain_per_copy: f64,
}

/// A change that shortens passes.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementChange {
    /// The new placement.
    pub layers: Vec<Layer>,
    /// Experts to copy, over all ranks.
    pub copies: usize,
    /// Experts that the rank with most copies has to copy.
    pub max_rank_copies: usize,
    /// The sum of the busiest ranks' work over the sum of the means, before.
    pub imbalance_before: f64,
    /// The same afterwards.
    pub imbalance_after: f64,
}

/// The part by which the sum of the busiest ranks' work is above that of the
/// means: 1 is even.
#[must_use]
pub fn imbalance(layers: &[Layer], loads: &[Vec<f64>]) -> f64 {
    let searches = layers
        .iter()
        .zip(loads)
        .map(|(layer, loads)| LayerSearch::new(layer, loads, &[]));
    let (mut peak, mut mean) = (0.0, 0.0);
    for search in searches {
        peak += search.peak_time();
        mean += search.even_time();
    }
    if mean > 0.0 { peak / mean } else { 1.0 }
}

/// The change that shortens passes most within its bound, if one is worth it.
///
/// ```
/// use verbenaspool_policy::rebalancer::incremental::{ChangeLimits, plan_change};
/// use verbenaspool_state::expert_map::Layer;
///
/// let layers = [Layer { ranks: vec![vec![0, 1], vec![2]] }];
/// let limits = ChangeLimits { max_slots_per_rank: 2, max_new_per_layer: 1, max_copies_per_rank: 1, min_gain_per_copy: 0.01 };
/// let change = plan_change(&layers, &[vec![6.0, 1.0, 1.0]], &[1.0, 1.0], &limits).unwrap();
/// assert!(change.layers[0].ranks[1].contains(&0));
/// assert!((change.imbalance_after - 1.0).abs() < 0.01);
/// ```
///
/// `pace` tells how much longer each rank takes for its work than one that is well. A
/// slow rank counts as busy by as much, so that its experts leave it, all of them if
/// need be: in a group of 12 ranks one that is 12 times slow makes every pass last
/// 0.7 s, where streams bear 0.12 s.
#[must_use]
pub fn plan_change(
    layers: &[Layer],
    loads: &[Vec<f64>],
    paces: &[f64],
    limits: &ChangeLimits,
) -> Option<PlacementChange> {
    let mut searches: Vec<LayerSearch> = layers
        .iter()
        .zip(loads)
        .map(|(layer, loads)| LayerSearch::new(layer, loads, paces))
        .collect();
    let ranks = searches.first()?.ranks().len();
    let mean: f64 = searches.iter().map(LayerSearch::even_time).sum();
    let before: f64 = searches.iter().map(LayerSearch::peak_time).sum();
    if mean <= 0.0 {
        return None;
    }
    let min_gain = limits.min_gain_per_copy * mean;
    let mut copies_left = vec![limits.max_copies_per_rank; ranks];
    let best_change = |search: &LayerSearch, copies_left: &[usize]| {
        search.best_change(limits, copies_left, min_gain)
    };
    let mut candidates: Vec<Option<(f64, LayerChange)>> = searches
        .iter()
        .map(|search| best_change(search, &copies_left))
        .collect();
    let mut changed = false;
    loop {
        let ranked = candidates.iter().enumerate();
        let ranked = ranked.filter_map(|(number, candidate)| {
            candidate.map(|(gain, change)| (gain, number, change))
        });
        let Some((_, number, change)) = ranked.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            break;
        };
        searches[number].apply(&change);
        changed = true;
        let mut rank_exhausted = false;
        for rank in change.copying_ranks() {
            copies_left[rank] -= 1;
            rank_exhausted |= copies_left[rank] == 0;
        }
        if rank_exhausted {
            // Steps that were found for other sets may need a rank that has no
            // time left.
            for (search, candidate) in searches.iter().zip(&mut candidates) {
                let stale = candidate.is_some_and(|(_, change)| {
                    change.copying_ranks().any(|rank| copies_left[rank] == 0)
                });
                if stale {
                    *candidate = best_change(search, &copies_left);
                }
            }
        }
        candidates[number] = best_change(&searches[number], &copies_left);
    }
    let new_experts = |rank: usize| {
        searches
            .iter()
            .map(|search| search.new_experts(rank))
            .sum::<usize>()
    };
    let copies_by_rank: Vec<usize> = (0..ranks).map(new_experts).collect();
    let after: f64 = searches.iter().map(LayerSearch::peak_time).sum();
    let copies: usize = copies_by_rank.iter().sum();
    #[allow(clippy::cast_precision_loss)] // Copies are few.
    let is_worthwhile = before - after >= min_gain * copies as f64;
    if !changed || !is_worthwhile {
        return None;
    }
    Some(PlacementChange {
        copies,
        max_rank_copies: copies_by_rank.into_iter().max().unwrap_or(0),
        imbalance_before: before / mean,
        imbalance_after: after / mean,
        layers: searches.into_iter().map(LayerSearch::into_layer).collect(),
    })
}
