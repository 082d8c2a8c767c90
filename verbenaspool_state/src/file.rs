//! The declarative configuration file of a firm.

use serde::{Deserialize, Serialize};

use crate::{customer::Customer, name::Name, place::Place, service::Service};

/// The configuration of a firm, which is applied as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The firm's name.
    pub firm: Name,
    /// The availability zones in which the firm runs.
    pub places: Vec<Place>,
    /// The firm's services.
    pub services: Vec<Service>,
    /// The firm's customers.
    pub customers: Vec<Customer>,
}
