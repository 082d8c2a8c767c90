//! The upstreams that a service has, as the entry knows them.

use verbenaspool_state::name::Name;

/// An upstream of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The upstream's name.
    pub name: Name,
    /// The availability zone it stands in.
    pub zone: Name,
    /// Its group of ranks, where it belongs to one.
    pub group: Option<Name>,
    /// Counts the starts of the instance.
    pub incarnation: u64,
    /// Its speed relative to an evenly loaded peer: 1 is even, 0.5 half as fast.
    /// A group whose ranks are skewed is slower by its skew.
    pub speed: f64,
    /// Whether it takes new work; a leaving one only finishes what it has.
    pub leaving: bool,
}

/// An entry instance that serves the same service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The entry instance's name.
    pub name: Name,
    /// The availability zone it stands in.
    pub zone: Name,
}
