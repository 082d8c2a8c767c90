//! The load that an agent tells entries, on answers and on heartbeats.

use serde::{Deserialize, Serialize};

/// An agent's load at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The agent process, drawn at random at its start.
    pub agent: u64,
    /// Counts the agent's words; a lower one than seen before is late.
    pub sequence: u64,
    /// Requests that run on the upstream.
    pub running: u32,
    /// Requests that the upstream holds back.
    pub queued: u32,
    /// Tokens of work that the upstream has yet to do.
    pub tokens: u64,
    /// Whether the instance is leaving and takes nothing new.
    pub leaving: bool,
}
