//! Places: the availability zones of a firm and the regions they lie in.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// An availability zone that the firm runs in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The availability zone.
    pub zone: Name,
    /// The region the zone lies in.
    pub region: Name,
}
