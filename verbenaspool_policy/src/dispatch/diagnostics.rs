//! The state of a service at an entry, for logs and metrics.
//!
//! When a caller reports hours later that a stream stuttered or was rejected, the state of
//! the rank group that caused it is gone. The log line of the request is the only place
//! that keeps it.

use std::{rc::Rc, time::Duration};

use super::balance;

/// The state of a service at the time of a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Diagnostics {
    /// The longest pass time of any group, measured by events.
    pub longest_pass: Duration,
    /// The pace of the slowest available upstream.
    pub slowest_pace: f64,
    /// The slowest available upstream.
    pub slowest_upstream: Option<Rc<str>>,
    /// The age of the status report of that upstream's agent.
    pub status_age: Duration,
    /// Number of upstreams whose groups are down, by recent reports of their agents.
    pub unavailable: u32,
    /// The state of balancing, where the settings enable it.
    pub balancing: Option<balance::State>,
}

/// A summary of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Snapshot {
    /// Number of available upstreams.
    pub upstreams: u32,
    /// Number of available upstreams that get no requests for now, because they failed or
    /// were full.
    pub ejected: u32,
    /// Number of available upstreams that limit the requests they take.
    pub rate_limited: u32,
    /// Number of available upstreams that want no requests of this entry for now.
    pub backing_off: u32,
    /// Requests in flight from all entries, as far as known.
    pub in_flight: u32,
    /// Requests queued at this entry.
    pub waiting: usize,
    /// Measured pass time as a multiple of the time with evenly loaded ranks.
    pub pace: f64,
}
