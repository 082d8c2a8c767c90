//! A firm's file as immutable pieces, each named by the hash of its content.
//!
//! A change to one customer must transfer only what differs, and thousands of customers
//! must fit into values of a megabyte. So customers are stored in a Merkle tree: each
//! leaf holds the few customers whose names hash to its path, each node the hashes of
//! its [`FANOUT`] children, and the root names the tree and the rest of the file.
//! Changing a customer rewrites one leaf and the nodes above it.

use std::{collections::BTreeMap, fmt, rc::Rc, str::FromStr};

use serde::{Deserialize, Serialize};
use verbenaspool_state::{
    customer::Customer, file::File, name::Name, place::Place, service::Service,
};

pub use delta::Delta;
pub use pieces::Pieces;

mod delta;
mod pieces;
#[cfg(test)]
mod tests;

/// Children of a node. 16 minimizes the bytes of one change in trees of thousands of
/// customers: wider nodes repeat more unchanged hashes, narrower ones need more levels.
pub const FANOUT: usize = 16;
/// Maximum mean number of customers per leaf before the tree gets another level.
const MAX_MEAN_LEAF_CUSTOMERS: usize = 4;
/// Maximum depth of the tree: 16⁴ leaves, a quarter of a million customers.
const MAX_DEPTH: u8 = 4;
/// Length of a hash. With 128 bits, an accidental collision among a million pieces is
/// less likely than one in 10²⁶; only operators who may apply the file could craft one.
const HASH_BYTES: usize = 16;
/// Maximum size of a piece, below the platform's limit of a megabyte per value.
pub const MAX_PIECE_BYTES: usize = 900_000;

/// The hash that names a piece: a prefix of its BLAKE3 digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Hash([u8; HASH_BYTES]);

impl Hash {
    /// Computes the hash of a piece's content.
    ///
    /// ```
    /// use verbenaspool_coordination::piece::Hash;
    ///
    /// let hash = Hash::of(b"[]");
    /// assert_eq!(hash.to_string().parse(), Ok(hash));
    /// ```
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let mut kept = [0; HASH_BYTES];
        kept.copy_from_slice(&blake3::hash(bytes).as_bytes()[..HASH_BYTES]);
        Self(kept)
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Hash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
            return Err(Error::Hash);
        }
        let mut bytes = [0; HASH_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| Error::Hash)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Hash {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Hash> for String {
    fn from(hash: Hash) -> Self {
        hash.to_string()
    }
}

/// The piece that a head names; it references the rest of the file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// Hash of the [`Base`] piece.
    pub base: Hash,
    /// Number of node levels above the leaves.
    pub depth: u8,
    /// Hash of the top node of the customer tree.
    pub customers: Hash,
}

/// Content of a file other than its customers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Base {
    /// The firm that the file belongs to.
    pub firm: Name,
    /// The availability zones the firm runs in.
    pub places: Vec<Place>,
    /// The services on offer.
    pub services: Vec<Service>,
}

/// A file split into pieces.
#[derive(Debug, Clone)]
pub struct Split {
    /// The hash of the [`Root`] piece.
    pub root: Hash,
    /// All pieces by hash, including the root.
    pub pieces: BTreeMap<Hash, Rc<[u8]>>,
}

/// Splits a file into pieces. The order of the customers has no effect.
///
/// # Errors
/// If a piece would exceed [`MAX_PIECE_BYTES`].
///
/// ```
/// # use verbenaspool_coordination::piece;
/// # use verbenaspool_state::file::File;
/// let file = File {
///     firm: "quetzal".parse().unwrap(),
///     places: vec![],
///     services: vec![],
///     customers: vec![],
/// };
/// let split = piece::split(&file).unwrap();
/// assert_eq!(split.pieces.len(), 3);
/// ```
pub fn split(file: &File) -> Result<Split, Error> {
    let mut customers: Vec<&Customer> = file.customers.iter().collect();
    customers.sort_by(|a, b| a.name.cmp(&b.name));
    let depth = depth(customers.len());
    let mut leaves = vec![Vec::new(); FANOUT.pow(depth.into())];
    for customer in customers {
        leaves[leaf_index(&customer.name, depth)].push(customer);
    }
    let mut splitter = Splitter::default();
    let mut level = Vec::with_capacity(leaves.len());
    for leaf in &leaves {
        level.push(splitter.add(leaf)?);
    }
    while level.len() > 1 {
        let nodes: Result<Vec<Hash>, Error> =
            level.chunks(FANOUT).map(|c| splitter.add(&c)).collect();
        level = nodes?;
    }
    let base = splitter.add(&BaseRef {
        firm: &file.firm,
        places: &file.places,
        services: &file.services,
    })?;
    let root = splitter.add(&Root {
        base,
        depth,
        customers: level[0],
    })?;
    Ok(Split {
        root,
        pieces: splitter.pieces,
    })
}

/// Returns the number of node levels for a number of customers.
fn depth(customers: usize) -> u8 {
    let has_capacity =
        |depth: &u8| customers <= MAX_MEAN_LEAF_CUSTOMERS * FANOUT.pow((*depth).into());
    (0..MAX_DEPTH).find(has_capacity).unwrap_or(MAX_DEPTH)
}

/// Returns the index of a customer's leaf: the first hex digits of the name's hash.
fn leaf_index(name: &Name, depth: u8) -> usize {
    let hash = blake3::hash(name.as_str().as_bytes());
    let bytes = hash.as_bytes();
    let prefix = usize::from(bytes[0]) << 8 | usize::from(bytes[1]);
    prefix >> (4 * (4 - depth))
}

/// [`Base`] with borrowed fields, for serialization.
#[derive(Serialize)]
struct BaseRef<'a> {
    firm: &'a Name,
    places: &'a [Place],
    services: &'a [Service],
}

/// Collects the pieces of a file.
#[derive(Default)]
struct Splitter {
    pieces: BTreeMap<Hash, Rc<[u8]>>,
}

impl Splitter {
    /// Adds a value as a piece.
    fn add<T: Serialize>(&mut self, value: &T) -> Result<Hash, Error> {
        let bytes = serde_json::to_vec(value).map_err(|_| Error::Content)?;
        if bytes.len() > MAX_PIECE_BYTES {
            return Err(Error::Large { bytes: bytes.len() });
        }
        let hash = Hash::of(&bytes);
        self.pieces.entry(hash).or_insert_with(|| bytes.into());
        Ok(hash)
    }
}

/// Why a file can't be split, or pieces don't form a file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text isn't a valid hash.
    #[error("a piece is named by {} hex digits", 2 * HASH_BYTES)]
    Hash,
    /// The content doesn't match the hash.
    #[error("the content of piece {0} does not match its hash")]
    Mismatch(Hash),
    /// A piece is missing.
    #[error("piece {0} is missing")]
    Missing(Hash),
    /// The content matches the hash but isn't in a format that this release reads.
    #[error("the content of a piece is invalid")]
    Content,
    /// A piece exceeds [`MAX_PIECE_BYTES`].
    #[error("a piece of {bytes} bytes exceeds the limit of {MAX_PIECE_BYTES} bytes")]
    Large {
        /// Size of the piece in bytes.
        bytes: usize,
    },
}
