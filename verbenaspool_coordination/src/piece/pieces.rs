//! The pieces that an instance holds, verified on insertion.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use serde::de::DeserializeOwned;
use verbenaspool_state::{customer::Customer, file::File};

use super::{Base, Error, Hash, MAX_PIECE_BYTES, Root, Split};

/// Pieces by hash. The content of each matches its hash.
///
/// Parsed leaves are cached: joining the next version then parses only the leaves that
/// differ, which keeps a change cheap with thousands of customers.
#[derive(Debug, Clone, Default)]
pub struct Pieces {
    /// Content by hash.
    contents: BTreeMap<Hash, Rc<[u8]>>,
    /// Parsed leaves by hash.
    leaves: BTreeMap<Hash, Rc<[Customer]>>,
}

impl Pieces {
    /// Adds a piece.
    ///
    /// # Errors
    /// If the content doesn't match the hash, as from a faulty peer, or exceeds
    /// [`MAX_PIECE_BYTES`].
    ///
    /// ```
    /// use verbenaspool_coordination::piece::{Hash, Pieces};
    ///
    /// let mut pieces = Pieces::default();
    /// assert!(pieces.insert(Hash::of(b"[]"), b"[]").is_ok());
    /// assert!(pieces.insert(Hash::of(b"[]"), b"garbage").is_err());
    /// ```
    pub fn insert(&mut self, hash: Hash, bytes: &[u8]) -> Result<(), Error> {
        if bytes.len() > MAX_PIECE_BYTES {
            return Err(Error::Large { bytes: bytes.len() });
        }
        if Hash::of(bytes) != hash {
            return Err(Error::Mismatch(hash));
        }
        self.contents.insert(hash, bytes.into());
        Ok(())
    }

    /// Adds all pieces of a file.
    ///
    /// ```no_run
    /// # use verbenaspool_coordination::piece::{Pieces, Split};
    /// # fn example(split: Split) {
    /// Pieces::default().extend(&split);
    /// # }
    /// ```
    pub fn extend(&mut self, split: &Split) {
        let pieces = split.pieces.iter().map(|(h, b)| (*h, Rc::clone(b)));
        self.contents.extend(pieces);
    }

    /// Returns the content of a piece.
    ///
    /// ```
    /// # use verbenaspool_coordination::piece::{Hash, Pieces};
    /// assert!(Pieces::default().get(Hash::of(b"[]")).is_none());
    /// ```
    #[must_use]
    pub fn get(&self, hash: Hash) -> Option<&[u8]> {
        self.contents.get(&hash).map(AsRef::as_ref)
    }

    /// Returns the number of pieces.
    ///
    /// ```
    /// # use verbenaspool_coordination::piece::Pieces;
    /// assert_eq!(Pieces::default().len(), 0);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Whether there are no pieces.
    ///
    /// ```
    /// # use verbenaspool_coordination::piece::Pieces;
    /// assert!(Pieces::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Returns the missing hashes below `root`, as far as they are known: the children
    /// of a missing node are unknown.
    ///
    /// # Errors
    /// If a held piece has invalid content.
    ///
    /// ```
    /// # use verbenaspool_coordination::piece::{Hash, Pieces};
    /// let root = Hash::of(b"some root");
    /// assert_eq!(Pieces::default().missing(root), Ok([root].into()));
    /// ```
    pub fn missing(&self, root: Hash) -> Result<BTreeSet<Hash>, Error> {
        let mut missing = BTreeSet::new();
        self.walk(root, &mut |visited| {
            if !visited.held {
                missing.insert(visited.hash);
            }
            true
        })?;
        Ok(missing)
    }

    /// Returns a missing root or node, which must be read before all pieces of `root`
    /// are known. Missing leaves don't count.
    ///
    /// # Errors
    /// If a held piece has invalid content.
    ///
    /// ```
    /// # use verbenaspool_coordination::piece::{Hash, Pieces};
    /// let root = Hash::of(b"some root");
    /// assert_eq!(Pieces::default().missing_node(root), Ok(Some(root)));
    /// ```
    pub fn missing_node(&self, root: Hash) -> Result<Option<Hash>, Error> {
        let mut missing = None;
        self.walk(root, &mut |visited| {
            if !visited.held && visited.has_children {
                missing = Some(visited.hash);
            }
            true
        })?;
        Ok(missing)
    }

