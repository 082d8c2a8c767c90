//! Expert maps: which rank of a group holds which experts.

use serde::{Deserialize, Serialize};

/// The placement of experts on the ranks of a group, under one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// Counts up with each map of the group; never used twice.
    pub epoch: u64,
    /// One placement a layer.
    pub layers: Vec<Layer>,
}

/// The placement of one layer's experts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layer {
    /// The experts in the slots of each rank. An expert may stand on several
    /// ranks, and its tokens are spread evenly over them.
    pub ranks: Vec<Vec<u16>>,
}
