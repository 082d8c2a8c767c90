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
struct Holding {
    version: u64,
    experts: Vec<Vec<u16>>,
}

/// A map that is being brought in use.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Its version.
    pub version: u64,
    /// The experts by set and rank.
    pub places: Vec<Vec<Vec<u16>>>,
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
    ranks: usize,
    epoch: u64,
    held: BTreeMap<u16, Holding>,
    loads: Vec<f64>,
    at: Duration,
    /// When the group was first seen to run.
    formed: Option<Duration>,
    /// The last round of each part of a rank's messages about choices, and when it came.
    heard: BTreeMap<(u16, u32), (u64, Duration)>,
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
            ranks,
            epoch: 0,
            held: BTreeMap::new(),
            loads: Vec::new(),
            at: Duration::ZERO,
            formed: None,
            heard: BTreeMap::new(),
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
        if before.ranks != self.ranks {
            return;
        }
        self.loads = before.loads;
        self.at = before.at;
        if before.switch.epoch() == epoch {
            self.switch = before.switch;
        }
    }

    /// Whether each expert has a place on the group's ranks. Where not, no map is one
    /// that engines take, and none is ordered.
    pub fn fits(&self, experts: &Experts) -> bool {
        experts.fits(self.ranks)
    }

    /// Takes in how slow a rank is.
    pub fn pace(&mut self, rank: usize, pace: f32) {
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
    fn copying(&self, now: Duration, layers: &[Layer], version: u64) -> Duration {
        let forming = self
            .formed
            .is_some_and(|formed| now < formed + FORMING_TIME);
        let first = version == INITIAL_VERSION || forming;
        let slow = self.paces.iter().any(|pace| *pace >= SLOW_RANK_PACE);
        let places = |rank: usize| layers.iter().map(|l| l.ranks[rank].len()).sum::<usize>();
        let all: usize = (0..self.ranks).map(places).sum();
        let empty = (0..self.ranks).any(|rank| places(rank) * self.ranks * 2 < all);
        if first || slow || empty {
            REBUILD_COPY_TIME
        } else {
            COPY_TIME
        }
    }

    /// Takes in what requests chose among so many experts of all sets; tells whether it
    /// fits and is new.
    ///
    /// A message that came twice would count double.
    pub fn choices(&mut self, now: Duration, choices: &Choices, counts: usize) -> bool {
        let from = choices.offset as usize;
        let end = from.saturating_add(choices.counts.len());
        let twice = |(round, at): &(u64, Duration)| {
            choices.round <= *round && now.saturating_sub(*at) < REORDER_WINDOW
        };
        let part = (choices.rank, choices.offset);
        if end > counts || self.heard.get(&part).is_some_and(twice) {
            return false;
        }
        self.heard.insert(part, (choices.round, now));
        let age = now.saturating_sub(self.at).as_secs_f64() / EXPERT_LOAD_WINDOW.as_secs_f64();
        self.at = now;
        let fade = (-age).exp();
        self.loads.iter_mut().for_each(|load| *load *= fade);
        self.loads.resize(counts, 0.0);
        for (load, count) in self.loads[from..end].iter_mut().zip(&choices.counts) {
            *load += f64::from(*count);
        }
        true
    }

    /// Takes in what a rank holds.
    pub fn held(&mut self, held: RankExperts) {
        if held.epoch > self.epoch {
            self.epoch = held.epoch;
            self.held.clear();
        }
        // A message from before the last change comes too late.
        let newer = |known: &Holding| held.version >= known.version;
        if held.epoch == self.epoch && self.held.get(&held.rank).is_none_or(newer) {
            let holding = Holding {
                version: held.version,
                experts: held.experts,
            };
            self.held.insert(held.rank, holding);
        }
    }

    /// A map is in use that this lead brought there: what ranks hold is known
    /// without their message, which takes up to 0.2 s.
    pub fn brought(&mut self, version: u64) {
        let Some(plan) = self.plan.as_ref().filter(|plan| plan.version == version) else {
            return;
        };
        for rank in 0..self.ranks {
            let experts = plan.places.iter().map(|ranks| ranks[rank].clone());
            let holding = Holding {
                version,
                experts: experts.collect(),
            };
            self.held
                .insert(u16::try_from(rank).unwrap_or(u16::MAX), holding);
        }
    }

    /// The map in use and its version, where all ranks said that they hold the same one.
    ///
    /// The map that a group forms with is known without their messages, which take too
    /// long: everybody who waited for the group comes at once, and passes on this map are
    /// the longest there are.
    fn layers(&self, experts: &Experts) -> Option<(u64, Vec<Layer>)> {
        if self.switch.map_version() == Some(INITIAL_VERSION) {
            let ranks = u16::try_from(self.ranks).ok()?;
            let sets = initial_placement(ranks, experts).into_iter();
            return Some((INITIAL_VERSION, sets.map(|ranks| Layer { ranks }).collect()));
        }
        let first = self.held.get(&0)?;
        let complete = self.held.len() == self.ranks
            && self.held.values().all(|held| held.version == first.version)
            && self.epoch == self.switch.epoch();
        if !complete {
            return None;
        }
        let sets = usize::from(experts.layers);
        let ranks = |set: usize| {
            let ranks = self.held.values();
            ranks.map(move |held| held.experts.get(set).cloned().unwrap_or_default())
        };
        let layer = |set| Layer {
            ranks: ranks(set).collect(),
        };
        Some((first.version, (0..sets).map(layer).collect()))
    }

    /// The loads by set.
    fn loads(&self, experts: &Experts) -> Option<Vec<Vec<f64>>> {
        let count = usize::from(experts.count);
        let sets: Vec<Vec<f64>> = self.loads.chunks(count).map(<[f64]>::to_vec).collect();
        let whole = sets.len() == usize::from(experts.layers);
        let enough = sets
            .iter()
            .all(|set| set.iter().sum::<f64>() >= MIN_SAMPLES);
        (whole && enough).then_some(sets)
    }

    /// Begins a change, if one is worth it now.
    pub fn decide(&mut self, now: Duration, experts: &Experts) -> Option<PlacementChange> {
        if self.stands_in || !self.switch.is_ready(now) || !self.fits(experts) {
            return None;
        }
        self.formed.get_or_insert(now);
        if now.saturating_sub(self.at) > STALE_AFTER {
            return None;
        }
        let (base, layers) = self.layers(experts)?;
        #[allow(clippy::cast_precision_loss)] // Groups are small.
        let bound = ChangeLimits {
            max_slots_per_rank: experts.max_slots_per_rank.into(),
            max_new_per_layer: experts.max_new_per_layer.into(),
            max_copies_per_rank: copies(self.copying(now, &layers, base), experts.copy_time),
            min_gain_per_copy: MIN_GAIN_PER_COPY_SECOND * experts.copy_time.as_secs_f64()
                / self.ranks.max(1) as f64,
        };
        let relief = incremental::plan_change(&layers, &self.loads(experts)?, &self.paces, &bound)?;
        let highest = self
            .switch
            .highest_version()
            .max(self.plan.as_ref().map_or(0, |p| p.version));
        let drawn = rand::rng().random_range(0..1 << RANDOM_VERSION_BITS);
        let version = (((highest >> RANDOM_VERSION_BITS) + 1) << RANDOM_VERSION_BITS) + drawn;
        // Every rank must get the same map to the letter, whichever way it comes.
        let sorted = |experts: &Vec<u16>| {
            let mut experts = experts.clone();
            experts.sort_unstable();
            experts
        };
        let places = |layers: &[Layer]| -> Vec<Vec<Vec<u16>>> {
            let layers = layers.iter();
            layers
                .map(|layer| layer.ranks.iter().map(sorted).collect())
                .collect()
        };
        let (before, after) = (places(&layers), places(&relief.layers));
        self.plan = Some(Plan {
            version,
            base,
            moves: diff(&before, &after),
            hash: placement_hash(&after),
            places: after,
        });
        let longest = u32::try_from(relief.max_rank_copies).unwrap_or(u32::MAX);
        self.switch.start(now, version, experts.copy_time * longest);
        Some(relief)
    }

    /// The map of a version as what differs from the one in use, in parts that fit in
    /// datagrams.
    pub fn differences(&self, version: u64, epoch: u64) -> Vec<Difference> {
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
    pub fn parts(&self, version: u64, epoch: u64) -> Vec<Map> {
        let Some(plan) = self.plan.as_ref().filter(|plan| plan.version == version) else {
            return Vec::new();
        };
        let numbers: usize = plan
            .places
            .iter()
            .flatten()
            .map(|ranks| ranks.len() + 1)
            .sum();
        let sets = plan.places.len();
        // Numbers take one byte or two.
        let parts = (numbers * 2).div_ceil(1_000).clamp(1, sets.max(1));
        let each = sets.div_ceil(parts).max(1);
        let chunks = plan.places.chunks(each).enumerate();
        let count = |number: usize| u16::try_from(number).unwrap_or(u16::MAX);
        chunks
            .map(|(number, places)| Map {
                epoch,
                version,
                set_count: count(sets),
                first_set: count(number * each),
                placement: places.to_vec(),
            })
            .collect()
    }
}

/// How many copies a rank makes in the time for one change.
fn copies(time: Duration, copy: Duration) -> usize {
    let copies = time.as_micros() / copy.as_micros().max(1);
    usize::try_from(copies)
        .unwrap_or(usize::MAX)
        .clamp(1, MAX_COPIES_PER_RANK)
}

#[cfg(test)]
mod tests;
