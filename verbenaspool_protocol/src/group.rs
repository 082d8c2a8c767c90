//! Messages between the agents of a group of ranks, and between an agent and
//! the rank's engine.
//!
//! Messages between agents may be lost. The sender repeats them until it sees their
//! effect, so the response of the call is empty. The messages themselves are
//! defined with the state machines in [`verbenaspool_coordination::group::message`].

use serde::{Deserialize, Serialize};
use verbenaspool_coordination::group::{
    engine::{Event, Snapshot},
    member::Message,
};
use verbenaspool_policy::rebalancer::sample::Sample;
use verbenaspool_state::name::Name;

/// The JSON-RPC method that carries an [`Envelope`].
pub const METHOD: &str = "group_message";

/// A message between two agents of a group.
///
/// It contains the group and the seat, so that an agent whose address was reused
/// from another instance rejects messages to that instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// The firm that the group belongs to.
    pub firm: Name,
    /// The group.
    pub group: Name,
    /// The recipient's seat, which is its rank in the group.
    pub to: u16,
    /// The message.
    pub message: Message,
}

/// The JSON-RPC method that returns a [`Status`].
pub const STATUS_METHOD: &str = "group_status";

/// The state of a group as known to one of its agents.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The group.
    pub group: Name,
    /// The agent's seat, which is its rank in the group.
    pub seat: u16,
    /// Whether the agent is the lead and has received reports of all ranks.
    pub leads: bool,
    /// Whether the agent knows the state of its rank.
    pub ready: bool,
    /// The highest known fencing token.
    pub fence: u64,
    /// The last step that the rank executed.
    pub step: u64,
    /// The epoch of that step.
    pub epoch: Option<u64>,
    /// The epoch of the map change in progress; only known to the lead.
    pub changing: Option<u64>,
    /// The skew of rank loads under the current map, if there are recent samples.
    pub skew: Option<f64>,
    /// Number of map changes completed by this agent as the lead.
    pub changes: u64,
    /// Number of map changes abandoned by this agent as the lead.
    pub aborts: u64,
    /// Number of steps that an engine received from another sender.
    pub diverged: u64,
    /// Number of experts loaded by map changes.
    pub moves: u64,
    /// Size of their weights in bytes.
    pub bytes_moved: u64,
    /// Number of ignored samples.
    pub samples_ignored: u64,
    /// The fraction by which loading experts slowed down steps in the last map change.
    pub slowdown: f64,
}

/// The path of a rank engine's [`State`].
pub const ENGINE_STATE_PATH: &str = "/rank";

/// The state of a rank's engine. Each event and sample is sent once.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// The progress of the engine.
    pub snapshot: Snapshot,
    /// Events since the last request.
    pub events: Vec<Event>,
    /// Number of tokens per expert over some steps of the group.
    pub samples: Vec<Sample>,
}
