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
pub mod packing;
pub mod placement;
pub mod relief;
pub mod sample;
pub mod search;
mod set;

use std::time::Duration;

use verbenaspool_state::{
    expert_map::{Layer, Map, Shape},
    rebalancing::Rebalancing,
};

use self::{
    history::History,
    placement::Placement,
    sample::{Ignored, Sample},
};

/// The bytes a second that an accelerator's host link carries. Loading at a
/// part of it slows steps by up to that part, less what is spare.
pub const LINK: f64 = 8e9;

/// How long a map is expected to last before the first change was seen.
const LIFE: Duration = Duration::from_mins(5);

/// The longest life that is reckoned with: drift makes any map old.
const LONGEST: Duration = Duration::from_mins(30);

/// How many samples have to agree before the first change.
const FEWEST: usize = 3;

/// The least part of a step's time that a change has to save, for even
/// weights. Samples of some hundred steps differ by about this much by chance.
const BAND: f64 = 0.002;

/// The least part of a step's time that one move has to save on average, for
/// even weights: below it a move follows chance rather than drift.
const WORTH: f64 = 0.000_05;

/// How many layers one change of map may touch, the least even first. A layer of
/// 128 ranks and 256 experts takes about a millisecond, and the loop that it
/// takes it from carries requests as well; the other layers' turn comes next.
const AT_ONCE: usize = 6;

/// How many changes the search tries on one layer. It is good at few moves; where
/// many are called for, packing anew finds better ones in less time.
const CHANGES: usize = 32;

/// How much busier than the least busy rank one may be and still keep an expert
/// when a layer is packed anew, as parts of a rank's mean work: from keeping
/// hardly anything to keeping much.
const SLACKS: [f64; 2] = [0.01, 0.1];

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
    pub rate: u64,
    /// How long loading takes at that rate.
    pub staging: Duration,
    /// The part by which loading slows steps meanwhile.
    pub slowdown: f64,
    /// The expected skew of the map in force.
    pub before: f64,
    /// The expected skew of the new map.
    pub after: f64,
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
    seen: u64,
    /// The spare part of the host links.
    spare: f64,
    /// The epoch in force, and since when it was seen to be.
    epoch: u64,
    since: Option<Duration>,
    /// How long maps have lasted.
    life: Duration,
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
    /// assert!(plan.after < 0.01 && plan.before > 0.5);
    /// # Ok::<(), verbenaspool_policy::rebalancer::sample::Ignored>(())
    /// ```
    #[must_use]
    pub fn new(settings: Rebalancing, shape: Shape, expert_bytes: u64) -> Self {
        Self {
            settings,
            shape,
            expert_bytes,
            history: History::default(),
            seen: 0,
            spare: 0.0,
            epoch: 0,
            since: None,
            life: LIFE,
        }
    }

    /// Takes in a sample.
    ///
    /// # Errors
    ///
    /// Why the sample is ignored.
    pub fn observe(&mut self, sample: &Sample) -> Result<(), Ignored> {
        sample.check(self.shape, self.epoch, self.seen)?;
        self.seen = sample.step;
        self.spare = if sample.spare.is_finite() {
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
        let known = !self.history.is_empty();
        known.then(|| {
            self.history
                .mean(|loads| skew(&map.layers, loads, self.shape))
        })
    }

    /// The change of map that pays now, if one does.
    pub fn decide(&mut self, now: Duration, map: &Map) -> Option<Plan> {
        let age = self.age(now, map.epoch);
        if age < Duration::from_secs(self.settings.pause_s) || self.history.len() < FEWEST {
            return None;
        }
        let rate = self.rate()?;
        let (layers, moves) = self.improve(map);
        if moves == 0 {
            return None;
        }
        let before = self.skew(map)?;
        let after = self.history.mean(|loads| skew(&layers, loads, self.shape));
        let plan = self.plan(map, layers, rate, before, after);
        self.pays(&plan, age).then_some(plan)
    }

    /// How long the epoch is in force; learns how long maps last.
    fn age(&mut self, now: Duration, epoch: u64) -> Duration {
        let since = *self.since.get_or_insert(now);
        if epoch > self.epoch {
            if self.epoch > 0 {
                let lasted = now.saturating_sub(since).min(LONGEST);
                self.life = (self.life * 3 + lasted) / 4;
            }
            self.epoch = epoch;
            self.since = Some(now);
            return Duration::ZERO;
        }
        now.saturating_sub(since)
    }

    /// The bytes a second that a rank may load without slowing steps by more
    /// than the service allows; none where it may not load at all.
    fn rate(&self) -> Option<u64> {
        let free = (self.spare + self.settings.most_delay) * LINK;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // At most 2 * LINK.
        let rate = (free as u64).min(self.settings.bytes_a_second);
        (rate > 0).then_some(rate)
    }

    /// How dear a move is, against skew.
    fn price(&self) -> f64 {
        self.settings.cost / self.settings.skew.max(f64::MIN_POSITIVE)
    }

    /// The placement that few moves lead to, and how many.
    fn improve(&self, map: &Map) -> (Vec<Layer>, u32) {
        let loads = self.history.expect();
        let mean: f64 = loads.iter().flatten().sum::<f64>() / f64::from(self.shape.ranks);
        let worth = WORTH * self.price() * mean;
        let mut left = self.settings.most_moves;
        let mut moved = 0;
        let mut layers = map.layers.clone();
        let pairs = map.layers.iter().zip(&loads);
        let starts = pairs.map(|(layer, loads)| Placement::new(layer, loads, self.shape.slots));
        let mut starts: Vec<(usize, Placement)> = starts.enumerate().collect();
        let excess = |placement: &Placement| placement.peak() - placement.mean();
        starts.sort_by(|a, b| excess(&b.1).total_cmp(&excess(&a.1)));
        for (number, start) in starts.iter().take(AT_ONCE) {
            let (better, loaded) = self.layer(start, &loads[*number], worth, left);
            left -= loaded;
            moved += loaded;
            layers[*number] = better;
        }
        (layers, moved)
    }

    /// The better of few moves and of a packing that keeps what it can, and how
    /// many experts it loads.
    fn layer(&self, start: &Placement, loads: &[f64], worth: f64, most: u32) -> (Layer, u32) {
        let few = descend(start, worth, most);
        let held = start.layer();
        let anew = SLACKS.iter().map(|&slack| {
            let layer = packing::repack(loads, self.shape, &held, slack);
            let moves = loaded(&held, &layer);
            (layer, moves)
        });
        let value = |(layer, moves): &(Layer, u32)| {
            let peak = Placement::new(layer, loads, self.shape.slots).peak();
            start.peak() - peak - worth * f64::from(*moves)
        };
        let fits = anew.filter(|&(_, moves)| moves <= most);
        let best = fits.chain([few]);
        let best = best.max_by(|a, b| value(a).total_cmp(&value(b)));
        best.unwrap_or((held, 0))
    }

    /// What a change to these layers would take.
    fn plan(&self, map: &Map, layers: Vec<Layer>, rate: u64, before: f64, after: f64) -> Plan {
        let new = Map {
            epoch: map.epoch,
            layers,
        };
        let loads = (0..self.shape.ranks).map(|rank| new.added(Some(map), rank).len() as u64);
        let loads: Vec<u64> = loads.collect();
        let moves = loads.iter().sum::<u64>();
        let most = loads.iter().max().copied().unwrap_or(0) * self.expert_bytes;
        #[allow(clippy::cast_precision_loss)] // Bytes of a rank are far below 2^52.
        let (seconds, load) = (most as f64 / rate as f64, rate as f64 / LINK);
        Plan {
            layers: new.layers,
            moves: u32::try_from(moves).unwrap_or(u32::MAX),
            bytes: moves * self.expert_bytes,
            rate,
            staging: Duration::from_secs_f64(seconds),
            slowdown: (load - self.spare).max(0.0),
            before,
            after,
        }
    }

    /// Whether the time saved over the map's life is worth the time lost.
    ///
    /// A map that has lasted is expected to last as long again.
    fn pays(&self, plan: &Plan, age: Duration) -> bool {
        let saved = (plan.before - plan.after) / (1.0 + plan.before);
        if saved < BAND * self.price().clamp(0.1, 10.0) {
            return false;
        }
        let life = self.life.max(age).min(LONGEST);
        let life = life.saturating_sub(plan.staging).as_secs_f64();
        let lost = plan.staging.as_secs_f64() * plan.slowdown;
        #[allow(clippy::cast_precision_loss)] // Bytes of a change are far below 2^52.
        let moved = plan.bytes as f64 / LINK;
        self.settings.skew * saved * life > self.settings.cost * (lost + moved)
    }
}

