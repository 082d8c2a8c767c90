//! Reports that entries request from agents: the load, changes of the engine's prefix
//! cache, and crashes.

use serde::{Deserialize, Serialize};

use verbenaspool_state::{fingerprint::Fingerprint, upstream::Identity};

use crate::load::Load;

/// The JSON-RPC method that takes a [`Request`] and returns a [`Report`].
pub const METHOD: &str = "agent_report";

/// The JSON-RPC method that makes the instance leave; its parameter is null.
pub const LEAVE_METHOD: &str = "agent_leave";

/// A request for a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The intended instance; the agent of any other rejects the request.
    pub instance: Identity,
    /// The number of the last cache event that the entry received; 0 for none.
    pub since: u64,
}

/// An agent's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The current load.
    pub load: Load,
    /// The changes of the prefix cache.
    pub cache: Cache,
    /// Requests that the upstream had in progress when it recently crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
}

/// A request that the upstream had in progress when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// How long ago the upstream crashed, in milliseconds.
    pub age_ms: u64,
    /// How long the upstream had been answering the request, in milliseconds; `None` if it
    /// hadn't started to.
    pub ran_ms: Option<u64>,
    /// The parts of the request's prompt that other requests may share, if the upstream hadn't
    /// written a part of the answer yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Fingerprint>,
    /// The [`crate::digest::hash`] of the customer's name, if there are parts.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub customer: u32,
}

/// Whether a number is zero.
#[allow(clippy::trivially_copy_pass_by_ref)] // The signature that serde needs.
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Changes of the prefix cache since the requested event.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cache {
    /// Whether the entry has to discard what it knows of the cache, since its last event is
    /// too old or the engine was restarted.
    pub reset: bool,
    /// The number of the last event in the report, from which the next request continues.
    /// There may be further events.
    pub last: u64,
    /// The events, oldest first.
    pub events: Vec<Event>,
}

/// A change of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Sequence number of the engine's event. Events whose numbers are skipped are lost.
    pub number: u64,
    /// The hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was added to the cache; otherwise it was evicted.
    #[serde(rename = "held")]
    pub added: bool,
}
