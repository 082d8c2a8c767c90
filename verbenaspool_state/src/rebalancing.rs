//! How a service weighs even ranks against the cost of moving experts.

use serde::{Deserialize, Serialize};

/// The rebalancer's settings for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rebalancing {
    /// The weight of step-time skew.
    pub skew: f64,
    /// The weight of the work lost or delayed while experts move.
    pub cost: f64,
}

impl Default for Rebalancing {
    fn default() -> Self {
        Self {
            skew: 1.0,
            cost: 1.0,
        }
    }
}
