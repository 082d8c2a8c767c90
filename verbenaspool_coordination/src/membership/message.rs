//! Messages between the entry instances of a zone.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use verbenaspool_state::{name::Name, version::Version};

use super::Summary;

/// Entry of an instance in the member table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The instance's name, which a successor process takes over.
    pub name: Name,
    /// Number of the process under this name. The highest one is valid.
    pub incarnation: u64,
    /// Address at which the process serves calls of its peers.
    pub address: SocketAddr,
    /// State of the process.
    pub state: State,
}

impl Member {
    /// Creates the entry of a live instance.
    ///
    /// ```
    /// use verbenaspool_coordination::membership::{Member, State};
    ///
    /// let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// assert_eq!(me.state, State::Live);
    /// ```
    #[must_use]
    pub fn live(name: Name, incarnation: u64, address: SocketAddr) -> Self {
        Self {
            name,
            incarnation,
            address,
            state: State::Live,
        }
    }
}

/// State of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It is running.
    Live,
    /// It finishes its requests and shuts down.
    Leaving,
    /// It has sent no heartbeat for too long.
    Dead,
}

/// Status of the sender in a heartbeat and in its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The sender.
    pub from: Member,
    /// Digest of the sender's member table.
    pub digest: u64,
    /// The highest version of which the sender has all pieces.
    #[serde(rename = "held")]
    pub complete_version: Version,
    /// Whether the sender knows, from the platform or its parent, that the platform
    /// recently had no higher version.
    pub fresh: bool,
    /// Summary of the active versions at the sender and below it in the tree.
    pub summary: Summary,
}

/// Result of processing a peer's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// The status was accepted.
    Current,
    /// The table has a successor of the sender, so the status was ignored. The sender
    /// learns of its successor from the table and leaves.
    Superseded,
}

/// Whether this process is still the valid one under its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnStanding {
    /// No other process has taken over.
    Current,
    /// Another process has taken over under the same name. This one must accept no more
    /// work.
    Replaced,
}
