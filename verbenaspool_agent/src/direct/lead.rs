//! What the agent beside the first rank knows of its group, and what it decides.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use verbenaspool_coordination::switch::Switch;
use verbenaspool_policy::rebalancer::incremental::{self, ChangeLimits, PlacementChange};
use verbenaspool_protocol::member::{Choices, Difference, Map, Move, RankExperts, placement_hash};
use verbenaspool_state::{engine::Experts, expert_map::Layer};

use super::assembly::{INITIAL_VERSION, diff, initial_placement};

/// Time constant by which older expert counts count less.
const EXPERT_LOAD_WINDOW: Duration = Duration::from_millis(150);

/// How long one message about choices may be overtaken by others.
const REORDER_WINDOW: Duration = Duration::from_millis(300);

/// Choices a set that a decision rests on at least.
const MIN_SAMPLES: f64 = 1_000.0;

/// How long a rank may copy for one change. Passes take longer meanwhile, and just after a
/// shift of popularity they are at their longest.
const COPY_TIME: Duration = Duration::from_millis(40);

/// The same while a rank is slow, or is well again and holds hardly any experts, and on
/// the map that a group forms with.
const REBUILD_COPY_TIME: Duration = Duration::from_millis(300);

/// Age from which on choices say nothing of what requests choose now.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// How long a group counts as newly formed. The first changes rest on few requests.
const FORMING_TIME: Duration = Duration::from_secs(1);

/// The pace from which on a rank counts as slow: its part of a pass is half longer,
/// more than the busiest rank is above the mean on a good map.
const SLOW_RANK_PACE: f64 = 1.5;

/// Copies a rank that one change makes at most, however fast they are.
const MAX_COPIES_PER_RANK: usize = 4;

/// The least part of the pass that a copy has to save, for each second that it takes,
/// divided by the ranks: a shorter pass serves the streams of all of them.
const MIN_GAIN_PER_COPY_SECOND: f64 = 1.0;

/// Places that change which are told in one datagram: each takes up to nine bytes, and
/// the ranks that it is passed on to up to 200.
const MOVES_PER_DATAGRAM: usize = 120;

/// Bits of a version that are drawn: a lead that was started again can't know
/// every version that its forerunner gave out, and an order for one of those may
/// still come.
const RANDOM_VERSION_BITS: u32 = 16;

/// The map of the group as its ranks hold it.
#[derive(Debug, Clone, Default)]
struct RankMap {
    version: u64,
    experts: Vec<Vec<u16>>,
}

/// A map that is being brought in use.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Its version.
    pub version: u64,
    /// The experts by set and rank.
    pub placement: Vec<Vec<Vec<u16>>>,
    /// The version that it differs from, and by what.
    pub base: u64,
    /// The places that change.
    pub moves: Vec<Move>,
    /// Tells this map from others.
    pub hash: u32,
}

/// The group as its lead knows it.
#[derive(Debug)]
pub struct Lead {
    /// The change under way.
    pub switch: Switch,
    /// The map that it brings in use.
    pub plan: Option<Plan>,
    /// Whether it only stands in for a lead that is silent, to let a pass begin
    /// that is held.
    pub stands_in: bool,
    rank_count: usize,
    epoch: u64,
    rank_maps: BTreeMap<u16, RankMap>,
    expert_loads: Vec<f64>,
    loads_updated_at: Duration,
    /// When the group was first seen to run.
    running_since: Option<Duration>,
    /// The last round of each part of a rank's messages about choices, and when it came.
    received_rounds: BTreeMap<(u16, u32), (u64, Duration)>,
    /// How many times longer than usual each rank takes for its work.
    paces: Vec<f64>,
}

impl Lead {
    /// The lead of a group of so many ranks.
    pub fn new(ranks: usize) -> Self {
        Self {
            switch: Switch::new(ranks),
            plan: None,
            stands_in: false,
            rank_count: ranks,
            epoch: 0,
            rank_maps: BTreeMap::new(),
            expert_loads: Vec::new(),
            loads_updated_at: Duration::ZERO,
            running_since: None,
            received_rounds: BTreeMap::new(),
            paces: vec![1.0; ranks],
        }
    }

    /// Takes over what the lead of the group's epoch before knew of popularity.
    ///
    /// A group that forms anew has its first map, on which passes take three times as
    /// long as on even ranks, and all who waited for it come at once. Popularity is
    /// much the same as before, so a better map can be copied before they come.
    ///
    /// Other ranks may have reported of the new epoch before the own one did.
    pub fn inherit(&mut self, before: Self, epoch: u64) {
        if before.rank_count != self.rank_count {
            return;
        }
        self.expert_loads = before.expert_loads;
        self.loads_updated_at = before.loads_updated_at;
        if before.switch.epoch() == epoch {
            self.switch = before.switch;
        }
    }

    /// Whether each expert has a place on the group's ranks. Where not, no map is one
    /// that engines take, and none is ordered.
    pub fn fits(&self, experts: &Experts) -> bool {
        experts.fits(self.rank_count)
    }

