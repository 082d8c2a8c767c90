//! The declarative file of one firm.

use serde::{Deserialize, Serialize};

use crate::{customer::Customer, name::Name, place::Place, service::Service};

/// Everything that one firm configures, applied as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The firm that the file belongs to.
    pub firm: Name,
    /// The availability zones the firm runs in.
    pub places: Vec<Place>,
    /// The services on offer.
    pub services: Vec<Service>,
    /// The customers who may use them.
    pub customers: Vec<Customer>,
}