/// How many experts ranks have to load to get from one placement to another.
fn loaded(held: &Layer, layer: &Layer) -> u32 {
    let ranks = held.ranks.iter().zip(&layer.ranks);
    let new = ranks.map(|(held, experts)| experts.iter().filter(|e| !held.contains(e)).count());
    u32::try_from(new.sum::<usize>()).unwrap_or(u32::MAX)
}

/// Lowers the peak of one layer by up to `most` moves, and returns the placement
/// from which a further move isn't worth its price.
fn descend(start: &Placement, worth: f64, most: u32) -> (Layer, u32) {
    let mut placement = start.clone();
    let mut changes = Vec::new();
    let (mut value, mut kept, mut moves, mut kept_moves) = (0.0, 0, 0, 0);
    for _ in 0..CHANGES {
        let Some(change) = search::best(&placement) else {
            break;
        };
        moves += change.moves();
        if moves > most {
            break;
        }
        change.apply(&mut placement);
        changes.push(change);
        let price = worth * f64::from(moves);
        let gain = start.peak() - placement.peak() - price;
        if gain > value {
            (value, kept, kept_moves) = (gain, changes.len(), moves);
        }
        // Not even a perfect placement would make up for the moves any more.
        if start.peak() - placement.mean() - price <= value {
            break;
        }
    }
    let mut placement = start.clone();
    for change in &changes[..kept] {
        change.apply(&mut placement);
    }
    (placement.layer(), kept_moves)
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
    let (mut peak, mut mean) = (0.0, 0.0);
    let mut copies = vec![0.0_f64; usize::from(shape.experts)];
    for (layer, loads) in layers.iter().zip(loads) {
        copies.fill(0.0);
        for &expert in layer.ranks.iter().flatten() {
            copies[usize::from(expert)] += 1.0;
        }
        let part = |&expert: &u16| loads[usize::from(expert)] / copies[usize::from(expert)];
        let work = layer
            .ranks
            .iter()
            .map(|experts| experts.iter().map(part).sum());
        peak += work.fold(0.0, f64::max);
        mean += loads.iter().sum::<f64>() / f64::from(shape.ranks);
    }
    peak / mean - 1.0
}