    /// Returns the known hashes of all pieces of `root`, held or not.
    ///
    /// # Errors
    /// If a held piece has invalid content.
    ///
    /// ```
    /// # use verbenaspool_coordination::piece::{Hash, Pieces};
    /// let root = Hash::of(b"some root");
    /// assert_eq!(Pieces::default().referenced(root), Ok([root].into()));
    /// ```
    pub fn referenced(&self, root: Hash) -> Result<BTreeSet<Hash>, Error> {
        let mut all = BTreeSet::new();
        self.walk(root, &mut |visited| {
            all.insert(visited.hash);
            true
        })?;
        Ok(all)
    }

    /// Drops all pieces that none of `roots` references.
    ///
    /// ```
    /// # use verbenaspool_coordination::piece::{Hash, Pieces};
    /// let mut pieces = Pieces::default();
    /// pieces.insert(Hash::of(b"[]"), b"[]").unwrap();
    /// pieces.retain(&[]);
    /// assert!(pieces.is_empty());
    /// ```
    pub fn retain(&mut self, roots: &[Hash]) {
        let mut kept = BTreeSet::new();
        for root in roots {
            // Pieces below an invalid one aren't visited and are therefore dropped.
            let _ = self.walk(*root, &mut |visited| kept.insert(visited.hash));
        }
        self.contents.retain(|hash, _| kept.contains(hash));
        self.leaves.retain(|hash, _| kept.contains(hash));
    }

    /// Joins the pieces to a file, with its customers in the order of the tree.
    ///
    /// # Errors
    /// If a piece is missing or has invalid content.
    ///
    /// ```
    /// # use verbenaspool_coordination::piece::{Error, Hash, Pieces};
    /// let root = Hash::of(b"some root");
    /// assert_eq!(Pieces::default().join(root), Err(Error::Missing(root)));
    /// ```
    pub fn join(&mut self, root: Hash) -> Result<File, Error> {
        let Root {
            base,
            depth,
            customers,
        } = self.read(root)?;
        let Base {
            firm,
            places,
            services,
        } = self.read(base)?;
        let mut level = vec![customers];
        for _ in 0..depth {
            let mut next_level = Vec::new();
            for node in level {
                next_level.extend(self.read::<Vec<Hash>>(node)?);
            }
            level = next_level;
        }
        let mut customers = Vec::new();
        for hash in level {
            customers.extend(self.leaf(hash)?.iter().cloned());
        }
        Ok(File {
            firm,
            places,
            services,
            customers,
        })
    }

    /// Returns a leaf's customers; parses each leaf only once.
    fn leaf(&mut self, hash: Hash) -> Result<Rc<[Customer]>, Error> {
        if let Some(leaf) = self.leaves.get(&hash) {
            return Ok(Rc::clone(leaf));
        }
        let leaf: Rc<[Customer]> = self.read::<Vec<Customer>>(hash)?.into();
        self.leaves.insert(hash, Rc::clone(&leaf));
        Ok(leaf)
    }

    /// Calls `visit` with each known piece below `root`. If it returns false for a
    /// piece, the pieces below that one are skipped.
    fn walk(&self, root: Hash, visit: &mut dyn FnMut(Visited) -> bool) -> Result<(), Error> {
        let describe = |hash, has_children| Visited {
            hash,
            held: self.contents.contains_key(&hash),
            has_children,
        };
        let descend = visit(describe(root, true));
        if !descend || !self.contents.contains_key(&root) {
            return Ok(());
        }
        let Root {
            base,
            depth,
            customers,
        } = self.read(root)?;
        visit(describe(base, false));
        let mut level = vec![customers];
        for levels_below in (0..=depth).rev() {
            let mut next_level = Vec::new();
            for hash in level {
                let visited = describe(hash, levels_below > 0);
                if visit(visited) && visited.held && visited.has_children {
                    next_level.extend(self.read::<Vec<Hash>>(hash)?);
                }
            }
            level = next_level;
        }
        Ok(())
    }

    /// Parses a held piece.
    pub(super) fn read<T: DeserializeOwned>(&self, hash: Hash) -> Result<T, Error> {
        let bytes = self.contents.get(&hash).ok_or(Error::Missing(hash))?;
        serde_json::from_slice(bytes).map_err(|_| Error::Content)
    }
}

/// A piece visited by [`Pieces::walk`].
#[derive(Debug, Clone, Copy)]
struct Visited {
    /// Hash of the piece.
    hash: Hash,
    /// Whether it is held.
    held: bool,
    /// Whether it references further pieces.
    has_children: bool,
}
