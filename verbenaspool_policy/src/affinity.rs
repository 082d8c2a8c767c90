//! Which upstreams hold which prompt prefixes.
//!
//! Load: many requests that begin alike. Sent anywhere, each upstream computes
//! the same prefix again; sent to one, that one is overrun. What is known comes
//! from own starts at once and from cache events late and with gaps, so it is
//! taken as a hint: the answer's count of computed tokens corrects it, and the
//! router leaves a holder that is loaded above its bound.

use crate::hash::Map;

/// Prefixes remembered: about 1 MB at 56 bytes each, for each service.
const MOST: usize = 16_384;
/// Holders remembered for a prefix. Four carry a prefix that takes a quarter of
/// today's 16 replicas; the bounded load spreads a hotter one over its holders.
const HOLDERS: usize = 4;
/// Prefixes learned from one request, the longest ones.
const LEARNED: usize = 8;

/// A key that stands for one upstream's cache as long as nothing emptied it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key(pub u64);

/// The holders of one prefix, latest first.
pub type Holders = [Option<Key>; HOLDERS];

/// What is known about prefixes. Two generations bound it: the old one is
/// dropped when the young one is full, and prefixes in use move to the young.
#[derive(Debug, Default)]
pub struct Affinity {
    /// Prefixes seen lately.
    young: Map<u64, Holders>,
    /// Prefixes of the generation before.
    old: Map<u64, Holders>,
}

impl Affinity {
    /// Records that a cache holds a prefix, or soon will.
    pub fn hold(&mut self, prefix: u64, key: Key) {
        if self.young.len() >= MOST / 2 && !self.young.contains_key(&prefix) {
            self.old = std::mem::take(&mut self.young);
        }
        let old = &mut self.old;
        let holders = self
            .young
            .entry(prefix)
            .or_insert_with(|| old.remove(&prefix).unwrap_or_default());
        let place = holders
            .iter()
            .position(|h| *h == Some(key))
            .unwrap_or(HOLDERS - 1);
        holders[..=place].rotate_right(1);
        holders[0] = Some(key);
    }

    /// Records the prefixes that a started request leaves in a cache.
    pub fn learn(&mut self, prefixes: &[u64], key: Key) {
        let from = prefixes.len().saturating_sub(LEARNED);
        for &prefix in &prefixes[from..] {
            self.hold(prefix, key);
        }
    }

    /// Records that a cache dropped a prefix.
    pub fn drop(&mut self, prefix: u64, key: Key) {
        for holders in [self.young.get_mut(&prefix), self.old.get_mut(&prefix)]
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
    pub fn find(&self, prefixes: &[u64]) -> Option<(usize, &Holders)> {
        prefixes
            .iter()
            .enumerate()
            .rev()
            .find_map(|(place, prefix)| {
                let holders = self.young.get(prefix).or_else(|| self.old.get(prefix))?;
                let known = holders.iter().any(Option::is_some);
                known.then_some((place, holders))
            })
    }
}
