//! Reservations of an upstream's slots, which its agent grants.
//!
//! With many entries, none of them learns in time which requests the others have just
//! sent to an upstream. Its agent knows: it reads the upstream's report, and entries
//! announce each request to it before they send it.

use std::{net::IpAddr, time::Duration};

use serde::{Deserialize, Serialize};
use verbenaspool_state::engine::Experts;

use crate::{member::Status, rate_limit::RateLimit};

/// An entry's request for one of an upstream's slots.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Identifies the request among those of the entry.
    pub ticket: u64,
    /// Number of requests that the upstream processes concurrently, as known to the entry.
    pub slots: u32,
    /// How the upstream warms up, if it does.
    pub warm_up: Option<WarmUp>,
    /// The limit that the upstream's last answer to the entry named, if there was one.
    pub rate_limit: Option<RateLimit>,
}

/// How an upstream warms up, as known to an entry from the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUp {
    /// How much longer it takes, in milliseconds.
    pub left_ms: u32,
    /// Maximum number of requests per second meanwhile.
    pub max_rate: u32,
}

/// Maximum remaining time of a [`WarmUp`] in milliseconds. A longer one is implausible.
pub const MAX_WARM_UP_LEFT_MS: u32 = 60_000;

/// The agent's answer to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The ticket of the request.
    pub ticket: u64,
    /// Whether a slot is reserved, in which case the entry has to send the request at once.
    pub granted: bool,
    /// The upstream's status, including this request if it was granted.
    pub status: Status,
    /// How long no request is granted because of the upstream's limits, in milliseconds.
    /// `None` from an agent of the previous version, which ignores the limits in answers.
    pub wait_ms: Option<u32>,
}

/// The store's data about a service, which an agent requests from an entry. Agents don't
/// read the store themselves, since calls to it are charged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// The instances of the service's upstreams; some of them if not all fit.
    pub instances: Vec<IpAddr>,
    /// Number of requests that the agent's upstream processes concurrently.
    pub slots: u32,
    /// The experts of the service's engines, if its upstreams are ranks of groups.
    pub experts: Option<Experts>,
    /// The minimum duration of a pass of the engines.
    pub min_pass_time: Duration,
}

/// Maximum number of instances in one message; each takes up to six bytes.
pub const MAX_INSTANCES: usize = 200;

/// An entry's subscription to an upstream's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscription {
    /// Whether the entry is in the upstream's availability zone. Such an entry is also
    /// notified of changes of the number of requests.
    pub same_zone: bool,
}
