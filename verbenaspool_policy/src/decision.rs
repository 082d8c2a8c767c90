//! The balancer's decisions: admit, wait or reject.

use std::time::Duration;

use verbenaspool_state::name::Name;

use crate::attempt;

/// Identifies a queued request within one balancer; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The decision on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it now.
    Admit(Start),
    /// Queue it; [`crate::balancer::Balancer::poll`] resolves the ticket.
    Wait(Ticket),
    /// Answer the caller at once; the request did not run.
    Reject(Rejection),
}

/// An attempt to send now.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The attempt's id, to be passed to `finish`.
    pub attempt: attempt::Id,
    /// The upstream to send it to.
    pub upstream: Name,
}

/// Why a request is not served, and when to retry it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Why it is not served.
    pub reason: Reason,
    /// How long the caller should wait before it retries.
    pub retry_after: Duration,
}

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Its deadline can't be met with the work queued ahead of it.
    Late,
    /// The customer has the maximum number of requests queued.
    QueueFull,
    /// It was queued, and its deadline can no longer be met.
    Expired,
    /// It was dropped from the customer's queue so that others meet their deadlines.
    Displaced,
    /// The service has no upstream that takes work.
    NoUpstream,
    /// The retry budget of the customer or the service is spent, the request may not run
    /// again, or a retry can't meet the deadline.
    NoRetry,
}

impl Reason {
    /// Every reason, in the order of [`crate::snapshot::Snapshot::rejected`].
    pub const ALL: [Self; 6] = [
        Self::Late,
        Self::QueueFull,
        Self::Expired,
        Self::Displaced,
        Self::NoUpstream,
        Self::NoRetry,
    ];

    /// The reason's name in metrics and answers.
    ///
    /// ```
    /// assert_eq!(verbenaspool_policy::decision::Reason::QueueFull.name(), "queue-full");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::QueueFull => "queue-full",
            Self::Expired => "expired",
            Self::Displaced => "displaced",
            Self::NoUpstream => "no-upstream",
            Self::NoRetry => "no-retry",
        }
    }
}

/// The result of a ticket that waits no longer.
#[derive(Debug, Clone, PartialEq)]
pub struct Resolution {
    /// The ticket from [`Decision::Wait`].
    pub ticket: Ticket,
    /// The started attempt or the rejection.
    pub result: Result<Start, Rejection>,
}
