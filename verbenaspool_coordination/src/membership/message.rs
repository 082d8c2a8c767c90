//! What instances say of themselves and of each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use verbenaspool_state::{name::Name, version::Version};

use super::Summary;

/// An instance as the table holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The instance's name, which its successor takes over.
    pub name: Name,
    /// Counts the processes under this name; the highest one stands.
    pub incarnation: u64,
    /// Where the process takes calls from its peers.
    pub address: SocketAddr,
    /// Whether the process is there.
    pub state: MemberState,
}

impl Member {
    /// An instance that takes part.
    ///
    /// ```
    /// use verbenaspool_coordination::membership::{Member, MemberState};
    ///
    /// let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// assert_eq!(me.state, MemberState::Live);
    /// ```
    #[must_use]
    pub fn live(name: Name, incarnation: u64, address: SocketAddr) -> Self {
        Self {
            name,
            incarnation,
            address,
            state: MemberState::Live,
        }
    }
}

/// Whether a process is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It takes part.
    Live,
    /// It finishes what it has and goes.
    Leaving,
    /// It hasn't been heard of for too long, or said goodbye.
    Dead,
}

/// What a heartbeat and its answer say.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerStatus {
    /// Who says it.
    pub from: Member,
    /// The digest of the sender's table.
    pub digest: u64,
    /// The highest version whose pieces the sender holds.
    pub held: Version,
    /// Whether the sender knows, from the platform or its parent, that no higher
    /// version stood there a moment ago.
    pub fresh: bool,
    /// The versions in force at the sender and below it.
    pub summary: Summary,
}

/// What became of a heard word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// The sender stands in the table as it says.
    Current,
    /// A successor of the sender stands in the table. The sender is told so by
    /// the table and leaves; nothing it says is taken in.
    Superseded,
}

/// What the table says about the process itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnStanding {
    /// The process stands there as it is.
    Current,
    /// Another process has taken over under the same name: this one must take no
    /// more work.
    Replaced,
}
