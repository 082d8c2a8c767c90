//! JSON-RPC methods between the entry instances of a zone.

use serde::{Deserialize, Serialize};
use verbenaspool_coordination::{
    head::Head,
    membership::{self, Member},
    piece::{Delta, Hash},
};
use verbenaspool_state::version::Version;

/// The method that takes a [`Heartbeat`] and returns a [`HeartbeatAnswer`].
pub const HEARTBEAT: &str = "peer.beat";
/// The method that takes an [`Offer`] and returns an [`OfferAnswer`].
pub const OFFER: &str = "peer.offer";
/// The method that takes a [`Fetch`] and returns a [`FetchAnswer`].
pub const FETCH: &str = "peer.fetch";

/// Maximum number of pieces requested in one [`Fetch`]; their hashes take 16 KB.
pub const MAX_PIECES: usize = 512;
/// Size in bytes above which no further piece is added to a [`FetchAnswer`], about half the
/// frame limit.
pub const MAX_PIECE_BYTES: usize = 1_000_000;

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// The sender's status.
    #[serde(rename = "word")]
    pub status: membership::Status,
    /// The sender's member table, after a response that showed that the tables differ.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub table: Vec<Member>,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatAnswer {
    /// The responder's status.
    #[serde(rename = "word")]
    pub status: membership::Status,
    /// The responder's member table, if the digests differ.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub table: Vec<Member>,
    /// The responder's head, if it is newer than the sender's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head: Option<Head>,
}

/// Announces a head of which the sender has all pieces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The sender, from which missing pieces can be fetched.
    pub from: Member,
    /// The head.
    pub head: Head,
    /// The differences from the previous version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
}

/// The version that the receiver of an offer has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OfferAnswer {
    /// The highest version of which it has all pieces.
    pub version: Version,
}

/// A request for pieces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fetch {
    /// The root that the sender already has, as a base for differences.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub have: Option<Hash>,
    /// The root that the sender wants to fetch.
    pub root: Hash,
    /// The pieces known to be missing, at most [`MAX_PIECES`].
    pub missing: Vec<Hash>,
}

/// Pieces, or differences in place of them. The responder doesn't have a requested piece
/// that is in neither, unless [`MAX_PIECE_BYTES`] was exceeded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FetchAnswer {
    /// The differences from the root that the requester has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// The requested pieces, until their size exceeds [`MAX_PIECE_BYTES`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pieces: Vec<Piece>,
}

/// A piece of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Piece {
    /// The hash that identifies it.
    pub hash: Hash,
    /// Its content as JSON.
    pub text: String,
}