    /// Takes in how slow a rank is.
    pub fn set_pace(&mut self, rank: usize, pace: f32) {
        if let Some(known) = self.paces.get_mut(rank) {
            *known = pace.into();
        }
    }

    /// How long ranks may copy for one change.
    ///
    /// A slow rank makes each pass late, whatever is copied meanwhile: all its experts
    /// are to leave it in one change, where one copy a rank and change took three
    /// changes of a second each. Likewise when it is well again and holds hardly any, and
    /// on the map that a group forms with, which is about as bad.
    fn max_copy_time(&self, now: Duration, layers: &[Layer], version: u64) -> Duration {
        let newly_formed = self
            .running_since
            .is_some_and(|since| now < since + FORMING_TIME);
        let initial = version == INITIAL_VERSION || newly_formed;
        let slow = self.paces.iter().any(|pace| *pace >= SLOW_RANK_PACE);
        let slots = |rank: usize| layers.iter().map(|l| l.ranks[rank].len()).sum::<usize>();
        let all: usize = (0..self.rank_count).map(slots).sum();
        let empty = (0..self.rank_count).any(|rank| slots(rank) * self.rank_count * 2 < all);
        if initial || slow || empty {
            REBUILD_COPY_TIME
        } else {
            COPY_TIME
        }
    }

    /// Takes in what requests chose among so many experts of all sets; tells whether it
    /// fits and is new.
    ///
    /// A message that came twice would count double.
    pub fn add_choices(&mut self, now: Duration, choices: &Choices, counts: usize) -> bool {
        let from = choices.offset as usize;
        let end = from.saturating_add(choices.counts.len());
        let is_duplicate = |(round, at): &(u64, Duration)| {
            choices.round <= *round && now.saturating_sub(*at) < REORDER_WINDOW
        };
        let part = (choices.rank, choices.offset);
        if end > counts || self.received_rounds.get(&part).is_some_and(is_duplicate) {
            return false;
        }
        self.received_rounds.insert(part, (choices.round, now));
        let age = now.saturating_sub(self.loads_updated_at).as_secs_f64()
            / EXPERT_LOAD_WINDOW.as_secs_f64();
        self.loads_updated_at = now;
        let decay = (-age).exp();
        self.expert_loads.iter_mut().for_each(|load| *load *= decay);
        self.expert_loads.resize(counts, 0.0);
        for (load, count) in self.expert_loads[from..end].iter_mut().zip(&choices.counts) {
            *load += f64::from(*count);
        }
        true
    }

    /// Takes in what a rank holds.
    pub fn record_experts(&mut self, experts: RankExperts) {
        if experts.epoch > self.epoch {
            self.epoch = experts.epoch;
            self.rank_maps.clear();
        }
        // A message from before the last change comes too late.
        let newer = |known: &RankMap| experts.version >= known.version;
        if experts.epoch == self.epoch && self.rank_maps.get(&experts.rank).is_none_or(newer) {
            let rank_map = RankMap {
                version: experts.version,
                experts: experts.experts,
            };
            self.rank_maps.insert(experts.rank, rank_map);
        }
    }

    /// A map is in use that this lead brought there: what ranks hold is known
    /// without their message, which takes up to 0.2 s.
    pub fn record_completed(&mut self, version: u64) {
        let Some(plan) = self.plan.as_ref().filter(|plan| plan.version == version) else {
            return;
        };
        for rank in 0..self.rank_count {
            let experts = plan.placement.iter().map(|ranks| ranks[rank].clone());
            let rank_map = RankMap {
                version,
                experts: experts.collect(),
            };
            self.rank_maps
                .insert(u16::try_from(rank).unwrap_or(u16::MAX), rank_map);
        }
    }

    /// The map in use and its version, where all ranks said that they hold the same one.
    ///
    /// The map that a group forms with is known without their messages, which take too
    /// long: everybody who waited for the group comes at once, and passes on this map are
    /// the longest there are.
    fn current_map(&self, experts: &Experts) -> Option<(u64, Vec<Layer>)> {
        if self.switch.map_version() == Some(INITIAL_VERSION) {
            let ranks = u16::try_from(self.rank_count).ok()?;
            let sets = initial_placement(ranks, experts).into_iter();
            return Some((INITIAL_VERSION, sets.map(|ranks| Layer { ranks }).collect()));
        }
        let first = self.rank_maps.get(&0)?;
        let complete = self.rank_maps.len() == self.rank_count
            && self
                .rank_maps
                .values()
                .all(|map| map.version == first.version)
            && self.epoch == self.switch.epoch();
        if !complete {
            return None;
        }
        let sets = usize::from(experts.layers);
        let ranks = |set: usize| {
            let ranks = self.rank_maps.values();
            ranks.map(move |map| map.experts.get(set).cloned().unwrap_or_default())
        };
        let layer = |set| Layer {
            ranks: ranks(set).collect(),
        };
        Some((first.version, (0..sets).map(layer).collect()))
    }

