//! Requests as the balancer sees them.

use std::time::Duration;

use verbenaspool_state::name::Name;

/// What is known of a request before it runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request<'a> {
    /// The customer that sent it.
    pub customer: &'a Name,
    /// Its priority among its customer's requests; higher goes first.
    pub priority: u8,
    /// When the whole answer is due, on the clock of `now`.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The length of its prompt in tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// The most tokens it may generate; 0 for a plain service.
    pub max_tokens: u32,
    /// Hashes of its prompt's prefixes, shortest first; empty if unknown.
    pub prefixes: &'a [u64],
}
