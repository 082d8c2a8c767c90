//! The rebalancer decides when a group's experts move, and to which ranks.
//!
//! It follows drifting expert popularity, such as a season that concentrates
//! load on one set of experts or a festival that shifts it overnight. Ranks
//! advance in lock-step, so without rebalancing the busiest rank delays all
//! others. Rebalancing at every interval doesn't help either: noise makes it
//! move nearly every expert, and loading their weights slows the very steps
//! that it is meant to speed up.
//!
//! A change is therefore made only if it pays: the time saved over the expected
//! lifetime of the new map is compared with the time lost while experts are
//! loaded, each multiplied by the service's weight for it. The search starts
//! from the current map, takes the moves that lower the busiest rank's load
//! most, and stops where a further move saves less than it costs. Both maps are
//! evaluated on each recent sample by itself and not on the mean of the
//! samples, so that an oscillating load isn't mistaken for a lasting one.

pub mod history;
pub mod incremental;
mod layer_search;
pub mod packing;
pub mod placement;
pub mod sample;
pub mod search;

use std::time::Duration;

use verbenaspool_state::{
    expert_map::{Layer, Map, Shape},
    rebalancing::Rebalancing,
};

use self::{history::History, placement::Placement, sample::Sample};

/// Bandwidth of an accelerator's host link in bytes per second. Loading at a
/// fraction of it slows steps by at most that fraction, less the idle fraction
/// of the link.
pub const HOST_LINK_BYTES_PER_SECOND: f64 = 8e9;

/// Expected lifetime of a map before the first change has been observed.
const INITIAL_MAP_LIFETIME: Duration = Duration::from_mins(5);

/// Upper bound of a map's expected lifetime: drift makes any map obsolete.
const MAX_MAP_LIFETIME: Duration = Duration::from_mins(30);

/// Number of samples that are required before the first change.
const MIN_SAMPLES: usize = 3;

/// Smallest fraction of a step's time that a change has to save, at equal
/// weights. Samples of a few hundred steps differ by about this much by chance.
const MIN_SAVED_FRACTION: f64 = 0.002;

/// Smallest fraction of a step's time that each move has to save on average, at
/// equal weights. Below it, moves follow noise rather than drift.
const MIN_SAVED_FRACTION_PER_MOVE: f64 = 0.000_05;

/// Number of layers that one change may alter, the least balanced first. A
/// layer of 128 ranks and 256 experts takes about a millisecond to plan, on an
/// event loop that also carries requests. The other layers are left to later
/// changes.
const MAX_LAYERS_PER_CHANGE: usize = 6;

/// Number of changes that the local search tries per layer. Local search is
/// good at finding few moves; where many are needed, repacking finds better
/// placements in less time.
const MAX_CHANGES_PER_LAYER: usize = 32;

/// Values of `slack` that are tried when a layer is repacked: how much busier
/// than the least busy rank another one may be and still keep an expert, as a
/// fraction of the mean rank load. They range from keeping hardly any expert in
/// place to keeping many.
const REPACK_SLACK_FRACTIONS: [f64; 2] = [0.01, 0.1];

/// A change of map that is worth its cost.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The new placement.
    pub layers: Vec<Layer>,
    /// Number of experts to load, over all ranks and layers.
    pub moves: u32,
    /// Bytes to load, over all ranks.
    pub bytes: u64,
    /// Bytes per second that each rank may load.
    pub bytes_per_second: u64,
    /// Time that loading takes at that rate.
    pub staging: Duration,
    /// Fraction by which loading slows steps meanwhile.
    pub slowdown: f64,
    /// Expected skew of the current map.
    pub skew_before: f64,
    /// Expected skew of the new map.
    pub skew_after: f64,
}

/// Decides when the experts of one group move.
#[derive(Debug)]
pub struct Rebalancer {
    /// The service's settings.
    settings: Rebalancing,
    /// The group's shape.
    shape: Shape,
    /// Size of one expert's weights in bytes.
    expert_bytes: u64,
    /// The recent samples.
    history: History,
    /// The last step that a sample covered.
    last_step: u64,
    /// Idle fraction of the host links.
    spare_link_fraction: f64,
    /// The current epoch, and when it was first observed.
    epoch: u64,
    epoch_since: Option<Duration>,
    /// Running average of the lifetimes of earlier maps.
    map_lifetime: Duration,
}

