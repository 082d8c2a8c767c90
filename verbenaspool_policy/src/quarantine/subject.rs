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

impl Subject {
    /// A request without a prompt.
    ///
    /// ```
    /// use verbenaspool_policy::quarantine::Subject;
    /// use verbenaspool_state::fingerprint::Fingerprint;
    ///
    /// let subject = Subject::plain(Fingerprint::of(None, "/", b""));
    /// assert!(subject.parts.is_empty());
    /// ```
    #[must_use]
    pub fn plain(request: Fingerprint) -> Self {
        Self {
            request,
            service: 0,
            customer: 0,
            parts: Vec::new(),
        }
    }
}
