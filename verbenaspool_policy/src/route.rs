//! Where an attempt goes.
//!
//! Load: entries that all see the same late reports. Choosing the least loaded
//! of all sends everyone to the same upstream until the next report; two random
//! choices, compared on what is in flight now and corrected by the reports,
//! spread nearly as well and never herd.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use verbenaspool_state::{decisions::Decisions, name::Name};

use crate::{affinity::Affinity, mechanism::Mechanism, pool::Pool};

/// Random tries for one upstream with room before all are looked through.
const TRIES: usize = 4;
/// How much less loaded an upstream of another zone must look before work
/// leaves the zone while it still has room.
const SPILL: f64 = 1.5;

/// An upstream chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Its place in the pool.
    pub place: usize,
    /// The place of the prefix that it is believed to hold, if it was chosen for that.
    pub prefix: Option<usize>,
}

/// What a choice is made from.
#[derive(Debug)]
pub struct Route<'a> {
    /// The time.
    pub now: Duration,
    /// The upstreams.
    pub pool: &'a Pool,
    /// The settings.
    pub settings: &'a Decisions,
    /// The entry's own zone.
    pub zone: &'a Name,
    /// What is known about prefixes.
    pub affinity: &'a Affinity,
    /// Upstreams to stay away from.
    pub tried: &'a [Name],
}

impl Route<'_> {
    /// The upstream for a request with these prefixes, if any has room.
    pub fn choose(&self, prefixes: &[u64], random: &mut SmallRng) -> Option<Choice> {
        if let Some(choice) = self.holder(prefixes) {
            return Some(choice);
        }
        let place = self.place(random)?;
        Some(Choice {
            place,
            prefix: None,
        })
    }

    /// The least loaded holder of the longest known prefix, unless it is loaded
    /// above the bound.
    fn holder(&self, prefixes: &[u64]) -> Option<Choice> {
        if !self.pool.mechanisms.has(Mechanism::Affinity) || prefixes.is_empty() {
            return None;
        }
        let (prefix, keys) = self.affinity.find(prefixes)?;
        let keys: Vec<_> = keys.collect();
        let list = self.pool.list();
        let best = (0..list.len())
            .filter(|&place| keys.contains(&list[place].cache) && self.open(place))
            .min_by(|&a, &b| self.score(a).total_cmp(&self.score(b)))?;
        (self.score(best) <= self.settings.affinity_bound * self.mean()).then_some(Choice {
            place: best,
            prefix: Some(prefix),
        })
    }

    /// The mean score of the upstreams that take work.
    #[allow(clippy::cast_precision_loss)] // A subset is some thousands at most.
    fn mean(&self) -> f64 {
        let list = self.pool.list();
        let scores = (0..list.len())
            .filter(|&place| !self.pool.is_out(self.now, &list[place]))
            .map(|place| self.score(place));
        let (sum, count) = scores.fold((0.0, 0_usize), |(sum, count), score| {
            (sum + score, count + 1)
        });
        sum / count.max(1) as f64
    }

    /// The better of two random upstreams of the own zone, or of another where
    /// the own one is full or much more loaded.
    fn place(&self, random: &mut SmallRng) -> Option<usize> {
        if !self.pool.mechanisms.has(Mechanism::Zones) {
            return self.better(random, |_| true);
        }
        let own = |place: usize| self.pool.list()[place].member.zone == *self.zone;
        let local = self.better(random, own);
        let Some(local) = local else {
            return self.better(random, |place| !own(place));
        };
        let remote = self.sample(random, |place| !own(place));
        let spills = |&remote: &usize| self.score(remote) * SPILL < self.score(local);
        Some(remote.filter(spills).unwrap_or(local))
    }

    /// The better of two random open upstreams.
    fn better(&self, random: &mut SmallRng, fits: impl Fn(usize) -> bool) -> Option<usize> {
        let first = self.sample(random, &fits)?;
        let second = self.sample(random, &fits)?;
        Some(if self.score(second) < self.score(first) {
            second
        } else {
            first
        })
    }

    /// A random open upstream.
    fn sample(&self, random: &mut SmallRng, fits: impl Fn(usize) -> bool) -> Option<usize> {
        let count = self.pool.list().len();
        if count == 0 {
            return None;
        }
        let fits = |&place: &usize| fits(place) && self.open(place);
        (0..TRIES)
            .map(|_| random.random_range(0..count))
            .find(fits)
            .or_else(|| {
                let from = random.random_range(0..count);
                (from..count).chain(0..from).find(fits)
            })
    }

    /// Whether an upstream takes this attempt.
    fn open(&self, place: usize) -> bool {
        self.pool.has_room(self.now, place, self.settings)
            && (self.tried.len() >= self.pool.list().len()
                || !self.tried.contains(&self.pool.list()[place].member.name))
    }

    /// How loaded an upstream looks.
    fn score(&self, place: usize) -> f64 {
        self.pool.score(self.now, place)
    }
}
