//! Load reports and cache events of upstreams, which may be late, incomplete or
//! reordered.

/// The load of an upstream as its agent reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// The incarnation of the instance that the report describes.
    pub incarnation: u64,
    /// The sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Requests running in the engine, from all entries.
    pub running: u32,
    /// Requests waiting in front of the engine, from all entries.
    pub waiting: u32,
    /// Whether the instance is leaving and takes no new work.
    pub leaving: bool,
}

/// A change of an upstream's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix with this hash was cached.
    Added(u64),
    /// The prefix with this hash was removed.
    Dropped(u64),
    /// Events were lost, or the cache was emptied: nothing is known to be cached.
    Reset,
}
