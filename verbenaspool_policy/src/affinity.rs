//! Tracks which upstreams' caches hold which prompt prefixes.
//!
//! Many requests begin with the same prefix. Spread over all upstreams, each computes
//! the prefix again; sent to one, that one is overloaded. Own starts are known at once,
//! while cache events are late and incomplete, so the table is only a hint: the number
//! of computed tokens in an answer corrects it, and the router skips upstreams above
//! their affinity bound.

use crate::hash::Map;

/// Prefixes kept: about 1 MB at 56 bytes each, for each service.
const MAX_PREFIXES: usize = 16_384;
/// Caches kept per prefix. Four can serve a prefix with a quarter of the load of 16
/// upstreams; the affinity bound spreads a more popular prefix over them.
const MAX_HOLDERS: usize = 4;
/// Prefixes recorded per request, the longest ones.
const MAX_RECORDED_PREFIXES: usize = 8;

/// Identifies the cache of one upstream until it is emptied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key(pub u64);

/// The caches that hold one prefix, latest first.
pub type Holders = [Option<Key>; MAX_HOLDERS];

/// Which caches hold which prefixes. Two generations bound the size: when the current
/// one is full it replaces the previous one, and prefixes in use move to the new
/// current one.
#[derive(Debug, Default)]
pub struct Affinity {
    /// Prefixes seen since the last change of generation.
    current: Map<u64, Holders>,
    /// Prefixes of the previous generation.
    previous: Map<u64, Holders>,
}

impl Affinity {
    /// Records that a cache holds a prefix or will hold it soon.
    pub fn insert(&mut self, prefix: u64, key: Key) {
        if self.current.len() >= MAX_PREFIXES / 2 && !self.current.contains_key(&prefix) {
            self.previous = std::mem::take(&mut self.current);
        }
        let previous = &mut self.previous;
        let holders = self
            .current
            .entry(prefix)
            .or_insert_with(|| previous.remove(&prefix).unwrap_or_default());
        let index = holders
            .iter()
            .position(|h| *h == Some(key))
            .unwrap_or(MAX_HOLDERS - 1);
        holders[..=index].rotate_right(1);
        holders[0] = Some(key);
    }

    /// Records the prefixes that a started request leaves in a cache.
    pub fn record_start(&mut self, prefixes: &[u64], key: Key) {
        let from = prefixes.len().saturating_sub(MAX_RECORDED_PREFIXES);
        for &prefix in &prefixes[from..] {
            self.insert(prefix, key);
        }
    }

    /// Records that a cache dropped a prefix.
    pub fn remove(&mut self, prefix: u64, key: Key) {
        for holders in [
            self.current.get_mut(&prefix),
            self.previous.get_mut(&prefix),
        ]
        .into_iter()
        .flatten()
        {
            for holder in holders.iter_mut().filter(|holder| **holder == Some(key)) {
                *holder = None;
            }
        }
    }

    /// Returns the index of the longest known prefix in `prefixes`, and the caches that
    /// hold it.
    #[must_use]
    pub fn longest_match(&self, prefixes: &[u64]) -> Option<(usize, &Holders)> {
        prefixes
            .iter()
            .enumerate()
            .rev()
            .find_map(|(index, prefix)| {
                let holders = self
                    .current
                    .get(prefix)
                    .or_else(|| self.previous.get(prefix))?;
                let known = holders.iter().any(Option::is_some);
                known.then_some((index, holders))
            })
    }
}
