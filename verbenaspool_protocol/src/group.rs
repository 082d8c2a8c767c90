//! Messages between the agents of a group of ranks, and between an agent and
//! the rank's engine.
//!
//! A message between agents may be lost: the sender says it again until it sees
//! the effect, so the call's answer carries nothing. The messages themselves
//! belong to the state machines and are found in
//! [`verbenaspool_coordination::group::message`].

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
/// The group and the seat are named, so that an agent whose address another
/// instance has taken over doesn't take in what is meant for its forerunner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// The firm that the group belongs to.
    pub firm: Name,
    /// The group.
    pub group: Name,
    /// The seat that the message is for.
    pub to: u16,
    /// The message.
    pub message: Message,
}

/// The JSON-RPC method that tells a [`Status`].
pub const STATUS: &str = "group_status";

/// What an agent knows of its group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The group.
    pub group: Name,
    /// The agent's seat.
    pub seat: u16,
    /// Whether the agent leads and has heard from all ranks.
    pub leads: bool,
    /// Whether the agent knows where its rank stands.
    pub ready: bool,
    /// The highest fence heard of.
    pub fence: u64,
    /// The last step that the rank has run.
    pub step: u64,
    /// The epoch of that step.
    pub epoch: Option<u64>,
    /// The epoch of the change under way, at the lead.
    pub changing: Option<u64>,
    /// The skew that recent samples give the map, where there are some.
    pub skew: Option<f64>,
    /// The changes that took effect, as far as this agent led them.
    pub changes: u64,
    /// Those that were given up.
    pub aborts: u64,
    /// Steps that an engine had from someone else.
    pub diverged: u64,
    /// The experts that changes loaded.
    pub moves: u64,
    /// The bytes of their weights.
    pub bytes_moved: u64,
    /// The samples that were ignored.
    pub samples_ignored: u64,
    /// The part by which the last change's loading slowed steps.
    pub slowdown: f64,
}

/// The path where a rank's engine tells its [`State`].
pub const ENGINE: &str = "/rank";

/// What a rank's engine tells. Events and samples are told once.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// Where the engine stands.
    pub snapshot: Snapshot,
    /// What happened since it was last asked.
    pub events: Vec<Event>,
    /// The tokens of each expert over steps of the group.
    pub samples: Vec<Sample>,
}
