//! Chooses the upstream of an attempt.
//!
//! All entries see the same late reports. If each chose the least loaded upstream of
//! all, every entry would choose the same one until the next report. Each therefore
//! compares two random upstreams by the requests in flight now, corrected by the
//! reports, which spreads load nearly as well without herding.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use verbenaspool_state::{decisions::Decisions, name::Name};

use crate::{affinity::Affinity, mechanism::Mechanism, pool::Pool};

/// Random probes for an upstream below its limit before all are scanned.
const RANDOM_PROBES: usize = 4;
/// An upstream of another zone is chosen, while one of the own zone is still below its
/// limit, if its load score times this ratio is below the local one's.
const SPILL_RATIO: f64 = 1.5;

/// A chosen upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Its index in the pool.
    pub index: usize,
    /// The index of the prefix that its cache is believed to hold, if it was chosen for
    /// that.
    pub prefix_index: Option<usize>,
}

/// What an upstream is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The current time.
    pub now: Duration,
    /// The settings.
    pub settings: &'a Decisions,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// Upstreams where earlier attempts failed.
    pub tried: &'a [Name],
}

/// Chooses upstreams.
#[derive(Debug)]
pub struct Router {
    /// The upstreams to choose from.
    pub pool: Pool,
    /// Which caches hold which prefixes.
    pub affinity: Affinity,
    /// Source of random choices; seeded, so that runs are reproducible.
    rng: SmallRng,
    /// Whether no upstream was below its limit at the last choice, and nothing has
    /// changed since.
    full: bool,
}

impl Router {
    /// Creates a router for these upstreams.
    #[must_use]
    pub fn new(pool: Pool, seed: u64) -> Self {
        Self {
            pool,
            affinity: Affinity::default(),
            rng: SmallRng::seed_from_u64(seed),
            full: false,
        }
    }

    /// Records that an upstream may be below its limit again.
    pub fn clear_full(&mut self) {
        self.full = false;
    }

    /// Returns a random number between 0 and 1.
    pub fn random(&mut self) -> f64 {
        self.rng.random()
    }

    /// Chooses an upstream for a request, if any takes another attempt.
    pub fn choose(&mut self, query: &Query<'_>) -> Option<Choice> {
        if let Some(choice) = self.pick_cache_holder(query) {
            return Some(choice);
        }
        if self.full {
            return None;
        }
        let index = self.pick_upstream(query);
        self.full = index.is_none() && query.tried.is_empty();
        Some(Choice {
            index: index?,
            prefix_index: None,
        })
    }

    /// Chooses the least loaded upstream that holds the longest known prefix and is
    /// within its affinity bound.
    fn pick_cache_holder(&self, query: &Query<'_>) -> Option<Choice> {
        if !self.pool.mechanisms.has(Mechanism::Affinity) || query.prefixes.is_empty() {
            return None;
        }
        let (prefix_index, holders) = self.affinity.longest_match(query.prefixes)?;
        let upstreams = self.pool.upstreams();
        let index = (0..upstreams.len())
            .filter(|&index| holders.contains(&Some(upstreams[index].cache)))
            .filter(|&index| self.within_affinity_bound(query, index))
            .min_by(|&a, &b| self.score(query, a).total_cmp(&self.score(query, b)))?;
        Some(Choice {
            index,
            prefix_index: Some(prefix_index),
        })
    }

    /// Whether an upstream that holds the prefix takes another attempt: up to
    /// `affinity_bound` times its limit, as computing the prefix elsewhere would cost
    /// more than the slowdown here.
    fn within_affinity_bound(&self, query: &Query<'_>, index: usize) -> bool {
        let upstream = &self.pool.upstreams()[index];
        let limit = upstream.limit(query.now);
        let max_in_flight = query.settings.affinity_bound * limit;
        f64::from(upstream.in_flight) + 1.0 <= max_in_flight && !self.is_excluded(query, index)
    }

    /// Chooses the better of two random upstreams of the own zone, or one of another zone
    /// if those of the own zone are at their limits or much more loaded.
    fn pick_upstream(&mut self, query: &Query<'_>) -> Option<usize> {
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

    /// Chooses the better of two random upstreams below their limits; `local` restricts
    /// the choice to the own zone or to the other zones.
    fn best_of_two(&mut self, query: &Query<'_>, local: Option<bool>) -> Option<usize> {
        let first = self.random_candidate(query, local)?;
        let second = self.random_candidate(query, local)?;
        let second_is_better = self.score(query, second) < self.score(query, first);
        Some(if second_is_better { second } else { first })
    }

    /// Chooses a random upstream below its limit.
    fn random_candidate(&mut self, query: &Query<'_>, local: Option<bool>) -> Option<usize> {
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

    /// Whether an upstream is below its limit and matches `local`.
    fn is_candidate(&self, query: &Query<'_>, index: usize, local: Option<bool>) -> bool {
        local.is_none_or(|local| self.pool.upstreams()[index].local == local)
            && self.pool.is_below_limit(query.now, index)
            && !self.is_excluded(query, index)
    }

    /// Whether an upstream was tried before. Ignored once as many were tried as there are
    /// upstreams.
    fn is_excluded(&self, query: &Query<'_>, index: usize) -> bool {
        let upstreams = self.pool.upstreams();
        query.tried.len() < upstreams.len() && query.tried.contains(&upstreams[index].member.name)
    }

    /// The load score of an upstream; lower is better.
    fn score(&self, query: &Query<'_>, index: usize) -> f64 {
        self.pool.score(query.now, index)
    }
}
