//! Attempts in flight.

use verbenaspool_state::name::Name;

use crate::estimate::Size;

/// An attempt in flight and what is needed when it ends.
#[derive(Debug)]
pub struct Attempt {
    /// The customer's number.
    pub customer: u32,
    /// The upstream it was sent to.
    pub upstream: Name,
    /// The serial of that upstream, as a replaced one has the same name.
    pub serial: u64,
    /// The work charged to the customer; 0 if no requests were queued.
    pub charged: f64,
    /// The prompt tokens and the most answer tokens of the request.
    pub requested: Size,
    /// The cached prefix that the upstream was chosen for.
    pub prefix: Option<u64>,
}
