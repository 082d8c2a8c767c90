//! What ranks and the machine that changes their map tell each other.

use serde::{Deserialize, Serialize};

/// What a rank says of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The group's epoch.
    pub epoch: u64,
    /// The last pass that was begun.
    pub step: u64,
    /// The version of the map in use.
    pub map: u64,
    /// The version that is copied whole.
    pub prepared: Option<u64>,
    /// The version that it is armed for.
    pub armed: Option<u64>,
    /// The pass that it holds.
    pub held: Option<u64>,
    /// Up to which pass its agent gives no order of a lead to arm.
    pub arming_blocked_through: u64,
    /// The last pass for which its agent has given, or may have given, an order
    /// to arm.
    pub last_arm_step: u64,
}

/// An order to one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Copy what is new in the map of this version.
    Prepare {
        /// The map's version.
        version: u64,
    },
    /// Hold this pass.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Use the map of this version from this pass on.
    Arm {
        /// The map's version.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Let this pass begin.
    Go {
        /// The pass.
        step: u64,
    },
    /// Give no order to arm for a pass up to this one: for the agent itself.
    BlockArming {
        /// The pass.
        step: u64,
    },
    /// Use the map of this version from this pass on, though it is barred.
    Finish {
        /// The map's version.
        version: u64,
        /// The pass.
        step: u64,
    },
}

/// An order and the rank that it goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankOrder {
    /// The rank.
    pub rank: usize,
    /// The order.
    pub order: Order,
}

/// How a change ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchOutcome {
    /// The group uses this version.
    Completed(u64),
    /// The change was given up before any rank was armed.
    Abandoned(u64),
}
