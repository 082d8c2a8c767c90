//! What requests ask for, what becomes of them, and what their ends tell.

use std::{rc::Rc, time::Duration};

/// What a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementRequest {
    /// How urgent it is; 0 comes first.
    pub priority: u8,
    /// Since when it looks for a place.
    pub queued_at: Duration,
    /// Until when its answer must begin to be in time; past where it is late.
    pub target: Duration,
    /// When its caller gives up.
    pub deadline: Duration,
    /// Until when it must be placed, or its caller leaves before the first event.
    pub place_by: Duration,
    /// Whether it is a stream that has begun and goes on elsewhere.
    pub resumption: Resumption,
    /// Whether it is beyond what its customer usually sends.
    pub over_usual_rate: bool,
    /// The longest pause in time between its events, for streams.
    pub max_gap: Option<Duration>,
    /// Upstreams that it was sent to before.
    pub excluded: Vec<Rc<str>>,
}

/// Whether a request is a stream that has begun and goes on elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resumption {
    /// It isn't.
    None,
    /// It leaves an upstream where it holds others back.
    Moved,
    /// Its upstream failed or fell silent, so that it is late already.
    Interrupted,
}

/// What becomes of a request in line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to this upstream.
    Send(Rc<str>),
    /// It is refused.
    Reject(Rejection),
}

/// Why a request is refused, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// When there should be room.
    pub retry_after: Duration,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// No upstream of the service runs.
    Unavailable,
    /// All upstreams have as much as they can do.
    Full,
}

impl RejectReason {
    /// The reason as logs and metrics name it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Unavailable => "closed",
            Self::Full => "full",
        }
    }
}

/// How one sending ended, as far as it tells something of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered.
    Good,
    /// It failed, or its answer was no good.
    Bad,
    /// It fell silent.
    Silent,
    /// It said that it had no room.
    Full,
    /// It couldn't be connected to, or another process was there.
    Unreached,
    /// Nothing is to be learnt, as when the caller left.
    Unknown,
}
