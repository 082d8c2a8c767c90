//! Messages between the map switch and the ranks.

use serde::{Deserialize, Serialize};

/// State of a rank and of the agent beside it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The group's epoch.
    pub epoch: u64,
    /// The last pass that has begun.
    pub step: u64,
    /// The version of the map in use.
    pub map_version: u64,
    /// The version whose experts are all copied.
    pub prepared_version: Option<u64>,
    /// The version that the rank is armed for.
    pub armed_version: Option<u64>,
    /// The pass that the rank holds.
    pub held_step: Option<u64>,
    /// The last pass for which the agent rejects arm orders of the lead.
    pub arming_blocked_through: u64,
    /// The last pass for which the agent has passed on an arm order, or may have done so
    /// before it restarted.
    pub last_arm_step: u64,
}

/// An order to one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Copies the experts of this map version that the rank lacks.
    Prepare {
        /// The map's version.
        version: u64,
    },
    /// Holds this pass.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Uses the map of this version from this pass on.
    Arm {
        /// The map's version.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Releases this pass.
    Go {
        /// The pass.
        step: u64,
    },
    /// Rejects arm orders for passes up to this one. Handled by the agent itself.
    BlockArming {
        /// The pass.
        step: u64,
    },
    /// Uses the map of this version from this pass on, even if arming is blocked.
    Finish {
        /// The map's version.
        version: u64,
        /// The pass.
        step: u64,
    },
}

/// An order and the rank it is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankOrder {
    /// The rank.
    pub rank: usize,
    /// The order.
    pub order: Order,
}

/// Outcome of a change. The version is 0 if a held pass was released with the old map
/// because no rank was armed for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The group uses this version.
    Completed(u64),
    /// The group doesn't switch to this version.
    Abandoned(u64),
}
