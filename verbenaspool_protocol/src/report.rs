//! What an agent tells entries when they ask: its load, and what changed in its
//! engine's prefix cache.

use serde::{Deserialize, Serialize};

use verbenaspool_state::{fingerprint::Fingerprint, upstream::Identity};

use crate::load::Load;

/// The JSON-RPC method that asks for a report.
pub const METHOD: &str = "agent_report";

/// The JSON-RPC method that makes the instance leave; its parameter is null.
pub const LEAVE: &str = "agent_leave";

/// What the entry already knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Question {
    /// The instance that the entry means to ask; an agent beside another refuses.
    pub instance: Identity,
    /// The number of the last cache event that the entry heard; 0 for none.
    pub since: u64,
}

/// An agent's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The load now.
    pub load: Load,
    /// What changed in the prefix cache.
    pub cache: Cache,
    /// Requests that the upstream had as it crashed, lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
}

/// A request that the upstream had as it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// How long ago that was, in milliseconds.
    pub age_ms: u64,
    /// How long the upstream had been answering the request, in milliseconds; none if it
    /// hadn't begun.
    pub ran_ms: Option<u64>,
}

/// Changes of the prefix cache since the number that was asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cache {
    /// Whether the entry must start afresh: its number is too old, or the
    /// engine was started again.
    pub reset: bool,
    /// The number of the last event told, to ask from next time. There may be
    /// more behind it.
    pub last: u64,
    /// The events, oldest first.
    pub events: Vec<Event>,
}

/// One change of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Counts the engine's events up; a step of more than one is a gap, whose
    /// events are lost.
    pub number: u64,
    /// The hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is held now, or was dropped.
    pub held: bool,
}
