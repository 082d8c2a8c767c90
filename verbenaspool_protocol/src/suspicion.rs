//! What entries tell each other of requests that upstreams crashed under.
//!
//! Times are relative to when the message is sent, as processes share no clock.

use serde::{Deserialize, Serialize};
use verbenaspool_state::fingerprint::Fingerprint;

/// The most requests in one message, which must fit in a datagram.
pub const MAX_SUSPICIONS: usize = 16;

/// The most crashes that are told of one request.
pub const MAX_CRASHES: usize = 4;

/// A request, and what its sender knows of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The request.
    pub request: Fingerprint,
    /// Crashes that count, the latest ones where there are more than fit.
    pub crashes: Vec<Crash>,
    /// How long ago it succeeded, in milliseconds.
    pub succeeded_ms: Option<u32>,
    /// When it is rejected, if it is.
    pub term: Option<Term>,
}

/// A crash of an upstream that had the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The upstream's incarnation, by [`crate::digest::hash`].
    pub upstream: u32,
    /// How long ago it crashed, in milliseconds.
    pub age_ms: u32,
    /// Whether it had just begun with the request, or hadn't yet.
    pub early: bool,
}

/// A time in which the request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// How long ago it began, in milliseconds.
    pub age_ms: u32,
    /// How much longer it lasts, in milliseconds.
    pub left_ms: u32,
}

#[cfg(test)]
mod tests;
