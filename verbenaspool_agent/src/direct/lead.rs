//! The lead's view of its group, and its decisions on map changes.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use verbenaspool_coordination::switch::Switch;
use verbenaspool_policy::rebalancer::incremental::{self, ChangeLimits, PlacementChange};
use verbenaspool_protocol::member::{Choices, Difference, Map, Move, RankExperts, placement_hash};
use verbenaspool_state::{engine::Experts, expert_map::Layer};

use super::assembly::{INITIAL_VERSION, diff, initial_placement};

/// Time constant of the exponential decay of expert counts.
const EXPERT_LOAD_WINDOW: Duration = Duration::from_millis(150);

/// Maximum time by which a message of choices may arrive after later ones.
const REORDER_WINDOW: Duration = Duration::from_millis(300);

/// Minimum number of choices per set of layers for a decision.
const MIN_SAMPLES: f64 = 1_000.0;

/// Maximum time that a rank may spend copying for one change. Passes take longer in the
/// meantime, and just after a shift of popularity they are longest.
const COPY_TIME: Duration = Duration::from_millis(40);

/// As [`COPY_TIME`], while a rank is slow, while a recovered rank holds hardly any
/// experts, and with the map that a group starts with.
const REBUILD_COPY_TIME: Duration = Duration::from_millis(300);

/// Age from which choices no longer represent what requests choose.
const MAX_CHOICES_AGE: Duration = Duration::from_secs(1);

/// Time for which a group counts as newly formed. Its first changes are based on few
/// requests.
const FORMING_TIME: Duration = Duration::from_secs(1);

/// Pace from which a rank counts as slow. Its part of a pass takes half as long again as
/// usual, a larger difference than that between the busiest rank and the mean with a good
/// map.
const SLOW_RANK_PACE: f64 = 1.5;

/// Maximum number of copies per rank in one change, however fast copying is.
const MAX_COPIES_PER_RANK: usize = 4;

/// Minimum fraction of the pass time that a copy has to save per second of copying,
/// divided by the number of ranks: a shorter pass benefits the streams of all ranks.
const MIN_GAIN_PER_COPY_SECOND: f64 = 1.0;

/// Maximum number of changed slots in one datagram. Each takes up to nine bytes, and the
/// list of ranks to relay to takes up to 200.
const MOVES_PER_DATAGRAM: usize = 120;

/// Number of random bits in a version. A restarted lead can't know all versions that its
/// predecessor issued, and an order for one of them may still arrive.
const RANDOM_VERSION_BITS: u32 = 16;

/// The experts of a rank, by set of layers, and the version of the map that they belong
/// to.
#[derive(Debug, Clone, Default)]
struct RankMap {
    version: u64,
    experts: Vec<Vec<u16>>,
}

/// A map to switch to.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Version of the map.
    pub version: u64,
    /// The experts by set of layers and rank.
    pub placement: Vec<Vec<Vec<u16>>>,
    /// Version of the map in use, from which this one differs.
    pub base: u64,
    /// The changed slots.
    pub moves: Vec<Move>,
    /// Hash of the placement, by which agents verify that their map is the same.
    pub hash: u32,
}

/// The lead's view of the group.
#[derive(Debug)]
pub struct Lead {
    /// The map change under way.
    pub switch: Switch,
    /// The map that the change switches to.
    pub plan: Option<Plan>,
    /// Whether it only stands in for a silent lead, to release a held pass.
    pub stands_in: bool,
    rank_count: usize,
    /// Epoch of `rank_maps`.
    rank_maps_epoch: u64,
    /// The experts of each rank, as reported or as ordered by this lead.
    rank_maps: BTreeMap<u16, RankMap>,
    /// Decayed number of times that each expert was chosen, by set of layers.
    expert_loads: Vec<f64>,
    loads_updated_at: Duration,
    /// When the group was first ready for a change.
    running_since: Option<Duration>,
    /// Last round of each part of a rank's choices, by rank and offset, and when it was
    /// received.
    received_rounds: BTreeMap<(u16, u32), (u64, Duration)>,
    /// Ratio of each rank's time for its work to the usual one.
    paces: Vec<f64>,
}

