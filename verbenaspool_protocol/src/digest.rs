//! State that entries exchange many times a second.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};
use verbenaspool_state::{position::Position, provenance::Provenance};

/// The state of one entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Identifies the entry process; a restarted one has a higher number.
    pub incarnation: u64,
    /// Sequence number of the digest, since datagrams can be reordered.
    pub sequence: u64,
    /// The version of the routing table in use.
    pub table_version: u64,
    /// The revision of the upstream registry in use.
    pub registry_revision: u64,
    /// Whether the entry is shutting down.
    pub leaving: bool,
    /// Numbers of this entry's requests in flight, by upstream.
    pub in_flight: Vec<InFlight>,
    /// Some of the other entries known to this one, in other zones.
    pub peers: Vec<Ipv4Addr>,
    /// The revision of the evacuations in use.
    pub evacuation_revision: u64,
    /// The hash of the entry's availability zone.
    pub zone: u32,
    /// Number of entries in the zone, as known to this one.
    pub zone_entries: u32,
    /// Some of the other entries in the zone.
    pub zone_peers: Vec<Ipv4Addr>,
    /// Whether the entry watches the platform's store.
    pub store: StoreAccess,
    /// The revision of the configuration's object, which also changes with its status.
    pub configuration_revision: u64,
    /// A hash of the upstream registry in use. Entries with the same revision have the same
    /// objects, unless one of them missed a change. 0 if unknown.
    pub registry_hash: u32,
    /// Whether the registry is from a listing that may be outdated, so that its revision doesn't
    /// say which objects were removed.
    pub registry_outdated: bool,
    /// The era of the store that the registry's revision is of. Revisions of different eras can't
    /// be compared.
    pub registry_era: u64,
    /// The same for the revision of the evacuations.
    pub evacuation_era: u64,
    /// The same for the revision of the configuration's object.
    pub configuration_era: u64,
    /// The revision of the listing of the store from which the upstream registry in use follows; 0
    /// if unknown.
    pub registry_listed: u64,
    /// How long ago the platform's store answered the entry, in milliseconds, if it did.
    pub store_answer_age_ms: Option<u32>,
    /// A hash of the evacuations in use; 0 if unknown.
    pub evacuation_hash: u32,
    /// The revision of the listing of the store from which they follow; 0 if unknown.
    pub evacuation_listed: u64,
}

impl Digest {
    /// The position in the store's history of the upstream registry in use.
    ///
    /// ```
    /// use verbenaspool_protocol::digest::Digest;
    ///
    /// let digest = Digest { registry_revision: 7, registry_era: 2, ..Digest::default() };
    /// assert_eq!(digest.registry().to_string(), "2/7");
    /// ```
    #[must_use]
    pub fn registry(&self) -> Position {
        Position::new(self.registry_era, self.registry_revision)
    }

    /// What is known of the upstream registry in use.
    ///
    /// ```
    /// use verbenaspool_protocol::digest::Digest;
    ///
    /// let digest = Digest { registry_revision: 7, registry_listed: 7, ..Digest::default() };
    /// assert!(digest.registry_provenance().is_listed());
    /// ```
    #[must_use]
    pub fn registry_provenance(&self) -> Provenance {
        Provenance {
            position: self.registry(),
            listed: self.registry_listed,
            hash: self.registry_hash,
        }
    }

    /// The same of the evacuations in use.
    ///
    /// ```
    /// use verbenaspool_protocol::digest::Digest;
    ///
    /// assert!(!Digest::default().evacuation_provenance().is_listed());
    /// ```
    #[must_use]
    pub fn evacuation_provenance(&self) -> Provenance {
        Provenance {
            position: self.evacuations(),
            listed: self.evacuation_listed,
            hash: self.evacuation_hash,
        }
    }

    /// The position of the evacuations in use.
    ///
    /// ```
    /// use verbenaspool_protocol::digest::Digest;
    ///
    /// assert!(!Digest::default().evacuations().is_known());
    /// ```
    #[must_use]
    pub fn evacuations(&self) -> Position {
        Position::new(self.evacuation_era, self.evacuation_revision)
    }

    /// The same of the configuration's object.
    ///
    /// ```
    /// use verbenaspool_protocol::digest::Digest;
    ///
    /// assert!(!Digest::default().configuration().is_known());
    /// ```
    #[must_use]
    pub fn configuration(&self) -> Position {
        Position::new(self.configuration_era, self.configuration_revision)
    }
}

/// Whether an entry watches the platform's store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAccess {
    /// It leaves that to other entries of its zone.
    #[default]
    Idle,
    /// It watches the store.
    Watching,
    /// Its last call failed.
    CutOff,
}

/// The zone in digests of entries of the previous version, which don't send it.
pub const UNKNOWN_ZONE: u32 = 0;

/// Common waits that callers of a service announce with an initial request. Entries
/// that have seen too few requests use them to detect retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The service, by [`hash`].
    pub service: u32,
    /// The waits, in milliseconds.
    pub waits_ms: Vec<u32>,
}

/// Maximum number of services in one message.
pub const MAX_HINTS: usize = 4;

/// Number of an entry's requests in flight at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The upstream, by [`hash`].
    pub upstream: u32,
    /// Number of requests.
    pub requests: u32,
}

/// Hashes the id of an upstream, or the name of a service, to a short one for messages.
///
/// ```
/// use verbenaspool_protocol::digest::hash;
///
/// assert_ne!(hash("i-1"), hash("i-2"));
/// ```
#[must_use]
pub fn hash(id: &str) -> u32 {
    #[allow(clippy::cast_possible_truncation)] // Half of the hash is enough.
    let short = xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32;
    short
}

/// Maximum number of upstreams in a digest. Each takes up to seven bytes, and the digest
/// has to fit in one Ethernet frame. Entries that use more upstreams omit the rest.
pub const MAX_UPSTREAMS: usize = 150;
