//! Reservations of an upstream's slots, which its agent grants.
//!
//! With many entries none knows in time what the others have just sent to an
//! upstream. The agent beside it does: it reads its report and hears of every
//! request beforehand.

use serde::{Deserialize, Serialize};

use crate::seat::Status;

/// An entry asks for one of an upstream's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Tells the entry's asks apart.
    pub ticket: u64,
    /// Requests that the upstream processes at once, as the entry knows it.
    pub slots: u32,
}

/// What the agent says to that.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Which ask it answers.
    pub ticket: u64,
    /// Whether a slot is kept for the request, which is to be sent at once.
    pub granted: bool,
    /// How the upstream stands, this request included if it was granted.
    pub status: Status,
}

/// An entry wants to hear how an upstream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscription {
    /// Whether the entry is in the upstream's availability zone, and so wants to hear
    /// of each request more or less.
    pub near: bool,
}
