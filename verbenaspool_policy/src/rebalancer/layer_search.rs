//! Local search over the placement of one layer's experts.

use verbenaspool_state::expert_map::Layer;

use super::incremental::ChangeLimits;

/// Exponent of the norm over the ranks' times that approximates the slowest
/// rank. Unlike the maximum, the norm also falls when one of two equally busy
/// ranks is relieved, and it counts how many ranks are close to the peak: a
/// forward pass whose expert selection differs from the mean then finds fewer
/// of them.
const NORM_EXPONENT: i32 = 12;

/// Number of busiest ranks whose experts are considered for each change. With
/// only one, the search ends where that rank can't be relieved although others
/// could.
const MAX_BUSY_RANKS: usize = 2;

/// Cost of removing an expert from a rank, in copies. Nothing is copied, but
/// the copy is missing when popularity shifts back.
const REMOVAL_COST_COPIES: f64 = 0.25;

/// A change to a layer's placement that relieves a busy rank.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LayerChange {
    /// The busy rank.
    from: usize,
    /// The other rank. Equal to `from` where an expert is only removed and its
    /// other holders take over the load.
    to: usize,
    /// The expert that is copied to `to`, or removed from `from` where both are
    /// equal.
    expert: u16,
    /// Whether `expert` is removed from `from`.
    removed: bool,
    /// The expert that `to` gives up for it, if any.
    evicted: Option<u16>,
    /// Whether `evicted` is copied to `from` in exchange.
    exchanged: bool,
}

impl LayerChange {
    /// The ranks that have to copy an expert.
    pub fn copying_ranks(&self) -> impl Iterator<Item = usize> + use<> {
        let to = (!self.is_removal()).then_some(self.to);
        let exchanged = self.exchanged.then_some(self.from);
        to.into_iter().chain(exchanged)
    }

    /// Whether an expert is only removed from a rank, without any copy.
    fn is_removal(&self) -> bool {
        self.from == self.to
    }

    /// Cost of the change, in copies.
    fn cost(&self) -> f64 {
        match (self.is_removal(), self.exchanged) {
            (true, _) => REMOVAL_COST_COPIES,
            (false, false) => 1.0,
            (false, true) => 2.0,
        }
    }
}

/// The placement of one layer's experts while it is being searched.
#[derive(Debug, Clone)]
pub struct LayerSearch {
    /// The experts of each rank.
    ranks: Vec<Vec<u16>>,
    /// The experts of each rank before the first change.
    initial_ranks: Vec<Vec<u16>>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// The load of each expert.
    loads: Vec<f64>,
    /// Factor by which each rank is slower than a healthy one.
    paces: Vec<f64>,
    /// Load of each rank multiplied by its pace.
    rank_times: Vec<f64>,
}

impl LayerSearch {
    /// Starts from a layer's placement, the load of each expert and the pace of
    /// each rank. A rank without a given pace counts as healthy.
    pub fn new(layer: &Layer, loads: &[f64], paces: &[f64]) -> Self {
        let mut holders = vec![Vec::new(); loads.len()];
        for (rank, experts) in layer.ranks.iter().enumerate() {
            for &expert in experts {
                if let Some(holders) = holders.get_mut(usize::from(expert)) {
                    holders.push(rank);
                }
            }
        }
        let mut search = Self {
            ranks: layer.ranks.clone(),
            initial_ranks: layer.ranks.clone(),
            holders,
            loads: loads.to_vec(),
            paces: (0..layer.ranks.len())
                .map(|rank| paces.get(rank).copied().unwrap_or(1.0))
                .collect(),
            rank_times: Vec::new(),
        };
        let rank_time = |(experts, pace): (&Vec<u16>, &f64)| {
            let sum: f64 = experts.iter().map(|&e| search.share(e, 0)).sum();
            sum * pace
        };
        search.rank_times = search
            .ranks
            .iter()
            .zip(&search.paces)
            .map(rank_time)
            .collect();
        search
    }

    /// The experts of each rank.
    pub fn ranks(&self) -> &[Vec<u16>] {
        &self.ranks
    }

    /// The placement with all applied changes.
    pub fn into_layer(self) -> Layer {
        Layer { ranks: self.ranks }
    }

