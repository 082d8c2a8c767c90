//! Reservations of an upstream's slots, which its agent grants.
//!
//! With many entries none knows in time what the others have just sent to an
//! upstream. The agent beside it does: it reads its report and hears of every
//! request beforehand.

use std::{net::IpAddr, time::Duration};

use serde::{Deserialize, Serialize};
use verbenaspool_state::engine::Experts;

use crate::member::Status;

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

/// What an entry tells an agent that asks: what the store says of its service. Agents
/// make no calls to the store themselves, which are paid for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Members {
    /// The instances of the service's upstreams, or some of them where there are more
    /// than fit.
    pub instances: Vec<IpAddr>,
    /// Requests that the agent's upstream processes at once.
    pub slots: u32,
    /// The experts of the service's engines.
    pub experts: Option<Experts>,
    /// The least time that a pass of them takes.
    pub pass: Duration,
}

/// The most instances that one message names: each takes up to six bytes.
pub const MAX_INSTANCES: usize = 200;

/// An entry wants to hear how an upstream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscription {
    /// Whether the entry is in the upstream's availability zone, and so wants to hear
    /// of each request more or less.
    pub near: bool,
}
