//! What a request is known by when upstreams crash under it.

use verbenaspool_state::fingerprint::Fingerprint;

/// A request, with what it shares with others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subject {
    /// The fingerprint of the whole request.
    pub request: Fingerprint,
    /// Hash of the service.
    pub service: u32,
    /// Hash of the customer.
    pub customer: u32,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Vec<Fingerprint>,
}
