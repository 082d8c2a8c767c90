//! What the agents beside the ranks of a group tell each other, and entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use verbenaspool_coordination::switch::{self, Report};

/// How a rank stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Counts the sender's messages, above those of its earlier processes.
    pub number: u64,
    /// The group's short name.
    pub group: u32,
    /// The rank's member.
    pub rank: u16,
    /// How many seats there are.
    pub size: u16,
    /// The upstream itself.
    pub upstream: SocketAddr,
    /// What the rank says, and its agent of orders to it.
    pub report: Report,
    /// How many times longer than usual the rank takes for its work.
    pub pace: f32,
    /// The short name of the availability zone that it is in.
    pub zone: u32,
}

/// What the requests of a rank, or of several whose choices it summed, chose lately.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choices {
    /// The group's short name.
    pub group: u32,
    /// The group's epoch.
    pub epoch: u64,
    /// The rank's member.
    pub rank: u16,
    /// Which of the rank's messages these counts belong to; later ones have higher numbers.
    pub round: u64,
    /// The number of the first count among those of all sets.
    pub from: u32,
    /// How often each expert was chosen.
    pub counts: Vec<u32>,
}

/// An order for the receiver's rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The group's epoch; in another one the order is void.
    pub epoch: u64,
    /// What to do.
    pub what: What,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// A step of a change of map. Maps to prepare come as messages of their own.
    Change(switch::Order),
    /// Nothing but to say how the rank stands now.
    Look,
}

/// A part of a map to prepare: the experts of some sets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// The group's epoch; in another one the map is void.
    pub epoch: u64,
    /// The map's version.
    pub version: u64,
    /// How many sets the whole map has.
    pub sets: u16,
    /// The number of the first set here.
    pub from: u16,
    /// The experts by set and rank.
    pub places: Vec<Vec<Vec<u16>>>,
}

/// A map to prepare, or a part of it, as what differs from one before. A whole map for
/// each of many ranks fills the lead's link, and some of its datagrams are lost then.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The group's epoch; in another one the map is void.
    pub epoch: u64,
    /// The map's version.
    pub version: u64,
    /// The version that it differs from.
    pub base: u64,
    /// The places that change, as far as they are told in this part.
    pub moves: Vec<Move>,
    /// The [`places_hash`] of the map that all parts lead to.
    pub hash: u32,
    /// The number of this part.
    pub part: u16,
    /// How many parts there are.
    pub parts: u16,
    /// The ranks that the receiver passes this on to.
    pub beyond: Vec<u16>,
}

/// Tells maps apart that should be the same.
///
/// ```
/// use verbenaspool_protocol::member::places_hash;
///
/// let before = [vec![vec![0, 1], vec![2]]];
/// let after = [vec![vec![0], vec![1, 2]]];
/// assert_ne!(places_hash(&before), places_hash(&after));
/// ```
#[must_use]
pub fn places_hash(places: &[Vec<Vec<u16>>]) -> u32 {
    let mut bytes = Vec::new();
    for rank in places.iter().flatten() {
        for expert in rank {
            bytes.extend(expert.to_le_bytes());
        }
        // No expert has this number, so that none can seem to be on another rank.
        bytes.extend(u16::MAX.to_le_bytes());
    }
    #[allow(clippy::cast_possible_truncation)] // Half of the bits are enough.
    let short = xxhash_rust::xxh3::xxh3_64(&bytes) as u32;
    short
}

/// One place that changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The set.
    pub set: u16,
    /// The rank.
    pub rank: u16,
    /// The expert that leaves the rank, if one does.
    pub out: Option<u16>,
    /// The expert that comes, if one does.
    pub new: Option<u16>,
}

/// An agent lacks the map that a difference is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lack {
    /// The group's epoch.
    pub epoch: u64,
    /// The version that it needs whole.
    pub version: u64,
}

/// What a rank holds under the map in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The group's short name.
    pub group: u32,
    /// The group's epoch.
    pub epoch: u64,
    /// The rank's member.
    pub rank: u16,
    /// The map's version.
    pub version: u64,
    /// The experts by set.
    pub experts: Vec<Vec<u16>>,
}

/// How a rank stands, for entries.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Counts the sender's messages, above those of its earlier processes.
    pub number: u64,
    /// The upstream itself.
    pub upstream: SocketAddr,
    /// The group's short name; 0 where it isn't known.
    pub group: u32,
    /// Whether all ranks of its group are there; otherwise it runs nothing.
    pub open: bool,
    /// How many times longer than usual the rank takes for its work.
    pub pace: f32,
    /// Requests that it has, those included that are on their way.
    pub requests: u32,
}