impl Lead {
    /// Creates the lead of a group with the given number of ranks.
    pub fn new(ranks: usize) -> Self {
        Self {
            switch: Switch::new(ranks),
            plan: None,
            stands_in: false,
            rank_count: ranks,
            rank_maps_epoch: 0,
            rank_maps: BTreeMap::new(),
            expert_loads: Vec::new(),
            loads_updated_at: Duration::ZERO,
            running_since: None,
            received_rounds: BTreeMap::new(),
            paces: vec![1.0; ranks],
        }
    }

    /// Takes over the expert loads of the group's previous epoch.
    ///
    /// A re-formed group starts with the initial map, on which passes take three times as
    /// long as with balanced ranks, and all waiting requests arrive at once. Popularity is
    /// about the same as before, so a better map can be copied before they arrive.
    ///
    /// The switch is taken over if other ranks have already reported the new epoch to it.
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

    /// Whether all experts fit on the group's ranks. Otherwise engines accept no map, and
    /// none is ordered.
    pub fn fits(&self, experts: &Experts) -> bool {
        experts.fits(self.rank_count)
    }

    /// Records the pace of a rank.
    pub fn set_pace(&mut self, rank: usize, pace: f32) {
        if let Some(known) = self.paces.get_mut(rank) {
            *known = pace.into();
        }
    }

    /// Maximum time that ranks may spend copying for one change.
    ///
    /// A slow rank delays every pass, so all its experts should move in one change; with
    /// one copy per rank and change this took three changes of a second each. The same
    /// holds for a recovered rank with hardly any experts, and for the map that a group
    /// starts with, which is about as bad.
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

    /// Adds choices to the expert loads, of which there are `counts`. Returns false if the
    /// message is a duplicate, which would count double, or out of range.
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

    /// Records the experts of a rank.
    pub fn record_experts(&mut self, experts: RankExperts) {
        if experts.epoch > self.rank_maps_epoch {
            self.rank_maps_epoch = experts.epoch;
            self.rank_maps.clear();
        }
        // Messages from before the last change are ignored.
        let newer = |known: &RankMap| experts.version >= known.version;
        if experts.epoch == self.rank_maps_epoch
            && self.rank_maps.get(&experts.rank).is_none_or(newer)
        {
            let rank_map = RankMap {
                version: experts.version,
                experts: experts.experts,
            };
            self.rank_maps.insert(experts.rank, rank_map);
        }
    }

    /// Records that a map of this lead is in use. The experts of all ranks are then known
    /// without their messages, which take up to 0.2 s.
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

    /// The map in use and its version, if all ranks have reported the same version.
    ///
    /// The initial map is known without these messages. They would take too long: all
    /// requests that waited for the group arrive at once, and passes are longest on this
    /// map.
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
            && self.rank_maps_epoch == self.switch.epoch();
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

    /// The expert loads by set of layers, if there are enough choices.
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

    /// Starts a change, if one is worth its cost now.
    pub fn decide(&mut self, now: Duration, experts: &Experts) -> Option<PlacementChange> {
        if self.stands_in || !self.switch.is_ready(now) || !self.fits(experts) {
            return None;
        }
        self.running_since.get_or_insert(now);
        if now.saturating_sub(self.loads_updated_at) > MAX_CHOICES_AGE {
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
        // Every rank must get an identical map, in whichever form it is sent.
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
        let max_copies = u32::try_from(change.max_rank_copies).unwrap_or(u32::MAX);
        self.switch
            .start(now, version, experts.copy_time * max_copies);
        Some(change)
    }

    /// The differences between the map of a version and the one in use, in parts that fit
    /// in datagrams.
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

    /// The complete map of a version, in parts that fit in datagrams.
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
        // A number is encoded in one or two bytes.
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

/// Number of copies that a rank makes in the time for one change.
fn copies_within(time: Duration, copy_time: Duration) -> usize {
    let copies = time.as_micros() / copy_time.as_micros().max(1);
    usize::try_from(copies)
        .unwrap_or(usize::MAX)
        .clamp(1, MAX_COPIES_PER_RANK)
}

#[cfg(test)]
mod tests;
