//! Requests as the decisions see them.

use std::time::Duration;

use verbenaspool_state::name::Name;

/// What the entry knows about a request before it runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request<'a> {
    /// Whose request it is.
    pub customer: &'a Name,
    /// How urgent it is among its customer's requests; higher goes first.
    pub priority: u8,
    /// When the answer must be whole, on the clock of `now`.
    pub deadline: Duration,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The length of its prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// The most tokens it may generate; 0 for a plain service.
    pub max_tokens: u32,
    /// Hashes of its prompt's prefixes, shortest first; empty where unknown.
    pub prefixes: &'a [u64],
}
