//! What the balancer has decided so far, for metrics and status.

use std::time::Duration;

use verbenaspool_state::name::Name;

use crate::decision::Reason;

/// Counts since the balancer was made, and its state now.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// Requests offered.
    pub offered: u64,
    /// Attempts started, retries among them.
    pub started: u64,
    /// Requests that had to wait before they started.
    pub waited: u64,
    /// Refusals, in the order of [`Reason::ALL`].
    pub refused: [u64; Reason::ALL.len()],
    /// Retries allowed.
    pub retried: u64,
    /// Starts that followed a cached prefix.
    pub affine: u64,
    /// Starts outside the entry's own zone.
    pub spilled: u64,
    /// Times an upstream was ejected.
    pub ejections: u64,
    /// Load reports that were ignored: stale, reordered or of another incarnation.
    pub ignored_reports: u64,
    /// Requests waiting now.
    pub waiting: usize,
    /// How long work offered now would wait, at the present rate.
    pub wait: Duration,
    /// The upstreams that the entry works with.
    pub upstreams: Vec<Upstream>,
}

/// One upstream's state in a [`Snapshot`].
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// The upstream's name.
    pub name: Name,
    /// Attempts in flight from this entry.
    pub in_flight: u32,
    /// The most attempts it may have in flight from this entry now.
    pub limit: u32,
    /// Whether it is ejected.
    pub ejected: bool,
}
