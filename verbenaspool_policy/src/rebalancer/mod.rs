//! The rebalancer: when a group's experts move, and where to.
//!
//! It answers popularity that drifts: a season crowds one set of experts, a
//! festival shifts the load overnight. Ranks advance in lock-step, so without
//! it the busiest rank holds back all. Rebalancing at every interval is no
//! answer either: it moves nearly every expert for noise, and what it loads
//! slows the steps that it is to speed up.
//!
//! So a change has to pay: the time that it saves over the map's expected life
//! against the time lost while experts load, each with the service's weight.
//! It starts from the map in force and takes the moves that lower the busiest
//! rank most; it stops where a further move brings less than it costs. Both
//! maps are judged on each recent sample by itself rather than on their mean,
//! so a load that swings to and fro doesn't look like one that stays.

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

use self::{
    history::History,
    placement::Placement,
    sample::{Sample, SampleError},
};

/// The bytes a second that an accelerator's host link carries. Loading at a
/// part of it slows steps by up to that part, less what is spare.
pub const HOST_LINK_BYTES_PER_SECOND: f64 = 8e9;

/// How long a map is expected to last before the first change was seen.
const INITIAL_MAP_LIFETIME: Duration = Duration::from_mins(5);

/// The longest life that is reckoned with: drift makes any map old.
const MAX_MAP_LIFETIME: Duration = Duration::from_mins(30);

/// How many samples have to agree before the first change.
const MIN_SAMPLES: usize = 3;

/// The least part of a step's time that a change has to save, for even
/// weights. Samples of some hundred steps differ by about this much by chance.
const MIN_SAVED_FRACTION: f64 = 0.002;

/// The least part of a step's time that one move has to save on average, for
/// even weights: below it a move follows chance rather than drift.
const MIN_SAVED_FRACTION_PER_MOVE: f64 = 0.000_05;

/// How many layers one change of map may touch, the least even first. A layer of
/// 128 ranks and 256 experts takes about a millisecond, and the loop that it
/// takes it from carries requests as well; the other layers' turn comes next.
const MAX_LAYERS_PER_CHANGE: usize = 6;

/// How many changes the search tries on one layer. It is good at few moves; where
/// many are called for, packing anew finds better ones in less time.
const MAX_CHANGES_PER_LAYER: usize = 32;

/// How much busier than the least busy rank one may be and still keep an expert
/// when a layer is packed anew, as parts of a rank's mean work: from keeping
/// hardly anything to keeping much.
const REPACK_SLACK_FRACTIONS: [f64; 2] = [0.01, 0.1];

/// A change of map that pays.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The new placement.
    pub layers: Vec<Layer>,
    /// How many experts have to be loaded, over all ranks and layers.
    pub moves: u32,
    /// The bytes to load, over all ranks.
    pub bytes: u64,
    /// The bytes a second that each rank may load.
    pub bytes_per_second: u64,
    /// How long loading takes at that rate.
    pub staging: Duration,
    /// The part by which loading slows steps meanwhile.
    pub slowdown: f64,
    /// The expected skew of the map in force.
    pub skew_before: f64,
    /// The expected skew of the new map.
    pub skew_after: f64,
}

/// Decides when experts of one group move.
#[derive(Debug)]
pub struct Rebalancer {
    /// The service's settings.
    settings: Rebalancing,
    /// The group's layout.
    shape: Shape,
    /// The size of one expert's weights in bytes.
    expert_bytes: u64,
    /// The recent samples.
    history: History,
    /// The last step that a sample covered.
    last_step: u64,
    /// The spare part of the host links.
    spare_link_fraction: f64,
    /// The epoch in force, and since when it was seen to be.
    epoch: u64,
    epoch_since: Option<Duration>,
    /// How long maps have lasted.
    map_lifetime: Duration,
}

