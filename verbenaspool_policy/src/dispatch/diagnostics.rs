//! What an entry knows of a service at one moment, for the logs.
//!
//! A caller complains hours later that a stream stuttered or was refused. What decided
//! it was the state of a group of ranks, of which nothing is left by then but what the
//! request's own line says.

use std::{rc::Rc, time::Duration};

/// What an entry knows of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceDiagnostics {
    /// The longest that a pass of any group takes, as far as events show.
    pub longest_pass: Duration,
    /// The pace of the slowest upstream that runs.
    pub slowest_pace: f64,
    /// That upstream.
    pub slowest_upstream: Option<Rc<str>>,
    /// How old its agent's word is.
    pub status_age: Duration,
    /// Upstreams whose groups run nothing, as their agents said lately.
    pub unavailable: u32,
}

/// How a service stands.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Snapshot {
    /// Upstreams that take requests.
    pub upstreams: u32,
    /// Those of them that nothing is sent to for now.
    pub ejected: u32,
    /// Requests in flight, of all entries as far as known.
    pub in_flight: u32,
    /// Requests that wait here.
    pub waiting: usize,
    /// How much longer passes take than on even ranks.
    pub pace: f64,
}
