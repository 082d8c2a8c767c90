//! Places: the availability zones of a firm and their regions.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// An availability zone in which the firm runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The availability zone.
    pub zone: Name,
    /// The region of the zone.
    pub region: Name,
}
