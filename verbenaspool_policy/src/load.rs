//! Load reports of upstreams, which arrive late, with gaps and out of order.

/// What an agent says about the load on its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The start of the instance that the report speaks of.
    pub incarnation: u64,
    /// Counts the reports of one incarnation up.
    pub sequence: u64,
    /// Requests in the engine, from every entry.
    pub running: u32,
    /// Requests waiting in front of the engine, from every entry.
    pub waiting: u32,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// A change of an upstream's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix with this hash is held now.
    Added(u64),
    /// The prefix with this hash was dropped.
    Dropped(u64),
    /// Events were lost, or the cache was emptied: nothing is known to be held.
    Reset,
}
