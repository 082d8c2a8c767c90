//! The balancer's counters and state, for metrics and status.

use std::time::Duration;

use verbenaspool_state::name::Name;

use crate::decision::Reason;

/// Counters since the balancer was created, and its current state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// Requests offered.
    pub offered: u64,
    /// Attempts started, including retries.
    pub started: u64,
    /// Requests that were queued.
    pub waited: u64,
    /// Rejections, in the order of [`Reason::ALL`].
    pub rejected: [u64; Reason::ALL.len()],
    /// Retries allowed.
    pub retried: u64,
    /// Attempts sent to an upstream for its cached prefix.
    pub affine: u64,
    /// Attempts sent to another zone than the entry's.
    pub spilled: u64,
    /// Ejections of upstreams.
    pub ejections: u64,
    /// Load reports that were ignored: repeated, reordered, of an unknown upstream or of
    /// another incarnation.
    pub ignored_reports: u64,
    /// Requests queued now.
    pub waiting: usize,
    /// How long work offered now would wait, at the current capacity.
    pub wait: Duration,
    /// The upstreams in the entry's subset.
    pub upstreams: Vec<Upstream>,
}

/// One upstream's state in a [`Snapshot`].
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// The upstream's name.
    pub name: Name,
    /// Attempts in flight from this entry.
    pub in_flight: u32,
    /// The most attempts it may now have in flight from this entry.
    pub limit: u32,
    /// Whether it is ejected.
    pub ejected: bool,
}
