//! The upstreams and entry instances of a service.

use verbenaspool_state::name::Name;

/// An upstream of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The upstream's name.
    pub name: Name,
    /// The availability zone it is in.
    pub zone: Name,
    /// Its group of ranks, if it belongs to one.
    pub group: Option<Name>,
    /// The incarnation of the instance, which increases with each start.
    pub incarnation: u64,
    /// Its speed relative to an evenly loaded peer: 1 is equal, 0.5 half as fast. A group
    /// with skewed ranks is slower by its skew.
    pub speed: f64,
    /// Whether it is leaving: it finishes its requests and takes no new ones.
    pub leaving: bool,
}

/// An entry instance that serves the same service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The entry instance's name.
    pub name: Name,
    /// The availability zone it is in.
    pub zone: Name,
}
