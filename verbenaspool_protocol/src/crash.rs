//! Messages between entries about crashes of upstreams, and the parts of prompts that may have
//! caused them.

use serde::{Deserialize, Serialize};
use verbenaspool_state::fingerprint::Fingerprint;

/// Maximum number of parts in a report, which has to fit in a datagram.
pub const MAX_PARTS: usize = 48;

/// What the sender saw of a crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The [`crate::digest::hash`] of the upstream's incarnation.
    pub upstream: u32,
    /// How long ago it crashed, in milliseconds. Processes share no clock.
    pub age_ms: u32,
    /// Number of the sender's requests for which the upstream hadn't written anything.
    pub suspects: u32,
    /// The parts of their prompts that other requests may share.
    pub parts: Vec<Part>,
}

/// A part of a prompt that may have caused a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Fingerprint of the part.
    pub fingerprint: Fingerprint,
    /// The [`crate::digest::hash`] of the customer's name.
    pub customer: u32,
    /// Its place in the prompt, from 0.
    pub position: u8,
    /// The share of the sender's sound runs that had the part, in millionths.
    pub share_ppm: u32,
}

#[cfg(test)]
mod tests;
