//! Which upstreams hold which prompt prefixes.
//!
//! Load: many requests that begin alike. Sent anywhere, each upstream computes
//! the same prefix again; sent to one, that one is overrun. What is known comes
//! from own starts at once and from cache events late and with gaps, so it is
//! taken as a hint: the answer's count of computed tokens corrects it, and the
//! router leaves a holder that is loaded above its bound.

use crate::hash::Map;

/// Prefixes remembered: about 1 MB at 56 bytes each, for each service.
const MAX_PREFIXES: usize = 16_384;
/// Holders remembered for a prefix. Four carry a prefix that takes a quarter of
/// today's 16 replicas; the bounded load spreads a hotter one over its holders.
const MAX_HOLDERS: usize = 4;
/// Prefixes learned from one request, the longest ones.
const MAX_RECORDED_PREFIXES: usize = 8;

/// A key that stands for one upstream's cache as long as nothing emptied it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheKey(pub u64);

/// The holders of one prefix, latest first.
pub type Holders = [Option<CacheKey>; MAX_HOLDERS];

/// What is known about prefixes. Two generations bound it: the old one is
/// dropped when the young one is full, and prefixes in use move to the young.
#[derive(Debug, Default)]
pub struct Affinity {
    /// Prefixes seen lately.
    current: Map<u64, Holders>,
    /// Prefixes of the generation before.
    previous: Map<u64, Holders>,
}

impl Affinity {
    /// Records that a cache holds a prefix, or soon will.
    pub fn insert(&mut self, prefix: u64, key: CacheKey) {
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
    pub fn record_start(&mut self, prefixes: &[u64], key: CacheKey) {
        let from = prefixes.len().saturating_sub(MAX_RECORDED_PREFIXES);
        for &prefix in &prefixes[from..] {
            self.insert(prefix, key);
        }
    }

    /// Records that a cache dropped a prefix.
    pub fn remove(&mut self, prefix: u64, key: CacheKey) {
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

    /// The place of the longest known prefix in `prefixes`, and its holders.
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
