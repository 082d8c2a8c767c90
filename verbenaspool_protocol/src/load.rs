//! Load of an upstream, which its agent reports to entries with answers and heartbeats.

use serde::{Deserialize, Serialize};

/// The current load of an agent's upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Identifies the agent process; chosen at random when it starts.
    pub agent: u64,
    /// Sequence number of the load report; one that is lower than a previous one is
    /// outdated.
    pub sequence: u64,
    /// Number of requests that the upstream processes.
    pub running: u32,
    /// Number of requests that wait at the upstream.
    pub queued: u32,
    /// Number of tokens that the upstream has still to process.
    pub tokens: u64,
    /// Whether the instance is leaving and accepts no new requests.
    pub leaving: bool,
}
