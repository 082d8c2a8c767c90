//! Customers of a firm.

use serde::{Deserialize, Serialize};

use crate::{credential::Digest, name::Name};

/// A customer, identified in requests by one of its credentials.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The customer's name, unique within the firm.
    pub name: Name,
    /// The customer's relative weight when capacity is short. A customer with share 0 only
    /// gets capacity that no other customer uses.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Digests of the customer's credentials.
    pub credentials: Vec<Digest>,
    /// The services the customer may use; empty means all of the firm's.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Name>,
}

/// The share of a customer that specifies none.
fn default_share() -> u32 {
    1
}
