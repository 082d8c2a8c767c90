//! Placement requests, verdicts and attempt outcomes.

use std::{rc::Rc, time::Duration};

/// A request to be placed on an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementRequest {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When it was queued.
    pub queued_at: Duration,
    /// When its answer must begin to be on time. A request past it is late.
    pub target: Duration,
    /// When its caller gives up.
    pub deadline: Duration,
    /// The latest placement with which the first event arrives before the caller leaves.
    pub place_by: Duration,
    /// Whether this continues a stream that has already started.
    pub resumption: Resumption,
    /// Whether it exceeds its customer's usual rate.
    pub over_usual_rate: bool,
    /// The customer that it counts for; `None` for callers without an API key.
    pub customer: Option<Rc<str>>,
    /// Its work relative to other requests of the service. It is finite and over 0.
    pub work: f64,
    /// For streams, the longest time between two events that is still on time.
    pub max_gap: Option<Duration>,
    /// Upstreams that it must not be sent to, such as those tried before.
    pub excluded: Vec<Rc<str>>,
}

/// Whether a request continues a stream that has already started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resumption {
    /// A new request.
    None,
    /// A stream that leaves a slow upstream, where it delays other streams.
    Moved,
    /// A stream whose upstream failed or stalled, which makes it late already.
    Interrupted,
}

/// The decision on a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to this upstream.
    Send(Rc<str>),
    /// Reject it.
    Reject(Rejection),
}

/// Why a request is rejected, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why it is rejected.
    pub reason: RejectReason,
    /// When capacity is expected.
    pub retry_after: Duration,
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// No upstream of the service is running.
    Unavailable,
    /// All upstreams are at capacity.
    Full,
    /// All upstreams limit their requests or want none for now, and take none soon enough.
    RateLimited,
}

impl RejectReason {
    /// The value of the reason in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Unavailable => "closed",
            Self::Full => "full",
            Self::RateLimited => "limited",
        }
    }
}

/// The outcome of one attempt, as far as it says something about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream answered.
    Good,
    /// The attempt failed, or its answer was unusable.
    Bad,
    /// The upstream stopped responding.
    Silent,
    /// The upstream rejected the request for lack of capacity.
    Full,
    /// The upstream rejected the request and wants no more of this entry for a time.
    Backoff,
    /// The connection failed, or another process answered at the address.
    Unreached,
    /// Nothing can be concluded, for example because the caller left.
    Unknown,
}
