//! Settings of an agent whose engine is a rank of a lock-stepped group.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use verbenaspool_state::{
    credential::Token,
    name::Name,
    service::{Experts, Fences},
};

/// The group, and this agent's seat in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The group's name, unique within the firm.
    pub name: Name,
    /// This agent's seat, from 0.
    pub seat: u16,
    /// Where the agents of the group take control calls, by seat.
    pub members: Vec<SocketAddr>,
    /// Where the engine takes a rank's orders.
    pub engine: SocketAddr,
    /// Whether the engine refuses orders with an old fence.
    pub fences: Fences,
    /// The group's layout, and when its experts move.
    pub experts: Experts,
    /// How many steps are granted ahead.
    #[serde(default = "Settings::window")]
    pub window: u64,
    /// The platform, which says which agent leads.
    pub platform: Platform,
}

/// Where the lead's lease is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The platform's address.
    pub address: SocketAddr,
    /// The token that names the firm.
    pub token: Token,
    /// How long a lead that is gone is waited for, in seconds. A shorter time
    /// than the window of granted steps hides its loss; each agent of the group
    /// reads or renews the lease a few times within it.
    #[serde(default = "Platform::lease_seconds")]
    pub lease_seconds: u64,
}

impl Platform {
    /// Short pauses of a lead cost nothing, and its loss a few seconds.
    fn lease_seconds() -> u64 {
        10
    }
}

impl Settings {
    /// At 25 ms a step, six seconds: a restart of the lead's agent or of a
    /// rank's passes unnoticed, and a map takes effect within that time.
    fn window() -> u64 {
        256
    }

    /// Everything that is wrong.
    pub(crate) fn problems(&self) -> Vec<&'static str> {
        let ranks = usize::from(self.experts.ranks);
        let slots = u32::from(self.experts.ranks) * u32::from(self.experts.slots);
        let checks = [
            (ranks == 0, "group.experts.ranks: must be at least 1"),
            (
                self.members.len() != ranks,
                "group.members: names another number of agents than group.experts.ranks",
            ),
            (
                usize::from(self.seat) >= ranks,
                "group.seat: is beyond group.experts.ranks",
            ),
            (
                slots < u32::from(self.experts.experts),
                "group.experts.slots: leaves no place for some experts",
            ),
            (
                self.platform.lease_seconds == 0,
                "group.platform.lease_seconds: must be at least 1",
            ),
            (self.window < 2, "group.window: must be at least 2"),
            (
                !self.experts.rebalancing.check().is_empty(),
                "group.experts.rebalancing: holds a value that can't be put in force",
            ),
        ];
        let failed = checks.into_iter().filter(|(fails, _)| *fails);
        failed.map(|(_, problem)| problem).collect()
    }
}