    /// Number of experts that a rank holds now but not at the start.
    pub fn new_experts(&self, rank: usize) -> usize {
        let new = |expert: &&u16| !self.initial_ranks[rank].contains(expert);
        self.ranks[rank].iter().filter(new).count()
    }

    /// The time of the slowest rank.
    pub fn peak_time(&self) -> f64 {
        self.rank_times.iter().copied().fold(0.0, f64::max)
    }

    /// The time of each rank if all were healthy and evenly loaded.
    pub fn even_time(&self) -> f64 {
        let sum: f64 = self.loads.iter().sum();
        #[allow(clippy::cast_precision_loss)] // Groups are small.
        let ranks = self.rank_times.len().max(1) as f64;
        sum / ranks
    }

    /// The load that an expert adds to each of its holders if their number
    /// changes by `extra_holders`.
    fn share(&self, expert: u16, extra_holders: isize) -> f64 {
        let expert = usize::from(expert);
        let holders = self.holders[expert]
            .len()
            .saturating_add_signed(extra_holders);
        #[allow(clippy::cast_precision_loss)] // Groups are small.
        let holders = holders.max(1) as f64;
        self.loads[expert] / holders
    }

    /// The change with the largest gain per copy, together with that gain, if
    /// it exceeds `min_gain`.
    pub fn best_change(
        &self,
        limits: &ChangeLimits,
        copies_left: &[usize],
        min_gain: f64,
    ) -> Option<(f64, LayerChange)> {
        let even_time = self.even_time();
        if even_time <= 0.0 {
            return None;
        }
        let mut smooth_peak = SmoothPeak::new(&self.rank_times, even_time);
        let peak = smooth_peak.current();
        let mut best: Option<(f64, LayerChange)> = None;
        for from in self.busiest() {
            self.visit_changes_from(from, limits, copies_left, &mut |change| {
                self.visit_time_changes(&change, &mut |rank, delta| smooth_peak.vary(rank, delta));
                let gain = (peak - smooth_peak.take_varied()) / change.cost();
                if gain > min_gain && best.is_none_or(|(most, _)| gain > most) {
                    best = Some((gain, change));
                }
            });
        }
        best
    }