impl Rebalancer {
    /// Creates a rebalancer without any samples.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::rebalancer::{Rebalancer, sample::Sample};
    /// use verbenaspool_state::{expert_map::{Map, Shape}, rebalancing::Rebalancing};
    ///
    /// let shape = Shape { ranks: 2, experts: 4, layers: 1, slots: 2 };
    /// let settings = Rebalancing { pause_s: 1, ..Rebalancing::default() };
    /// let mut rebalancer = Rebalancer::new(settings, shape, 1 << 20);
    /// let map = Map::spread(1, shape);
    /// // Both hot experts are on the first rank.
    /// for step in 1..=5 {
    ///     let layers = vec![vec![4_000, 1_000, 4_000, 1_000]];
    ///     let sample = Sample { epoch: 1, step: 100 * step, steps: 100, spare: 0.1, layers };
    ///     rebalancer.observe(&sample)?;
    ///     assert_eq!(rebalancer.decide(Duration::from_millis(step), &map), None);
    /// }
    /// let plan = rebalancer.decide(Duration::from_secs(2), &map).unwrap();
    /// assert!(plan.skew_after < 0.01 && plan.skew_before > 0.5);
    /// # Ok::<(), verbenaspool_policy::rebalancer::sample::Error>(())
    /// ```
    #[must_use]
    pub fn new(settings: Rebalancing, shape: Shape, expert_bytes: u64) -> Self {
        Self {
            settings,
            shape,
            expert_bytes,
            history: History::default(),
            last_step: 0,
            spare_link_fraction: 0.0,
            epoch: 0,
            epoch_since: None,
            map_lifetime: INITIAL_MAP_LIFETIME,
        }
    }

    /// Adds a sample.
    ///
    /// # Errors
    ///
    /// The reason for which the sample is ignored.
    pub fn observe(&mut self, sample: &Sample) -> Result<(), sample::Error> {
        sample.check(self.shape, self.epoch, self.last_step)?;
        self.last_step = sample.step;
        self.spare_link_fraction = if sample.spare.is_finite() {
            sample.spare.clamp(0.0, 1.0)
        } else {
            0.0
        };
        self.history.add(sample);
        Ok(())
    }

    /// Expected skew of a map: the time of the slowest rank over the mean of
    /// all ranks, minus one, over all layers of a step. `None` without samples.
    #[must_use]
    pub fn skew(&self, map: &Map) -> Option<f64> {
        let has_samples = !self.history.is_empty();
        has_samples.then(|| {
            self.history
                .weighted_mean(|loads| skew(&map.layers, loads, self.shape))
        })
    }

    /// Returns the change of map that is worth its cost now, if there is one.
    pub fn decide(&mut self, now: Duration, map: &Map) -> Option<Plan> {
        let age = self.map_age(now, map.epoch);
        if age < Duration::from_secs(self.settings.pause_s) || self.history.len() < MIN_SAMPLES {
            return None;
        }
        let bytes_per_second = self.load_rate()?;
        let (layers, moves) = self.improve_layers(map);
        if moves == 0 {
            return None;
        }
        let skew_before = self.skew(map)?;
        let skew_after = self
            .history
            .weighted_mean(|loads| skew(&layers, loads, self.shape));
        let plan = self.plan(map, layers, bytes_per_second, skew_before, skew_after);
        self.is_worthwhile(&plan, age).then_some(plan)
    }

    /// Returns how long `epoch` has been in use, and updates the average map
    /// lifetime when it has changed.
    fn map_age(&mut self, now: Duration, epoch: u64) -> Duration {
        let epoch_since = *self.epoch_since.get_or_insert(now);
        if epoch > self.epoch {
            if self.epoch > 0 {
                let lifetime = now.saturating_sub(epoch_since).min(MAX_MAP_LIFETIME);
                self.map_lifetime = (self.map_lifetime * 3 + lifetime) / 4;
            }
            self.epoch = epoch;
            self.epoch_since = Some(now);
            return Duration::ZERO;
        }
        now.saturating_sub(epoch_since)
    }

