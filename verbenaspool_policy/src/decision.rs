//! What the balancer answers: a start, a wait, or a refusal.

use std::time::Duration;

use verbenaspool_state::name::Name;

use crate::attempt;

/// Names a waiting request within one balancer; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What happens to a request that was offered.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it now.
    Admit(Start),
    /// Hold it; [`crate::balancer::Balancer::poll`] resolves the ticket.
    Wait(Ticket),
    /// Answer the caller at once: it did not run.
    Refuse(Refusal),
}

/// An attempt to send now.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The attempt, to be named in `finish`.
    pub attempt: attempt::Id,
    /// Where to send it.
    pub upstream: Name,
}

/// Why a request is not served, and when asking again makes sense.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// How long the caller should stay away.
    pub retry_after: Duration,
}

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Its deadline can't be met with the work already ahead of it.
    Late,
    /// The customer has as many requests waiting as it may.
    QueueFull,
    /// It waited, and its deadline can't be met any more.
    Expired,
    /// Work that counts more took its place in the customer's queue.
    Displaced,
    /// The service has no upstream.
    NoUpstream,
    /// The service's budget for retries is spent, or a retry can't end in time.
    NoRetry,
}

impl Reason {
    /// Every reason, in the order of [`crate::snapshot::Snapshot::refused`].
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

/// A ticket that waits no longer.
#[derive(Debug, Clone, PartialEq)]
pub struct Resolution {
    /// The ticket.
    pub ticket: Ticket,
    /// What becomes of it.
    pub result: Result<Start, Refusal>,
}
