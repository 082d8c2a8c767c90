//! Where an attempt goes.
//!
//! Load: entries that all see the same late reports. Choosing the least loaded
//! of all sends everyone to the same upstream until the next report; two random
//! choices, compared on what is in flight now and corrected by the reports,
//! spread nearly as well and never herd.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
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

/// What an upstream is sought for.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// The time.
    pub now: Duration,
    /// The settings.
    pub settings: &'a Decisions,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// Upstreams to stay away from.
    pub tried: &'a [Name],
}

/// Chooses upstreams.
#[derive(Debug)]
pub struct Router {
    /// The upstreams worked with.
    pub pool: Pool,
    /// What is known about prefixes.
    pub affinity: Affinity,
    /// Chooses among equals; seeded, so that runs repeat.
    random: SmallRng,
    /// Whether no upstream had room when last asked, and nothing changed since.
    full: bool,
}

impl Router {
    /// A router for these upstreams.
    #[must_use]
    pub fn new(pool: Pool, seed: u64) -> Self {
        Self {
            pool,
            affinity: Affinity::default(),
            random: SmallRng::seed_from_u64(seed),
            full: false,
        }
    }

    /// Notes that an upstream may have room again.
    pub fn free(&mut self) {
        self.full = false;
    }

    /// A random number from 0 to 1.
    pub fn random(&mut self) -> f64 {
        self.random.random()
    }

    /// The upstream for a request, if any takes it.
    pub fn choose(&mut self, query: &RouteQuery<'_>) -> Option<Choice> {
        if let Some(choice) = self.holder(query) {
            return Some(choice);
        }
        if self.full {
            return None;
        }
        let place = self.place(query);
        self.full = place.is_none() && query.tried.is_empty();
        Some(Choice {
            place: place?,
            prefix: None,
        })
    }

    /// The least loaded holder of the longest known prefix that bears one more.
    fn holder(&self, query: &RouteQuery<'_>) -> Option<Choice> {
        if !self.pool.mechanisms.has(Mechanism::Affinity) || query.prefixes.is_empty() {
            return None;
        }
        let (prefix, holders) = self.affinity.longest_match(query.prefixes)?;
        let list = self.pool.list();
        let place = (0..list.len())
            .filter(|&place| holders.contains(&Some(list[place].cache)))
            .filter(|&place| self.bears(query, place))
            .min_by(|&a, &b| self.score(query, a).total_cmp(&self.score(query, b)))?;
        Some(Choice {
            place,
            prefix: Some(prefix),
        })
    }

    /// Whether a holder takes one more: up to the bound above its limit, as
    /// computing the prefix anew elsewhere would take more than it slows down here.
    fn bears(&self, query: &RouteQuery<'_>, place: usize) -> bool {
        let upstream = &self.pool.list()[place];
        let limit = upstream.limit(query.now);
        let most = query.settings.affinity_bound * limit;
        f64::from(upstream.in_flight) + 1.0 <= most && !self.shuns(query, place)
    }

    /// The better of two random upstreams of the own zone, or of another where
    /// the own one is full or much more loaded.
    fn place(&mut self, query: &RouteQuery<'_>) -> Option<usize> {
        if !self.pool.mechanisms.has(Mechanism::Zones) {
            return self.better(query, None);
        }
        let Some(local) = self.better(query, Some(true)) else {
            return self.better(query, Some(false));
        };
        let remote = self.sample(query, Some(false));
        let spills = |remote: &usize| self.score(query, *remote) * SPILL < self.score(query, local);
        Some(remote.filter(spills).unwrap_or(local))
    }

    /// The better of two random upstreams with room, in the own zone or not.
    fn better(&mut self, query: &RouteQuery<'_>, local: Option<bool>) -> Option<usize> {
        let first = self.sample(query, local)?;
        let second = self.sample(query, local)?;
        let better = self.score(query, second) < self.score(query, first);
        Some(if better { second } else { first })
    }

    /// A random upstream with room, in the own zone or not.
    fn sample(&mut self, query: &RouteQuery<'_>, local: Option<bool>) -> Option<usize> {
        let count = self.pool.list().len();
        if count == 0 {
            return None;
        }
        for _ in 0..TRIES {
            let place = self.random.random_range(0..count);
            if self.fits(query, place, local) {
                return Some(place);
            }
        }
        let from = self.random.random_range(0..count);
        let mut places = (from..count).chain(0..from);
        places.find(|&place| self.fits(query, place, local))
    }

    /// Whether an upstream has room, in the own zone or not.
    fn fits(&self, query: &RouteQuery<'_>, place: usize, local: Option<bool>) -> bool {
        local.is_none_or(|local| self.pool.list()[place].local == local)
            && self.pool.has_room(query.now, place)
            && !self.shuns(query, place)
    }

    /// Whether to stay away from an upstream that was tried, while there are others.
    fn shuns(&self, query: &RouteQuery<'_>, place: usize) -> bool {
        let list = self.pool.list();
        query.tried.len() < list.len() && query.tried.contains(&list[place].member.name)
    }

    /// How loaded an upstream looks.
    fn score(&self, query: &RouteQuery<'_>, place: usize) -> f64 {
        self.pool.score(query.now, place)
    }
}
