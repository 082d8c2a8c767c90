//! What is kept of an attempt in flight.

use verbenaspool_state::name::Name;

use crate::estimate::TokenCounts;

/// An attempt in flight.
#[derive(Debug)]
pub struct InFlightAttempt {
    /// Its customer's number.
    pub customer: u32,
    /// Where it went.
    pub upstream: Name,
    /// Which upstream of that name it was.
    pub serial: u64,
    /// The work charged for it; 0 where nobody waited.
    pub charged: f64,
    /// What it asked for.
    pub requested: TokenCounts,
    /// The prefix that its upstream was chosen for.
    pub prefix: Option<u64>,
}
