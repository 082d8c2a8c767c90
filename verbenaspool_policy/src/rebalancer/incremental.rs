//! Incremental rebalancing: a few expert copies at a time that relieve the
//! busiest ranks soon.
//!
//! It handles popularity that shifts every few seconds. The most popular expert
//! of a layer gets up to a third of the layer's load, so the rank that holds it
//! delays the whole group at about three times the mean. Copying one expert
//! takes a rank 0.04 to 0.15 s, and a map that is repacked from scratch would
//! be ready only after popularity has shifted again. So each change copies no
//! more than a few experts per rank, those that shorten the forward pass most,
//! and the next change follows.
//!
//! In every layer, a forward pass waits for the busiest rank. The objective is
//! therefore the sum over the layers of the busiest rank's time.

use verbenaspool_state::expert_map::Layer;

use super::layer_search::{LayerChange, LayerSearch};

/// Limits of one change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChangeLimits {
    /// The most experts of one layer that a rank may hold.
    pub max_slots_per_rank: usize,
    /// The most experts of one layer that may be new to a rank.
    pub max_new_per_layer: usize,
    /// The most experts over all layers that may be new to a rank. This bounds
    /// the duration of the change.
    pub max_copies_per_rank: usize,
    /// The smallest fraction of an evenly loaded forward pass that each copy has
    /// to save. Below it, copies follow noise: measured expert selections differ
    /// by a few percent from one moment to the next.
    pub min_gain_per_copy: f64,
}

/// A change of placement that shortens forward passes.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementChange {
    /// The new placement.
    pub layers: Vec<Layer>,
    /// Number of experts to copy, over all ranks.
    pub copies: usize,
    /// Number of experts that the rank with the most copies has to copy.
    pub max_rank_copies: usize,
    /// Imbalance before the change: the sum over the layers of the slowest
    /// rank's time, divided by the sum of the even times.
    pub imbalance_before: f64,
    /// Imbalance after the change.
    pub imbalance_after: f64,
}

/// Imbalance of a placement: the sum over the layers of the busiest rank's
/// load, divided by the sum of the mean loads. 1 is perfectly balanced.
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

/// Finds the change within the limits that shortens forward passes most, if one
/// is worth its copies.
///
/// ```
/// use verbenaspool_policy::rebalancer::incremental::{ChangeLimits, plan_change};
/// use verbenaspool_state::expert_map::Layer;
///
/// let layers = [Layer { ranks: vec![vec![0, 1], vec![2]] }];
/// let limits = ChangeLimits {
///     max_slots_per_rank: 2,
///     max_new_per_layer: 1,
///     max_copies_per_rank: 1,
///     min_gain_per_copy: 0.01,
/// };
/// let change = plan_change(&layers, &[vec![6.0, 1.0, 1.0]], &[1.0, 1.0], &limits).unwrap();
/// assert!(change.layers[0].ranks[1].contains(&0));
/// assert!((change.imbalance_after - 1.0).abs() < 0.01);
/// ```
///
/// `paces` holds the factor by which each rank is slower than a healthy one. A
/// slow rank counts as busier by that factor, so experts move off it, all of
/// them if necessary: in a group of 12 ranks, one that is 12 times slower makes
/// every forward pass last 0.7 s, where streams tolerate 0.12 s.
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
            // Candidates of other layers may need a rank that has no copies
            // left.
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