    /// The [`MAX_BUSY_RANKS`] busiest ranks, busiest first.
    fn busiest(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.rank_times.len()).collect();
        ranks.sort_by(|a, b| self.rank_times[*b].total_cmp(&self.rank_times[*a]));
        ranks.truncate(MAX_BUSY_RANKS);
        ranks
    }

    /// Whether a rank may copy one more expert.
    fn can_copy(&self, rank: usize, limits: &ChangeLimits, copies_left: &[usize]) -> bool {
        copies_left[rank] > 0 && self.new_experts(rank) < limits.max_new_per_layer
    }

    /// Visits the changes that relieve a rank.
    fn visit_changes_from(
        &self,
        from: usize,
        limits: &ChangeLimits,
        copies_left: &[usize],
        visit: &mut dyn FnMut(LayerChange),
    ) {
        let can_exchange = self.can_copy(from, limits, copies_left);
        for &expert in &self.ranks[from] {
            if self.holders[usize::from(expert)].len() > 1 {
                visit(LayerChange {
                    from,
                    to: from,
                    expert,
                    removed: true,
                    evicted: None,
                    exchanged: false,
                });
            }
        }
        for to in 0..self.ranks.len() {
            let is_less_busy = self.rank_times[to] < self.rank_times[from];
            if is_less_busy && self.can_copy(to, limits, copies_left) {
                self.visit_changes_between(from, to, can_exchange, limits, visit);
            }
        }
    }

    /// Visits the changes that shift load from one rank to another.
    fn visit_changes_between(
        &self,
        from: usize,
        to: usize,
        can_exchange: bool,
        limits: &ChangeLimits,
        visit: &mut dyn FnMut(LayerChange),
    ) {
        let [source, target] = [from, to].map(|rank| &self.ranks[rank]);
        let experts = source.iter().filter(|expert| !target.contains(expert));
        for (&expert, removed) in experts.flat_map(|expert| [(expert, false), (expert, true)]) {
            let change = LayerChange {
                from,
                to,
                expert,
                removed,
                evicted: None,
                exchanged: false,
            };
            if target.len() < limits.max_slots_per_rank {
                visit(change);
            }
            for &evicted in target {
                let change = LayerChange {
                    evicted: Some(evicted),
                    ..change
                };
                if self.holders[usize::from(evicted)].len() > 1 {
                    visit(change);
                }
                if removed && can_exchange && !source.contains(&evicted) {
                    visit(LayerChange {
                        exchanged: true,
                        ..change
                    });
                }
            }
        }
    }

    /// Visits each rank whose time a change alters, with the difference.
    fn visit_time_changes(&self, change: &LayerChange, visit: &mut dyn FnMut(usize, f64)) {
        let mut visit = |rank: usize, delta: f64| visit(rank, delta * self.paces[rank]);
        if change.is_removal() {
            self.visit_removal(change.expert, change.from, &mut visit);
            return;
        }
        let LayerChange {
            from,
            to,
            expert,
            removed,
            evicted,
            exchanged,
        } = *change;
        let (old, extra_holders) = (self.share(expert, 0), isize::from(!removed));
        let new = self.share(expert, extra_holders);
        visit(to, new);
        if removed {
            visit(from, -old);
        } else {
            for &rank in &self.holders[usize::from(expert)] {
                visit(rank, new - old);
            }
        }
        let Some(evicted) = evicted else {
            return;
        };
        if exchanged {
            let old = self.share(evicted, 0);
            visit(to, -old);
            visit(from, old);
        } else {
            self.visit_removal(evicted, to, &mut visit);
        }
    }

    /// Visits each rank whose load changes when an expert is removed from one
    /// of its holders, with the difference.
    fn visit_removal(&self, expert: u16, from: usize, visit: &mut dyn FnMut(usize, f64)) {
        let (old, new) = (self.share(expert, 0), self.share(expert, -1));
        visit(from, -old);
        let holders = self.holders[usize::from(expert)].iter();
        for &rank in holders.filter(|rank| **rank != from) {
            visit(rank, new - old);
        }
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &LayerChange) {
        let mut rank_times = std::mem::take(&mut self.rank_times);
        self.visit_time_changes(change, &mut |rank, delta| rank_times[rank] += delta);
        self.rank_times = rank_times;
        if !change.is_removal() {
            self.add_holder(change.expert, change.to);
        }
        if change.removed {
            self.remove_holder(change.expert, change.from);
        }
        if let Some(evicted) = change.evicted {
            self.remove_holder(evicted, change.to);
            if change.exchanged {
                self.add_holder(evicted, change.from);
            }
        }
    }

    fn add_holder(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].push(expert);
        self.holders[usize::from(expert)].push(rank);
    }

    fn remove_holder(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].retain(|other| *other != expert);
        self.holders[usize::from(expert)].retain(|holder| *holder != rank);
    }
}

/// Smooth approximation of the slowest rank's time, evaluated for variations of
/// the ranks' times.
struct SmoothPeak<'a> {
    rank_times: &'a [f64],
    even_time: f64,
    /// Each rank's time over `even_time`, raised to [`NORM_EXPONENT`].
    powers: Vec<f64>,
    sum: f64,
    /// Difference to each rank's time in the current variation.
    deltas: Vec<(usize, f64)>,
}

impl<'a> SmoothPeak<'a> {
    fn new(rank_times: &'a [f64], even_time: f64) -> Self {
        let powers: Vec<f64> = rank_times
            .iter()
            .map(|time| (time / even_time).powi(NORM_EXPONENT))
            .collect();
        let sum = powers.iter().sum();
        Self {
            rank_times,
            even_time,
            powers,
            sum,
            deltas: Vec::new(),
        }
    }

    /// The smooth peak without any variation.
    fn current(&self) -> f64 {
        self.even_time * self.sum.max(0.0).powf(1.0 / f64::from(NORM_EXPONENT))
    }

    /// Adds a difference to a rank's time.
    fn vary(&mut self, rank: usize, delta: f64) {
        match self.deltas.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, sum)) => *sum += delta,
            None => self.deltas.push((rank, delta)),
        }
    }

    /// The smooth peak with the current variation, which is then reset.
    fn take_varied(&mut self) -> f64 {
        let mut sum = self.sum;
        for (rank, delta) in self.deltas.drain(..) {
            let time = (self.rank_times[rank] + delta).max(0.0) / self.even_time;
            sum += time.powi(NORM_EXPONENT) - self.powers[rank];
        }
        self.even_time * sum.max(0.0).powf(1.0 / f64::from(NORM_EXPONENT))
    }
}
