//! A fast hasher for maps keyed by internal numbers.
//!
//! Tickets, attempts and prefix hashes aren't chosen by callers, so the standard
//! hasher's protection against chosen keys isn't needed, and every decision looks
//! several of them up.

use std::hash::{BuildHasherDefault, Hasher};

/// 2⁶⁴ divided by the golden ratio, which is odd: multiplying by it spreads the low bits
/// over the high ones (Fibonacci hashing).
const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hashes an integer key.
#[derive(Debug, Default, Clone, Copy)]
pub struct Number(u64);

impl Hasher for Number {
    fn finish(&self) -> u64 {
        // The map takes its bucket from the low bits and its tag from the high ones.
        self.0 ^ (self.0 >> 32)
    }

    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.write_u64(byte.into());
        }
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = (self.0 ^ number).wrapping_mul(FIBONACCI_MULTIPLIER);
    }
}

/// A map with integer keys.
pub type Map<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<Number>>;
