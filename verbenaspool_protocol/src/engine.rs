//! The API of model engines towards their agents, as far as verbenaspool uses it.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::report::Event;

/// The path of the engine's state; `?since=` takes the number of the last event received.
pub const STATE_PATH: &str = "/state";

/// The engine's state. Additional fields that engines send are ignored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests that wait for a place in the batch.
    pub queued: u32,
    /// Number of tokens still to be processed.
    pub tokens: u64,
    /// The number of the last cache event.
    pub last: u64,
    /// The cache events after the requested one, as far as the engine still has them.
    pub events: Vec<Event>,
}

/// Data of the final event of a streamed answer.
pub const END_OF_STREAM: &str = "[DONE]";

/// The path that accepts orders.
pub const ORDER_PATH: &str = "/order";

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The sender's fencing token.
    pub fence: u64,
    /// The action, in the engine's own format.
    pub action: Value,
}