    /// The loads by set.
    fn layer_loads(&self, experts: &Experts) -> Option<Vec<Vec<f64>>> {
        let count = usize::from(experts.count);
        let sets: Vec<Vec<f64>> = self
            .expert_loads
            .chunks(count)
            .map(<[f64]>::to_vec)
            .collect();
        let complete = sets.len() == usize::from(experts.layers);
        let enough = sets
            .iter()
            .all(|set| set.iter().sum::<f64>() >= MIN_SAMPLES);
        (complete && enough).then_some(sets)
    }

    /// Begins a change, if one is worth it now.
    pub fn decide(&mut self, now: Duration, experts: &Experts) -> Option<PlacementChange> {
        if self.stands_in || !self.switch.is_ready(now) || !self.fits(experts) {
            return None;
        }
        self.running_since.get_or_insert(now);
        if now.saturating_sub(self.loads_updated_at) > STALE_AFTER {
            return None;
        }
        let (base, layers) = self.current_map(experts)?;
        #[allow(clippy::cast_precision_loss)] // Groups are small.
        let limits = ChangeLimits {
            max_slots_per_rank: experts.max_slots_per_rank.into(),
            max_new_per_layer: experts.max_new_per_layer.into(),
            max_copies_per_rank: copies_within(
                self.max_copy_time(now, &layers, base),
                experts.copy_time,
            ),
            min_gain_per_copy: MIN_GAIN_PER_COPY_SECOND * experts.copy_time.as_secs_f64()
                / self.rank_count.max(1) as f64,
        };
        let change =
            incremental::plan_change(&layers, &self.layer_loads(experts)?, &self.paces, &limits)?;
        let highest = self
            .switch
            .highest_version()
            .max(self.plan.as_ref().map_or(0, |p| p.version));
        let random = rand::rng().random_range(0..1 << RANDOM_VERSION_BITS);
        let version = (((highest >> RANDOM_VERSION_BITS) + 1) << RANDOM_VERSION_BITS) + random;
        // Every rank must get the same map to the letter, whichever way it comes.
        let sorted = |experts: &Vec<u16>| {
            let mut experts = experts.clone();
            experts.sort_unstable();
            experts
        };
        let placement = |layers: &[Layer]| -> Vec<Vec<Vec<u16>>> {
            let layers = layers.iter();
            layers
                .map(|layer| layer.ranks.iter().map(sorted).collect())
                .collect()
        };
        let (before, after) = (placement(&layers), placement(&change.layers));
        self.plan = Some(Plan {
            version,
            base,
            moves: diff(&before, &after),
            hash: placement_hash(&after),
            placement: after,
        });
        let longest = u32::try_from(change.max_rank_copies).unwrap_or(u32::MAX);
        self.switch.start(now, version, experts.copy_time * longest);
        Some(change)
    }

    /// The map of a version as what differs from the one in use, in parts that fit in
    /// datagrams.
    pub fn difference_parts(&self, version: u64, epoch: u64) -> Vec<Difference> {
        let plan = self.plan.as_ref().filter(|plan| plan.version == version);
        let Some(plan) = plan else {
            return Vec::new();
        };
        let chunks: Vec<&[Move]> = plan.moves.chunks(MOVES_PER_DATAGRAM).collect();
        let parts = u16::try_from(chunks.len()).unwrap_or(u16::MAX);
        let part = |(number, moves): (u16, &&[Move])| Difference {
            epoch,
            version,
            base: plan.base,
            moves: moves.to_vec(),
            hash: plan.hash,
            part: number,
            part_count: parts,
            descendants: Vec::new(),
        };
        (0..).zip(&chunks).map(part).collect()
    }

    /// The map of a version in parts that fit in datagrams.
    pub fn map_parts(&self, version: u64, epoch: u64) -> Vec<Map> {
        let Some(plan) = self.plan.as_ref().filter(|plan| plan.version == version) else {
            return Vec::new();
        };
        let numbers: usize = plan
            .placement
            .iter()
            .flatten()
            .map(|ranks| ranks.len() + 1)
            .sum();
        let sets = plan.placement.len();
        // Numbers take one byte or two.
        let parts = (numbers * 2).div_ceil(1_000).clamp(1, sets.max(1));
        let sets_per_part = sets.div_ceil(parts).max(1);
        let chunks = plan.placement.chunks(sets_per_part).enumerate();
        let count = |number: usize| u16::try_from(number).unwrap_or(u16::MAX);
        chunks
            .map(|(number, placement)| Map {
                epoch,
                version,
                set_count: count(sets),
                first_set: count(number * sets_per_part),
                placement: placement.to_vec(),
            })
            .collect()
    }
}

/// How many copies a rank makes in the time for one change.
fn copies_within(time: Duration, copy_time: Duration) -> usize {
    let copies = time.as_micros() / copy_time.as_micros().max(1);
    usize::try_from(copies)
        .unwrap_or(usize::MAX)
        .clamp(1, MAX_COPIES_PER_RANK)
}

#[cfg(test)]
mod tests;