impl Rebalancer {
    /// A rebalancer that has seen nothing.
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
    /// // Both hot experts stand on the first rank.
    /// for step in 1..=5 {
    ///     let layers = vec![vec![4_000, 1_000, 4_000, 1_000]];
    ///     let sample = Sample { epoch: 1, step: 100 * step, steps: 100, spare: 0.1, layers };
    ///     rebalancer.observe(&sample)?;
    ///     assert_eq!(rebalancer.decide(Duration::from_millis(step), &map), None);
    /// }
    /// let plan = rebalancer.decide(Duration::from_secs(2), &map).unwrap();
    /// assert!(plan.skew_after < 0.01 && plan.skew_before > 0.5);
    /// # Ok::<(), verbenaspool_policy::rebalancer::sample::SampleError>(())
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

    /// Takes in a sample.
    ///
    /// # Errors
    ///
    /// Why the sample is ignored.
    pub fn observe(&mut self, sample: &Sample) -> Result<(), SampleError> {
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

    /// The skew to expect of a map: the slowest rank's time over the mean of
    /// all, less one, over the layers of a step.
    #[must_use]
    pub fn skew(&self, map: &Map) -> Option<f64> {
        let has_samples = !self.history.is_empty();
        has_samples.then(|| {
            self.history
                .weighted_mean(|loads| skew(&map.layers, loads, self.shape))
        })
    }

    /// The change of map that pays now, if one does.
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

    /// How long the epoch is in force; learns how long maps last.
    fn map_age(&mut self, now: Duration, epoch: u64) -> Duration {
        let epoch_since = *self.epoch_since.get_or_insert(now);
        if epoch > self.epoch {
            if self.epoch > 0 {
                let lasted = now.saturating_sub(epoch_since).min(MAX_MAP_LIFETIME);
                self.map_lifetime = (self.map_lifetime * 3 + lasted) / 4;
            }
            self.epoch = epoch;
            self.epoch_since = Some(now);
            return Duration::ZERO;
        }
        now.saturating_sub(epoch_since)
    }

    /// The bytes a second that a rank may load without slowing steps by more
    /// than the service allows; none where it may not load at all.
    fn load_rate(&self) -> Option<u64> {
        let free =
            (self.spare_link_fraction + self.settings.most_delay) * HOST_LINK_BYTES_PER_SECOND;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // At most 2 * LINK.
        let bytes_per_second = (free as u64).min(self.settings.bytes_a_second);
        (bytes_per_second > 0).then_some(bytes_per_second)
    }

    /// How dear a move is, against skew.
    fn cost_to_skew_ratio(&self) -> f64 {
        self.settings.cost / self.settings.skew.max(f64::MIN_POSITIVE)
    }

    /// The placement that few moves lead to, and how many.
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

    /// The better of few moves and of a packing that keeps what it can, and how
    /// many experts it loads.
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

    /// What a change to these layers would take.
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

    /// Whether the time saved over the map's life is worth the time lost.
    ///
    /// A map that has lasted is expected to last as long again.
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

/// How many experts ranks have to load to get from one placement to another.
fn new_experts(current: &Layer, new_layer: &Layer) -> u32 {
    let ranks = current.ranks.iter().zip(&new_layer.ranks);
    let counts =
        ranks.map(|(current, experts)| experts.iter().filter(|e| !current.contains(e)).count());
    u32::try_from(counts.sum::<usize>()).unwrap_or(u32::MAX)
}

/// Lowers the peak of one layer by up to `most` moves, and returns the placement
/// from which a further move isn't worth its price.
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
        // Not even a perfect placement would make up for the moves any more.
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

/// The skew of a placement under loads, by layer and expert.
///
/// Ranks wait for each other in every layer, so a step takes the sum of the
/// layers' busiest ranks.
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
        let share = |&expert: &u16| loads[usize::from(expert)] / copies[usize::from(expert)];
        let rank_loads = layer
            .ranks
            .iter()
            .map(|experts| experts.iter().map(share).sum());
        peak_sum += rank_loads.fold(0.0, f64::max);
        mean_sum += loads.iter().sum::<f64>() / f64::from(shape.ranks);
    }
    peak_sum / mean_sum - 1.0
}
