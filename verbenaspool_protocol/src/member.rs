//! Messages of the agents of a group's ranks, to each other and to entries.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use verbenaspool_coordination::switch::{self, Report};

/// The state of a rank, for the agents of its group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Sequence number of the message; those of a restarted sender continue above the
    /// previous ones.
    pub sequence: u64,
    /// Hash of the group's name, see [`crate::digest::hash`].
    pub group: u32,
    /// The rank's index in the group.
    pub rank: u16,
    /// Number of ranks in the group.
    pub group_size: u16,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// The rank's report, with the orders that its agent passed on or rejects.
    pub report: Report,
    /// Ratio of the rank's pass time to the usual one.
    pub pace: f32,
    /// Hash of the availability zone's name, see [`crate::digest::hash`].
    pub zone: u32,
}

/// The agents of a group, for one that has just joined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Hash of the group's name, see [`crate::digest::hash`].
    pub group: u32,
    /// The agents; some of them if not all fit.
    pub agents: Vec<IpAddr>,
}

/// How often the requests of a rank recently chose each expert. May be the sum over
/// several ranks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choices {
    /// Hash of the group's name, see [`crate::digest::hash`].
    pub group: u32,
    /// The group's epoch.
    pub epoch: u64,
    /// The rank's index in the group.
    pub rank: u16,
    /// The round of the rank's counts that this message is a part of; it increases.
    pub round: u64,
    /// Offset of the first count among those of all sets of layers.
    pub offset: u32,
    /// Number of times that each expert was chosen.
    pub counts: Vec<u32>,
}

/// An order for the receiver's rank, from the lead or an agent that stands in for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The group's epoch; in any other one the order is ignored.
    pub epoch: u64,
    /// The action.
    pub action: Action,
}

/// The action of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Execute a step of a map change. The map to prepare is sent separately.
    Change(switch::Order),
    /// Only report the rank's current state.
    ReportState,
}

/// A part of a complete map to prepare: the experts of some sets of layers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// The group's epoch; in any other one the map is ignored.
    pub epoch: u64,
    /// The map's version.
    pub version: u64,
    /// Number of sets in the complete map.
    pub set_count: u16,
    /// Index of the first set in this message.
    pub first_set: u16,
    /// The experts of each rank, by set.
    pub placement: Vec<Vec<Vec<u16>>>,
}

/// A map to prepare, or a part of it, as the differences from a previous map. Sending
/// complete maps to many ranks saturates the lead's link, and datagrams are lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The group's epoch; in any other one the map is ignored.
    pub epoch: u64,
    /// The map's version.
    pub version: u64,
    /// The version that the differences apply to.
    pub base: u64,
    /// The differences in this part.
    pub moves: Vec<Move>,
    /// The [`placement_hash`] of the map after all parts are applied.
    pub hash: u32,
    /// Index of this part.
    pub part: u16,
    /// Number of parts.
    pub part_count: u16,
    /// The ranks to which the receiver relays the message.
    pub descendants: Vec<u16>,
}

/// Hash of a map's placement, by which an agent verifies a map that it assembled from
/// differences.
///
/// ```
/// use verbenaspool_protocol::member::placement_hash;
///
/// let before = [vec![vec![0, 1], vec![2]]];
/// let after = [vec![vec![0], vec![1, 2]]];
/// assert_ne!(placement_hash(&before), placement_hash(&after));
/// ```
#[must_use]
pub fn placement_hash(placement: &[Vec<Vec<u16>>]) -> u32 {
    let mut bytes = Vec::new();
    for rank in placement.iter().flatten() {
        for expert in rank {
            bytes.extend(expert.to_le_bytes());
        }
        // Ends the rank's experts, so that an expert on another rank gives another hash. No
        // expert has this number.
        bytes.extend(u16::MAX.to_le_bytes());
    }
    #[allow(clippy::cast_possible_truncation)] // Half of the hash is enough.
    let short = xxhash_rust::xxh3::xxh3_64(&bytes) as u32;
    short
}

/// A changed slot of a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The set of layers.
    pub set: u16,
    /// The rank.
    pub rank: u16,
    /// The expert removed from the rank, if any.
    pub removed: Option<u16>,
    /// The expert added to the rank, if any.
    pub added: Option<u16>,
}

/// Requests a complete map, from an agent that lacks the base of a difference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapRequest {
    /// The group's epoch.
    pub epoch: u64,
    /// The requested version.
    pub version: u64,
}

/// The experts of a rank under the map in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankExperts {
    /// Hash of the group's name, see [`crate::digest::hash`].
    pub group: u32,
    /// The group's epoch.
    pub epoch: u64,
    /// The rank's index in the group.
    pub rank: u16,
    /// The map's version.
    pub version: u64,
    /// The experts, by set of layers.
    pub experts: Vec<Vec<u16>>,
}

/// The state of a rank, for entries.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Sequence number of the message; those of a restarted sender continue above the
    /// previous ones.
    pub sequence: u64,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Hash of the group's name; 0 if it is unknown.
    pub group: u32,
    /// Whether its group is complete; otherwise the rank executes no requests.
    pub group_complete: bool,
    /// Ratio of the rank's pass time to the usual one.
    pub pace: f32,
    /// Number of its requests, including those still in transit to it.
    pub requests: u32,
}
