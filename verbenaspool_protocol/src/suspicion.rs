//! Messages between entries about requests during which upstreams crashed.
//!
//! Times are relative to the sending of the message, since processes share no clock.

use serde::{Deserialize, Serialize};
use verbenaspool_state::fingerprint::Fingerprint;

/// Maximum number of requests in one message, which has to fit in a datagram.
pub const MAX_SUSPICIONS: usize = 16;

/// Maximum number of crashes reported for one request.
pub const MAX_CRASHES: usize = 4;

/// A request that may have crashed upstreams, as known to the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// The crashes that count; only the latest ones if there are more than [`MAX_CRASHES`].
    pub crashes: Vec<Crash>,
    /// How long ago the request succeeded, in milliseconds.
    pub succeeded_ms: Option<u32>,
    /// The period in which the request is rejected, if any.
    pub term: Option<Term>,
}

/// A crash of an upstream that was processing the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The [`crate::digest::hash`] of the upstream's incarnation.
    pub upstream: u32,
    /// How long ago it crashed, in milliseconds.
    pub age_ms: u32,
    /// Whether it had just started to process the request, or hadn't yet.
    pub early: bool,
}

/// A period in which a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// How long ago it began, in milliseconds.
    pub age_ms: u32,
    /// How much longer it lasts, in milliseconds.
    pub left_ms: u32,
}

#[cfg(test)]
mod tests;
