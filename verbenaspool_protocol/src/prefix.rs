//! Hashes of a prompt's prefixes, by which entries find the engine whose cache contains
//! the start of a prompt, and of its blocks, by which they find what requests share.

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

/// The hashes of a prompt's blocks. Unlike a prefix, a block has the same hash wherever it is
/// in a prompt.
///
/// ```
/// use verbenaspool_protocol::prefix::{self, BLOCK_BYTES};
///
/// let [one, two] = ["a".repeat(BLOCK_BYTES), "b".repeat(BLOCK_BYTES)];
/// let there = prefix::block_hashes(&format!("{one}{two}"));
/// let back = prefix::block_hashes(&format!("{two}{one}"));
/// assert_eq!([there[0], there[1]], [back[1], back[0]]);
/// ```
#[must_use]
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let blocks = blocks.take(MAX_PREFIXES);
    blocks.map(|block| xxh3_64_with_seed(block, 0)).collect()
}
