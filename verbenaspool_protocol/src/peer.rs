//! Messages between the entry instances of a zone, as JSON-RPC methods.

use serde::{Deserialize, Serialize};
use verbenaspool_coordination::{
    head::Head,
    membership::{Member, PeerStatus},
    piece::{Delta, Hash},
};
use verbenaspool_state::version::Version;

/// The method that takes a [`Beat`] and answers with an [`Echo`].
pub const BEAT: &str = "peer.beat";
/// The method that takes an [`Offer`] and answers with a [`Holding`].
pub const OFFER: &str = "peer.offer";
/// The method that takes a [`Fetch`] and answers with a [`Fetched`].
pub const FETCH: &str = "peer.fetch";

/// The most pieces asked for in one [`Fetch`]; their hashes take 16 KB.
pub const PIECES: usize = 512;
/// The most bytes of pieces in one [`Fetched`], well within a frame's bound.
pub const BYTES: usize = 1_000_000;

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Beat {
    /// What the sender says of itself.
    #[serde(rename = "word")]
    pub message: PeerStatus,
    /// The sender's table, after an answer that told of a different one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub table: Vec<Member>,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Echo {
    /// What the answerer says of itself.
    #[serde(rename = "word")]
    pub message: PeerStatus,
    /// The answerer's table, where the digests differ.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub table: Vec<Member>,
    /// The head that the answerer holds, where it is above the sender's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head: Option<Head>,
}

/// A head that the sender holds whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The sender, which missing pieces can be fetched from.
    pub from: Member,
    /// The head.
    pub head: Head,
    /// What differs from the version before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
}

/// What the receiver of an offer holds now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The highest version whose pieces it holds.
    pub version: Version,
}

/// A request for pieces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fetch {
    /// The root that the sender holds already, from which differences may be told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub have: Option<Hash>,
    /// The root that the sender wants to hold.
    pub root: Hash,
    /// The pieces that it knows to be missing, [`PIECES`] at most.
    pub missing: Vec<Hash>,
}

/// Pieces, or differences in place of them. What isn't here isn't held.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fetched {
    /// The differences from the root that the asker holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// The pieces asked for, up to [`BYTES`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pieces: Vec<Piece>,
}

/// A piece with its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Piece {
    /// The hash that names it.
    pub hash: Hash,
    /// Its content, which is JSON.
    pub text: String,
}
