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

use super::set::{Set, Step};

/// How a change may look.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Experts of one set that a rank holds at most.
    pub places: usize,
    /// Experts of one set that may be new to a rank.
    pub spare: usize,
    /// Experts of all sets together that may be new to a rank: the time that the
    /// change takes.
    pub copies: usize,
    /// The least part of the pass that one copy has to save. Below it, copies
    /// follow chance; measured choices differ by a few percent from one moment to
    /// the next.
    pub least: f64,
}

/// A change that shortens passes.
#[derive(Debug, Clone, PartialEq)]
pub struct Relief {
    /// The new placement.
    pub layers: Vec<Layer>,
    /// Experts to copy, over all ranks.
    pub copies: usize,
    /// Experts that the rank with most copies has to copy.
    pub longest: usize,
    /// The sum of the busiest ranks' work over the sum of the means, before.
    pub before: f64,
    /// The same afterwards.
    pub after: f64,
}

/// The part by which the sum of the busiest ranks' work is above that of the
/// means: 1 is even.
#[must_use]
pub fn unevenness(layers: &[Layer], loads: &[Vec<f64>]) -> f64 {
    let sets = layers
        .iter()
        .zip(loads)
        .map(|(layer, loads)| Set::new(layer, loads, &[]));
    let (mut peak, mut mean) = (0.0, 0.0);
    for set in sets {
        peak += set.peak();
        mean += set.mean();
    }
    if mean > 0.0 { peak / mean } else { 1.0 }
}

/// The change that shortens passes most within its bound, if one is worth it.
///
/// ```
/// use verbenaspool_policy::rebalancer::relief::{Bound, relieve};
/// use verbenaspool_state::expert_map::Layer;
///
/// let layers = [Layer { ranks: vec![vec![0, 1], vec![2]] }];
/// let bound = Bound { places: 2, spare: 1, copies: 1, least: 0.01 };
/// let relief = relieve(&layers, &[vec![6.0, 1.0, 1.0]], &[1.0, 1.0], &bound).unwrap();
/// assert!(relief.layers[0].ranks[1].contains(&0));
/// assert!((relief.after - 1.0).abs() < 0.01);
/// ```
///
/// `pace` tells how much longer each rank takes for its work than one that is well. A
/// slow rank counts as busy by as much, so that its experts leave it, all of them if
/// need be: in a group of 12 ranks one that is 12 times slow makes every pass last
/// 0.7 s, where streams bear 0.12 s.
#[must_use]
pub fn relieve(
    layers: &[Layer],
    loads: &[Vec<f64>],
    pace: &[f64],
    bound: &Bound,
) -> Option<Relief> {
    let mut sets: Vec<Set> = layers
        .iter()
        .zip(loads)
        .map(|(layer, loads)| Set::new(layer, loads, pace))
        .collect();
    let ranks = sets.first()?.ranks().len();
    let mean: f64 = sets.iter().map(Set::mean).sum();
    let before: f64 = sets.iter().map(Set::peak).sum();
    if mean <= 0.0 {
        return None;
    }
    let price = bound.least * mean;
    let mut left = vec![bound.copies; ranks];
    let best = |set: &Set, left: &[usize]| set.best(bound, left, price);
    let mut found: Vec<Option<(f64, Step)>> = sets.iter().map(|set| best(set, &left)).collect();
    let mut changes = false;
    loop {
        let steps = found.iter().enumerate();
        let steps =
            steps.filter_map(|(number, found)| found.map(|(gain, step)| (gain, number, step)));
        let Some((_, number, step)) = steps.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            break;
        };
        sets[number].apply(&step);
        changes = true;
        let mut spent = false;
        for rank in step.copying() {
            left[rank] -= 1;
            spent |= left[rank] == 0;
        }
        if spent {
            // Steps that were found for other sets may need a rank that has no
            // time left.
            for (set, found) in sets.iter().zip(&mut found) {
                let stale =
                    found.is_some_and(|(_, step)| step.copying().any(|rank| left[rank] == 0));
                if stale {
                    *found = best(set, &left);
                }
            }
        }
        found[number] = best(&sets[number], &left);
    }
    let copied = |rank: usize| sets.iter().map(|set| set.copied(rank)).sum::<usize>();
    let by_rank: Vec<usize> = (0..ranks).map(copied).collect();
    let after: f64 = sets.iter().map(Set::peak).sum();
    let total: usize = by_rank.iter().sum();
    #[allow(clippy::cast_precision_loss)] // Copies are few.
    let worth = before - after >= price * total as f64;
    if !changes || !worth {
        return None;
    }
    Some(Relief {
        copies: total,
        longest: by_rank.into_iter().max().unwrap_or(0),
        before: before / mean,
        after: after / mean,
        layers: sets.into_iter().map(Set::into_layer).collect(),
    })
}
