//! What entries tell each other many times a second.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// One entry's message about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Tells the entry's processes apart; a later one has a higher number.
    pub incarnation: u64,
    /// Counts the entry's digests: datagrams may overtake each other.
    pub number: u64,
    /// The version of the routing table that it has in force.
    pub table: u64,
    /// The revision of the registry of upstreams that it works with.
    pub registry: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The upstreams that work for it now.
    pub flights: Vec<Flight>,
    /// Other entries that it hears of.
    pub peers: Vec<Ipv4Addr>,
}

/// How long callers of a service wait at first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// The service, by [`hash`].
    pub service: u32,
    /// The times that many callers give, in milliseconds.
    pub times_ms: Vec<u32>,
}

/// The most services whose callers' times one message tells.
pub const MAX_BUDGETS: usize = 4;

/// An entry's requests at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flight {
    /// The upstream, by [`hash`].
    pub upstream: u32,
    /// How many requests.
    pub requests: u32,
}

/// The short name of an upstream in digests.
///
/// ```
/// use verbenaspool_protocol::digest::hash;
///
/// assert_ne!(hash("i-1"), hash("i-2"));
/// ```
#[must_use]
pub fn hash(id: &str) -> u32 {
    #[allow(clippy::cast_possible_truncation)] // Half of the bits are enough.
    let short = xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32;
    short
}

/// The most upstreams that a digest names: each takes up to seven bytes, and the
/// whole fits in one Ethernet frame. An entry with more requests in flight than
/// that tells those of the first ones only.
pub const MAX_FLIGHTS: usize = 150;