    /// Bytes per second that a rank may load without slowing steps by more than
    /// the service allows, or `None` if it may not load at all.
    fn load_rate(&self) -> Option<u64> {
        let free =
            (self.spare_link_fraction + self.settings.most_delay) * HOST_LINK_BYTES_PER_SECOND;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // At most 1.6e10.
        let bytes_per_second = (free as u64).min(self.settings.bytes_a_second);
        (bytes_per_second > 0).then_some(bytes_per_second)
    }

    /// Weight of the cost of moves relative to the weight of skew.
    fn cost_to_skew_ratio(&self) -> f64 {
        self.settings.cost / self.settings.skew.max(f64::MIN_POSITIVE)
    }

    /// Returns an improved placement and the number of moves to it.
    fn improve_layers(&self, map: &Map) -> (Vec<Layer>, u32) {
        let loads = self.history.expected_loads();
        let mean: f64 = loads.iter().flatten().sum::<f64>() / f64::from(self.shape.ranks);
        let min_gain_per_move = MIN_SAVED_FRACTION_PER_MOVE * self.cost_to_skew_ratio() * mean;
        let mut moves_left = self.settings.most_moves;
        let mut moves = 0;
        let mut layers = map.layers.clone();
        let pairs = map.layers.iter().zip(&loads);
        let placements = pairs.map(|(layer, loads)| Placement::new(layer, loads, self.shape.slots));
        let mut placements: Vec<(usize, Placement)> = placements.enumerate().collect();
        let excess = |placement: &Placement| placement.peak_load() - placement.mean_load();
        placements.sort_by(|a, b| excess(&b.1).total_cmp(&excess(&a.1)));
        for (number, start) in placements.iter().take(MAX_LAYERS_PER_CHANGE) {
            let (better, layer_moves) =
                self.improve_layer(start, &loads[*number], min_gain_per_move, moves_left);
            moves_left -= layer_moves;
            moves += layer_moves;
            layers[*number] = better;
        }
        (layers, moves)
    }

    /// Returns the better of a local search and of repacked layers that keep
    /// what they can, and the number of experts to load.
    fn improve_layer(
        &self,
        start: &Placement,
        loads: &[f64],
        min_gain_per_move: f64,
        max_moves: u32,
    ) -> (Layer, u32) {
        let searched = search_moves(start, min_gain_per_move, max_moves);
        let current = start.to_layer();
        let repacked = REPACK_SLACK_FRACTIONS.iter().map(|&slack| {
            let layer = packing::repack(loads, self.shape, &current, slack);
            let moves = new_experts(&current, &layer);
            (layer, moves)
        });
        let net_gain = |(layer, moves): &(Layer, u32)| {
            let peak = Placement::new(layer, loads, self.shape.slots).peak_load();
            start.peak_load() - peak - min_gain_per_move * f64::from(*moves)
        };
        let allowed = repacked.filter(|&(_, moves)| moves <= max_moves);
        let best = allowed.chain([searched]);
        let best = best.max_by(|a, b| net_gain(a).total_cmp(&net_gain(b)));
        best.unwrap_or((current, 0))
    }

    /// Computes the cost of a change to `layers`.
    fn plan(
        &self,
        map: &Map,
        layers: Vec<Layer>,
        bytes_per_second: u64,
        skew_before: f64,
        skew_after: f64,
    ) -> Plan {
        let new = Map {
            epoch: map.epoch,
            layers,
        };
        let rank_moves = (0..self.shape.ranks).map(|rank| new.added(Some(map), rank).len() as u64);
        let rank_moves: Vec<u64> = rank_moves.collect();
        let moves = rank_moves.iter().sum::<u64>();
        let max_rank_bytes = rank_moves.iter().max().copied().unwrap_or(0) * self.expert_bytes;
        #[allow(clippy::cast_precision_loss)] // Bytes of a rank are far below 2^52.
        let (seconds, link_fraction) = (
            max_rank_bytes as f64 / bytes_per_second as f64,
            bytes_per_second as f64 / HOST_LINK_BYTES_PER_SECOND,
        );
        Plan {
            layers: new.layers,
            moves: u32::try_from(moves).unwrap_or(u32::MAX),
            bytes: moves * self.expert_bytes,
            bytes_per_second,
            staging: Duration::from_secs_f64(seconds),
            slowdown: (link_fraction - self.spare_link_fraction).max(0.0),
            skew_before,
            skew_after,
        }
    }

