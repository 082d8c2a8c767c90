//! What a model engine tells its agent, as far as verbenaspool reads it.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::report::Event;

/// The path of the engine's state; `?since=` names the last event heard.
pub const STATE: &str = "/state";

/// The engine's state. Engines tell more than this; the rest is not read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub queued: u32,
    /// Tokens that are still to be computed.
    pub tokens: u64,
    /// The number of the last cache event.
    pub last: u64,
    /// The cache events after the one asked for that the engine still has.
    pub events: Vec<Event>,
}

/// The data of the event that ends a streamed answer.
pub const END_MARK: &str = "[DONE]";

/// The path of the engine's orders.
pub const ORDER: &str = "/order";

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The sender's fencing number.
    pub fence: u64,
    /// What to do, in the engine's own words.
    pub action: Value,
}
