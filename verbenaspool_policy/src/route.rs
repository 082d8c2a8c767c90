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
const RANDOM_PROBES: usize = 4;
/// How much less loaded an upstream of another zone must look before work
/// leaves the zone while it still has room.
const SPILL_RATIO: f64 = 1.5;

/// An upstream chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Its place in the pool.
    pub index: usize,
    /// The place of the prefix that it is believed to hold, if it was chosen for that.
    pub prefix_index: Option<usize>,
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
    rng: SmallRng,
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
            rng: SmallRng::seed_from_u64(seed),
            full: false,
        }
    }

    /// Notes that an upstream may have room again.
    pub fn clear_full(&mut self) {
        self.full = false;
    }

    /// A random number from 0 to 1.
    pub fn random(&mut self) -> f64 {
        self.rng.random()
    }

    /// The upstream for a request, if any takes it.
    pub fn choose(&mut self, query: &RouteQuery<'_>) -> Option<Route> {
        if let Some(route) = self.pick_cache_holder(query) {
            return Some(route);
        }
        if self.full {
            return None;
        }
        let index = self.pick_upstream(query);
        self.full = index.is_none() && query.tried.is_empty();
        Some(Route {
            index: index?,
            prefix_index: None,
        })
    }

    /// The least loaded holder of the longest known prefix that bears one more.
    fn pick_cache_holder(&self, query: &RouteQuery<'_>) -> Option<Route> {
        if !self.pool.mechanisms.has(Mechanism::Affinity) || query.prefixes.is_empty() {
            return None;
        }
        let (prefix_index, holders) = self.affinity.longest_match(query.prefixes)?;
        let upstreams = self.pool.upstreams();
        let index = (0..upstreams.len())
            .filter(|&index| holders.contains(&Some(upstreams[index].cache)))
            .filter(|&index| self.within_affinity_bound(query, index))
            .min_by(|&a, &b| self.score(query, a).total_cmp(&self.score(query, b)))?;
        Some(Route {
            index,
            prefix_index: Some(prefix_index),
        })
    }

    /// Whether a holder takes one more: up to the bound above its limit, as
    /// computing the prefix anew elsewhere would take more than it slows down here.
    fn within_affinity_bound(&self, query: &RouteQuery<'_>, index: usize) -> bool {
        let upstream = &self.pool.upstreams()[index];
        let limit = upstream.limit(query.now);
        let max_in_flight = query.settings.affinity_bound * limit;
        f64::from(upstream.in_flight) + 1.0 <= max_in_flight && !self.is_excluded(query, index)
    }

    /// The better of two random upstreams of the own zone, or of another where
    /// the own one is full or much more loaded.
    fn pick_upstream(&mut self, query: &RouteQuery<'_>) -> Option<usize> {
        if !self.pool.mechanisms.has(Mechanism::Zones) {
            return self.best_of_two(query, None);
        }
        let Some(local) = self.best_of_two(query, Some(true)) else {
            return self.best_of_two(query, Some(false));
        };
        let remote = self.random_candidate(query, Some(false));
        let spills =
            |remote: &usize| self.score(query, *remote) * SPILL_RATIO < self.score(query, local);
        Some(remote.filter(spills).unwrap_or(local))
    }

    /// The better of two random upstreams with room, in the own zone or not.
    fn best_of_two(&mut self, query: &RouteQuery<'_>, local: Option<bool>) -> Option<usize> {
        let first = self.random_candidate(query, local)?;
        let second = self.random_candidate(query, local)?;
        let second_is_better = self.score(query, second) < self.score(query, first);
        Some(if second_is_better { second } else { first })
    }

    /// A random upstream with room, in the own zone or not.
    fn random_candidate(&mut self, query: &RouteQuery<'_>, local: Option<bool>) -> Option<usize> {
        let count = self.pool.upstreams().len();
        if count == 0 {
            return None;
        }
        for _ in 0..RANDOM_PROBES {
            let index = self.rng.random_range(0..count);
            if self.is_candidate(query, index, local) {
                return Some(index);
            }
        }
        let from = self.rng.random_range(0..count);
        let mut indices = (from..count).chain(0..from);
        indices.find(|&index| self.is_candidate(query, index, local))
    }

    /// Whether an upstream has room, in the own zone or not.
    fn is_candidate(&self, query: &RouteQuery<'_>, index: usize, local: Option<bool>) -> bool {
        local.is_none_or(|local| self.pool.upstreams()[index].local == local)
            && self.pool.has_capacity(query.now, index)
            && !self.is_excluded(query, index)
    }

    /// Whether to stay away from an upstream that was tried, while there are others.
    fn is_excluded(&self, query: &RouteQuery<'_>, index: usize) -> bool {
        let upstreams = self.pool.upstreams();
        query.tried.len() < upstreams.len() && query.tried.contains(&upstreams[index].member.name)
    }

    /// How loaded an upstream looks.
    fn score(&self, query: &RouteQuery<'_>, index: usize) -> f64 {
        self.pool.score(query.now, index)
    }
}