    /// Whether the time saved over the new map's expected lifetime outweighs the
    /// time lost.
    ///
    /// A map that has lasted for `age` is expected to be followed by one that
    /// lasts at least as long.
    fn is_worthwhile(&self, plan: &Plan, age: Duration) -> bool {
        let saved_fraction = (plan.skew_before - plan.skew_after) / (1.0 + plan.skew_before);
        if saved_fraction < MIN_SAVED_FRACTION * self.cost_to_skew_ratio().clamp(0.1, 10.0) {
            return false;
        }
        let lifetime = self.map_lifetime.max(age).min(MAX_MAP_LIFETIME);
        let lifetime = lifetime.saturating_sub(plan.staging).as_secs_f64();
        let delay = plan.staging.as_secs_f64() * plan.slowdown;
        #[allow(clippy::cast_precision_loss)] // Bytes of a change are far below 2^52.
        let transfer = plan.bytes as f64 / HOST_LINK_BYTES_PER_SECOND;
        self.settings.skew * saved_fraction * lifetime > self.settings.cost * (delay + transfer)
    }
}

/// Number of experts that ranks have to load to change from one layer to
/// another.
fn new_experts(current: &Layer, new_layer: &Layer) -> u32 {
    let ranks = current.ranks.iter().zip(&new_layer.ranks);
    let counts =
        ranks.map(|(current, experts)| experts.iter().filter(|e| !current.contains(e)).count());
    u32::try_from(counts.sum::<usize>()).unwrap_or(u32::MAX)
}

/// Lowers the peak load of one layer with up to `max_moves` moves. Returns the
/// best placement found, net of `min_gain_per_move` for each move, and its
/// number of moves.
fn search_moves(start: &Placement, min_gain_per_move: f64, max_moves: u32) -> (Layer, u32) {
    let mut placement = start.clone();
    let mut changes = Vec::new();
    let (mut best_gain, mut best_len, mut moves, mut best_moves) = (0.0, 0, 0, 0);
    for _ in 0..MAX_CHANGES_PER_LAYER {
        let Some(change) = search::best_change(&placement) else {
            break;
        };
        moves += change.moves();
        if moves > max_moves {
            break;
        }
        change.apply(&mut placement);
        changes.push(change);
        let cost = min_gain_per_move * f64::from(moves);
        let net_gain = start.peak_load() - placement.peak_load() - cost;
        if net_gain > best_gain {
            (best_gain, best_len, best_moves) = (net_gain, changes.len(), moves);
        }
        // Even a perfectly balanced placement wouldn't make up for the moves
        // any more.
        if start.peak_load() - placement.mean_load() - cost <= best_gain {
            break;
        }
    }
    let mut placement = start.clone();
    for change in &changes[..best_len] {
        change.apply(&mut placement);
    }
    (placement.to_layer(), best_moves)
}

/// Skew of a placement under loads given by layer and expert.
///
/// Ranks wait for each other in every layer, so the duration of a step is the
/// sum over the layers of the busiest rank's time.
///
/// ```
/// use verbenaspool_policy::rebalancer::skew;
/// use verbenaspool_state::expert_map::{Layer, Shape};
///
/// let shape = Shape { ranks: 2, experts: 2, layers: 1, slots: 1 };
/// let layer = Layer { ranks: vec![vec![0], vec![1]] };
/// assert!((skew(&[layer], &[vec![3.0, 1.0]], shape) - 0.5).abs() < 1e-9);
/// ```
#[must_use]
pub fn skew(layers: &[Layer], loads: &[Vec<f64>], shape: Shape) -> f64 {
    let (mut peak_sum, mut mean_sum) = (0.0, 0.0);
    let mut copies = vec![0.0_f64; usize::from(shape.experts)];
    for (layer, loads) in layers.iter().zip(loads) {
        copies.fill(0.0);
        for &expert in layer.ranks.iter().flatten() {
            copies[usize::from(expert)] += 1.0;
        }
        let copy_load = |&expert: &u16| loads[usize::from(expert)] / copies[usize::from(expert)];
        let rank_loads = layer
            .ranks
            .iter()
            .map(|experts| experts.iter().map(copy_load).sum());
        peak_sum += rank_loads.fold(0.0, f64::max);
        mean_sum += loads.iter().sum::<f64>() / f64::from(shape.ranks);
    }
    peak_sum / mean_sum - 1.0
}
