//! Settings of an agent whose engine is a rank of a lock-stepped group.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use verbenaspool_state::{
    credential::Token,
    name::Name,
    service::{Experts, Fences},
};

/// The group and this agent's seat in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The group's name, unique within the firm.
    pub name: Name,
    /// This agent's seat, from 0.
    pub seat: u16,
    /// The control addresses of the agents of the group, by seat.
    pub members: Vec<SocketAddr>,
    /// The address at which the engine accepts the orders of a rank.
    pub engine: SocketAddr,
    /// Whether the engine rejects orders with an old fence.
    pub fences: Fences,
    /// The layout of the group's experts and its rebalancing.
    pub experts: Experts,
    /// Number of steps granted in advance.
    #[serde(default = "Settings::window")]
    pub window: u64,
    /// The platform, which stores the lease of the lead.
    pub platform: Platform,
}

/// The platform, which stores the lead's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The platform's address.
    pub address: SocketAddr,
    /// The token that authenticates the firm.
    pub token: Token,
    /// Duration of the lease, after which a lost lead is replaced, in seconds. If it is
    /// shorter than the time covered by the granted steps, the group doesn't have to wait.
    /// Each agent of the group reads or renews the lease a few times within it.
    #[serde(default = "Platform::lease_seconds")]
    pub lease_seconds: u64,
}

impl Platform {
    /// A lead that pauses for a short time keeps the lease, and the loss of the lead costs a
    /// few seconds.
    fn lease_seconds() -> u64 {
        10
    }
}

impl Settings {
    /// Six seconds at 25 ms per step. A restart of the lead's or a rank's agent within that
    /// time doesn't delay steps, and a new map takes effect within it.
    fn window() -> u64 {
        256
    }

    /// All problems of the settings.
    pub(crate) fn problems(&self) -> Vec<&'static str> {
        let ranks = usize::from(self.experts.ranks);
        let slots = u32::from(self.experts.ranks) * u32::from(self.experts.slots);
        let checks = [
            (ranks == 0, "group.experts.ranks: must be at least 1"),
            (
                self.members.len() != ranks,
                "group.members: must have as many addresses as group.experts.ranks",
            ),
            (
                usize::from(self.seat) >= ranks,
                "group.seat: must be less than group.experts.ranks",
            ),
            (
                slots < u32::from(self.experts.experts),
                "group.experts.slots: leaves no slot for some experts",
            ),
            (
                self.platform.lease_seconds == 0,
                "group.platform.lease_seconds: must be at least 1",
            ),
            (self.window < 2, "group.window: must be at least 2"),
            (
                !self.experts.rebalancing.check().is_empty(),
                "group.experts.rebalancing: has an invalid value",
            ),
        ];
        let failed = checks.into_iter().filter(|(fails, _)| *fails);
        failed.map(|(_, problem)| problem).collect()
    }
}
