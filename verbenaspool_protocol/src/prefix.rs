//! Hashes of a prompt's prefixes, by which entries find the engine whose cache contains
//! the start of a prompt.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of bytes by which each prefix is longer than the previous one; about 64 tokens.
pub const BLOCK_BYTES: usize = 256;

/// Maximum number of prefixes of a prompt. Longer ones hardly help to choose an engine,
/// since callers share only the start of their prompts.
pub const MAX_PREFIXES: usize = 16;

/// The hashes of a prompt's prefixes, shortest first. Only complete blocks count, since
/// engines cache complete blocks.
///
/// ```
/// use verbenaspool_protocol::prefix::{self, BLOCK_BYTES};
///
/// let shared = "a".repeat(BLOCK_BYTES);
/// let (one, other) = (prefix::hashes(&format!("{shared}b")), prefix::hashes(&format!("{shared}c")));
/// assert_eq!(one, other);
/// assert_eq!(one.len(), 1);
/// ```
#[must_use]
pub fn hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PREFIXES);
    blocks
        .scan(0, |seed, block| {
            *seed = xxh3_64_with_seed(block, *seed);
            Some(*seed)
        })
        .collect()
}
