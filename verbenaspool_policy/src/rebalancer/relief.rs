//! Which few experts to copy next, so that the busiest ranks get relief soon.
//!
//! Load: popularity that shifts every few seconds. The most popular expert of a
//! set gets nearly half of its work, so the rank that holds it keeps the whole
//! group waiting, at about three times the mean. Copying one expert takes a rank
//! 0.15 s, and a map that is packed anew would be ready when popularity has
//! shifted again. So each change copies no more than a few experts a rank, those
//! that shorten the pass most, and is followed by the next.
//!
//! A pass waits, set after set, for the set's busiest rank: what counts is the
//! sum over the sets of the busiest rank's work.

use verbenaspool_state::expert_map::Layer;

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

/// One set while its placement is changed.
#[derive(Debug, Clone)]
struct Set {
    /// The experts of each rank.
    ranks: Vec<Vec<u16>>,
    /// How many ranks hold each expert.
    holders: Vec<u16>,
    /// The work that each expert brings.
    loads: Vec<f64>,
    /// The work of each rank.
    work: Vec<f64>,
    /// Experts that are new to each rank.
    new: Vec<usize>,
}

/// A copy of an expert to a rank, in the place of another if need be.
#[derive(Debug, Clone, Copy)]
struct Copy {
    expert: u16,
    rank: usize,
    out: Option<u16>,
}

impl Set {
    fn new(layer: &Layer, loads: &[f64]) -> Self {
        let mut holders = vec![0; loads.len()];
        for &expert in layer.ranks.iter().flatten() {
            if let Some(holders) = holders.get_mut(usize::from(expert)) {
                *holders += 1;
            }
        }
        let mut set = Self {
            ranks: layer.ranks.clone(),
            holders,
            loads: loads.to_vec(),
            work: Vec::new(),
            new: vec![0; layer.ranks.len()],
        };
        let work = |experts: &Vec<u16>| experts.iter().map(|&e| set.part(e, 0)).sum();
        set.work = set.ranks.iter().map(work).collect();
        set
    }

    /// What an expert brings to each of its ranks, with so many more of them.
    fn part(&self, expert: u16, more: i32) -> f64 {
        let expert = usize::from(expert);
        let holders = i32::from(self.holders[expert]) + more;
        self.loads[expert] / f64::from(holders.max(1))
    }

    fn peak(&self) -> f64 {
        self.work.iter().copied().fold(0.0, f64::max)
    }

    fn mean(&self) -> f64 {
        let sum: f64 = self.work.iter().sum();
        #[allow(clippy::cast_precision_loss)] // Groups are small.
        let ranks = self.work.len().max(1) as f64;
        sum / ranks
    }

    /// The busiest rank.
    fn busiest(&self) -> usize {
        let ranks = 0..self.work.len();
        let busiest = ranks.max_by(|a, b| self.work[*a].total_cmp(&self.work[*b]));
        busiest.unwrap_or(0)
    }

    /// The work of each rank after a copy.
    fn after(&self, copy: &Copy, work: &mut Vec<f64>) {
        work.clone_from(&self.work);
        let thinner = self.part(copy.expert, 1) - self.part(copy.expert, 0);
        let thicker = copy
            .out
            .map(|out| (out, self.part(out, -1) - self.part(out, 0)));
        for (rank, experts) in self.ranks.iter().enumerate() {
            if experts.contains(&copy.expert) {
                work[rank] += thinner;
            }
            if let Some((out, more)) = thicker
                && rank != copy.rank
                && experts.contains(&out)
            {
                work[rank] += more;
            }
        }
        work[copy.rank] += self.part(copy.expert, 1);
        if let Some(out) = copy.out {
            work[copy.rank] -= self.part(out, 0);
        }
    }

    /// The copy that lowers the peak most, and by how much. Among equals the one
    /// that leaves the work most even, so that several ranks with as much work
    /// get relief one after the other.
    fn best(&self, bound: &Bound, left: &[usize]) -> Option<(f64, Copy)> {
        let busiest = self.busiest();
        let (peak, square) = (self.peak(), square(&self.work));
        let mut best: Option<(f64, f64, Copy)> = None;
        let mut work = Vec::new();
        let mut hot = self.ranks[busiest].clone();
        hot.sort_by(|a, b| self.part(*b, 0).total_cmp(&self.part(*a, 0)));
        for &expert in hot.iter().take(3) {
            for (rank, held) in self.ranks.iter().enumerate() {
                if held.contains(&expert) || self.new[rank] >= bound.spare || left[rank] == 0 {
                    continue;
                }
                for out in self.leavers(rank, expert, bound.places) {
                    let copy = Copy { expert, rank, out };
                    self.after(&copy, &mut work);
                    let gain = peak - work.iter().copied().fold(0.0, f64::max);
                    let even = square - self::square(&work);
                    let better = match &best {
                        Some((g, e, _)) => gain > g + 1e-9 || (gain > g - 1e-9 && even > *e),
                        None => gain > -1e-9 && even > 0.0,
                    };
                    if better {
                        best = Some((gain, even, copy));
                    }
                }
            }
        }
        best.map(|(gain, _, copy)| (gain, copy))
    }

