//! What entries tell each other many times a second, in one datagram.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// The largest datagram that is sent: one Ethernet frame, so that no part of it
/// can be lost by itself.
pub const LARGEST: usize = 1_400;

/// One entry's word about itself.
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

impl Digest {
    /// The digest as a datagram; flights that don't fit are left out.
    ///
    /// ```
    /// use verbenaspool_protocol::digest::Digest;
    ///
    /// let digest = Digest { table: 7, ..Digest::default() };
    /// assert_eq!(Digest::decode(&digest.encode()), Some(digest));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut digest = self.clone();
        loop {
            let bytes = postcard::to_stdvec(&digest).unwrap_or_default();
            if bytes.len() <= LARGEST || digest.flights.is_empty() {
                return bytes;
            }
            digest.flights.truncate(digest.flights.len() / 2);
        }
    }

    /// Reads a datagram; none where it is no digest.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
