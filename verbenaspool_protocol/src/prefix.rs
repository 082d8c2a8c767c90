//! Hashes of a prompt's prefixes, by which entries find the engine that has a
//! prompt's beginning in its cache.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The bytes that one more prefix adds; about 64 tokens.
pub const BLOCK: usize = 256;

/// The most prefixes of a prompt. Longer ones tell engines no further apart:
/// what callers share is the head of the prompt.
pub const MOST: usize = 16;

/// The hashes of a prompt's prefixes, shortest first. Only whole blocks count,
/// as engines cache in whole blocks.
///
/// ```
/// use verbenaspool_protocol::prefix::{self, BLOCK};
///
/// let shared = "a".repeat(BLOCK);
/// let (one, other) = (prefix::hashes(&format!("{shared}b")), prefix::hashes(&format!("{shared}c")));
/// assert_eq!(one, other);
/// assert_eq!(one.len(), 1);
/// ```
#[must_use]
pub fn hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK).take(MOST);
    blocks
        .scan(0, |seed, block| {
            *seed = xxh3_64_with_seed(block, *seed);
            Some(*seed)
        })
        .collect()
}