    /// The experts that may make place for another on a rank: none where there
    /// is place, else those that other ranks hold as well.
    fn leavers(&self, rank: usize, expert: u16, places: usize) -> Vec<Option<u16>> {
        let held = &self.ranks[rank];
        if held.len() < places {
            return vec![None];
        }
        let spare = |e: &&u16| **e != expert && self.holders[usize::from(**e)] > 1;
        held.iter().filter(spare).map(|e| Some(*e)).collect()
    }

    /// Makes a copy.
    fn apply(&mut self, copy: &Copy) {
        let mut work = Vec::new();
        self.after(copy, &mut work);
        self.work = work;
        if let Some(out) = copy.out {
            self.ranks[copy.rank].retain(|e| *e != out);
            self.holders[usize::from(out)] -= 1;
        }
        self.ranks[copy.rank].push(copy.expert);
        self.holders[usize::from(copy.expert)] += 1;
        self.new[copy.rank] += 1;
    }
}

/// The sum of the squares, which is least where all are alike.
fn square(work: &[f64]) -> f64 {
    work.iter().map(|work| work * work).sum()
}

/// The part by which the sum of the busiest ranks' work is above that of the
/// means: 1 is even.
#[must_use]
pub fn unevenness(layers: &[Layer], loads: &[Vec<f64>]) -> f64 {
    let sets = layers
        .iter()
        .zip(loads)
        .map(|(l, loads)| Set::new(l, loads));
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
/// let relief = relieve(&layers, &[vec![6.0, 1.0, 1.0]], &bound).unwrap();
/// assert!(relief.layers[0].ranks[1].contains(&0));
/// assert!((relief.after - 1.0).abs() < 0.01);
/// ```
#[must_use]
pub fn relieve(layers: &[Layer], loads: &[Vec<f64>], bound: &Bound) -> Option<Relief> {
    let mut sets: Vec<Set> = layers
        .iter()
        .zip(loads)
        .map(|(layer, loads)| Set::new(layer, loads))
        .collect();
    let ranks = sets.first()?.ranks.len();
    let mean: f64 = sets.iter().map(Set::mean).sum();
    let before: f64 = sets.iter().map(Set::peak).sum();
    if mean <= 0.0 {
        return None;
    }
    let mut left = vec![bound.copies; ranks];
    let mut copies = 0;
    // Copies that gain nothing by themselves are kept only where those that
    // follow them gain.
    let (mut kept, mut kept_copies, mut kept_peak) = (sets.clone(), 0, before);
    let mut found: Vec<Option<(f64, Copy)>> = sets.iter().map(|s| s.best(bound, &left)).collect();
    loop {
        let best = found.iter().enumerate().filter_map(|(number, found)| {
            let (gain, copy) = (*found)?;
            Some((gain, number, copy))
        });
        let Some((_, number, copy)) = best.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            break;
        };
        sets[number].apply(&copy);
        left[copy.rank] -= 1;
        copies += 1;
        let peak: f64 = sets.iter().map(Set::peak).sum();
        #[allow(clippy::cast_precision_loss)] // Copies are few.
        let price = bound.least * mean * (copies - kept_copies) as f64;
        if kept_peak - peak >= price {
            (kept, kept_copies, kept_peak) = (sets.clone(), copies, peak);
        }
        if left[copy.rank] == 0 {
            found = sets.iter().map(|s| s.best(bound, &left)).collect();
        } else {
            found[number] = sets[number].best(bound, &left);
        }
    }
    if kept_copies == 0 {
        return None;
    }
    let new = |rank: usize| kept.iter().map(|set| set.new[rank]).sum::<usize>();
    Some(Relief {
        copies: kept_copies,
        longest: (0..ranks).map(new).max().unwrap_or(0),
        before: before / mean,
        after: kept_peak / mean,
        layers: kept
            .into_iter()
            .map(|set| Layer { ranks: set.ranks })
            .collect(),
    })
}
