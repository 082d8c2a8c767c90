//! Messages between the agents of a group of ranks.
//!
//! The three kinds of message are JSON-RPC notifications: each may be lost, and
//! the sender repeats it until it sees the effect, so an answer would carry
//! nothing. The messages themselves belong to the state machines and are found
//! in [`verbenaspool_coordination::group::message`].

use serde::{Deserialize, Serialize};
use verbenaspool_coordination::group::member::Message;
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
