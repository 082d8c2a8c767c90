//! A firm's file as immutable pieces named by the hash of their content.
//!
//! One change must send only what differs, and thousands of customers must fit
//! values of a megabyte. So customers stand in a tree: each leaf holds the few
//! customers whose names hash to its path, each node the hashes of its
//! [`FANOUT`] children, and the root names the tree and the rest of the file.
//! Changing one customer writes one leaf and the nodes above it.

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

/// Children of a node. Sixteen keeps the bytes of one change lowest for trees
/// of thousands of customers: wider nodes carry more hashes that stay the same,
/// narrower ones need more levels.
pub const FANOUT: usize = 16;
/// Customers a leaf holds on average at most, before the tree gets a level more.
const MAX_MEAN_LEAF_CUSTOMERS: usize = 4;
/// The deepest tree: 16⁴ leaves, a quarter of a million customers.
const MAX_DEPTH: u8 = 4;
/// Hash bytes kept. 128 bits make an accidental clash of a million pieces less
/// likely than one in 10²⁶; only who may already apply the file could seek one.
const HASH_BYTES: usize = 16;
/// The largest piece, below the platform's bound of a megabyte for one value.
pub const MAX_PIECE_BYTES: usize = 900_000;

/// The hash that names a piece: the start of its BLAKE3 digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Hash([u8; HASH_BYTES]);

impl Hash {
    /// The hash of a piece's bytes.
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

/// The piece that a head names: where the rest of the file stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// The piece with everything but the customers.
    pub base: Hash,
    /// The levels of nodes above the leaves.
    pub depth: u8,
    /// The top of the customers' tree.
    pub customers: Hash,
}

/// Everything of a file but its customers.
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

/// A file cut into pieces.
#[derive(Debug, Clone)]
pub struct Split {
    /// The hash of the [`Root`] piece.
    pub root: Hash,
    /// All pieces by hash, the root's among them.
    pub pieces: BTreeMap<Hash, Rc<[u8]>>,
}

/// Cuts a file into pieces. The order of customers doesn't matter.
///
/// # Errors
/// When a piece would be over [`MAX_PIECE_BYTES`].
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

/// The levels of nodes for a number of customers.
fn depth(customers: usize) -> u8 {
    let has_capacity =
        |depth: &u8| customers <= MAX_MEAN_LEAF_CUSTOMERS * FANOUT.pow((*depth).into());
    (0..MAX_DEPTH).find(has_capacity).unwrap_or(MAX_DEPTH)
}

/// The leaf that a customer stands in: the first hex digits of its name's hash.
fn leaf_index(name: &Name, depth: u8) -> usize {
    let hash = blake3::hash(name.as_str().as_bytes());
    let bytes = hash.as_bytes();
    let prefix = usize::from(bytes[0]) << 8 | usize::from(bytes[1]);
    prefix >> (4 * (4 - depth))
}

/// [`Base`], borrowed for writing.
#[derive(Serialize)]
struct BaseRef<'a> {
    firm: &'a Name,
    places: &'a [Place],
    services: &'a [Service],
}

/// Pieces gathered while a file is splitter.
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

/// Why pieces don't make a file, or a file no pieces.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is no hash.
    #[error("a piece is named by {} hex digits", 2 * HASH_BYTES)]
    Hash,
    /// The bytes aren't those that the hash names.
    #[error("the piece {0} came with other content")]
    Mismatch(Hash),
    /// A piece isn't there.
    #[error("the piece {0} is missing")]
    Missing(Hash),
    /// The hash fits but the content is none that this version reads.
    #[error("a piece's content can't be read")]
    Content,
    /// A piece is over [`MAX_PIECE_BYTES`].
    #[error("a piece has {bytes} bytes; at most {MAX_PIECE_BYTES} are allowed")]
    Large {
        /// The piece's size in bytes.
        bytes: usize,
    },
}
