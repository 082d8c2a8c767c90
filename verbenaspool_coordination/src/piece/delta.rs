//! Differences between two versions, for a peer that holds the first one.
//!
//! Sending the changed customers costs a few hundred bytes; sending the changed pieces
//! with the nodes above them costs some thousand. The receiver rebuilds the pieces
//! itself and verifies them by the root's hash.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use verbenaspool_state::{customer::Customer, name::Name};

use super::{Error, FANOUT, Hash, Pieces, Root, leaf_index};

/// Maximum number of changes in a delta; more are cheaper to send as pieces.
const MAX_CHANGES: usize = 1_000;

/// The differences between the files of two roots.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The root to which the changes apply.
    pub from: Hash,
    /// The root that results.
    pub to: Hash,
    /// The new base piece, if it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
    /// New and changed customers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<Customer>,
    /// Removed customers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<Name>,
}

impl Pieces {
    /// Computes the differences between two roots; `None` if a piece isn't held, if the
    /// trees differ in depth, or if there are more changes than a delta may hold.
    ///
    /// ```
    /// # use verbenaspool_coordination::piece::{Hash, Pieces};
    /// assert!(Pieces::default().delta(Hash::of(b"one"), Hash::of(b"two")).is_none());
    /// ```
    #[must_use]
    pub fn delta(&self, from: Hash, to: Hash) -> Option<Delta> {
        let old: Root = self.read(from).ok()?;
        let new: Root = self.read(to).ok()?;
        if old.depth != new.depth {
            return None;
        }
        let base = (old.base != new.base).then(|| self.get(new.base));
        let base = match base {
            Some(bytes) => Some(String::from_utf8(bytes?.to_vec()).ok()?),
            None => None,
        };
        let mut delta = Delta {
            from,
            to,
            base,
            changed: Vec::new(),
            removed: Vec::new(),
        };
        let mut level = vec![(old.customers, new.customers)];
        for _ in 0..old.depth {
            let mut next_level = Vec::new();
            for (old, new) in level.into_iter().filter(|(old, new)| old != new) {
                let old: Vec<Hash> = self.read(old).ok()?;
                let new: Vec<Hash> = self.read(new).ok()?;
                next_level.extend(old.into_iter().zip(new));
            }
            level = next_level;
        }
        for (old, new) in level.into_iter().filter(|(old, new)| old != new) {
            let old: Vec<Customer> = self.read(old).ok()?;
            delta.add_differences(&old, self.read(new).ok()?);
        }
        let changes = delta.changed.len() + delta.removed.len();
        (changes <= MAX_CHANGES).then_some(delta)
    }

    /// Rebuilds the pieces of a delta's new root from those of its old one. They are
    /// kept only if the hash of the new root matches.
    ///
    /// # Errors
    /// If the old root isn't held or the changes don't lead to the new one.
    ///
    /// ```
    /// use verbenaspool_coordination::piece::{Delta, Error, Hash, Pieces};
    ///
    /// let (from, to) = (Hash::of(b"one"), Hash::of(b"two"));
    /// let delta = Delta { from, to, base: None, changed: vec![], removed: vec![] };
    /// assert_eq!(Pieces::default().apply(&delta), Err(Error::Missing(from)));
    /// ```
    pub fn apply(&mut self, delta: &Delta) -> Result<(), Error> {
        let mut root: Root = self.read(delta.from)?;
        let mut built = BTreeMap::new();
        if let Some(base) = &delta.base {
            root.base = add_piece(&mut built, base.as_bytes().to_vec());
        }
        let depth = root.depth;
        let mut leaves: BTreeMap<usize, Changes> = BTreeMap::new();
        for customer in &delta.changed {
            let changes = leaves.entry(leaf_index(&customer.name, depth)).or_default();
            changes.changed.push(customer);
        }
        for name in &delta.removed {
            let changes = leaves.entry(leaf_index(name, depth)).or_default();
            changes.removed.push(name);
        }
        let leaves: Vec<_> = leaves.into_iter().collect();
        root.customers = self.rebuild(&mut built, root.customers, depth, &leaves)?;
        let to = add_piece(&mut built, serialize(&root)?);
        if to != delta.to {
            return Err(Error::Mismatch(delta.to));
        }
        for (hash, bytes) in built {
            self.insert(hash, &bytes)?;
        }
        Ok(())
    }

    /// Rebuilds the subtree at `old`, which is `depth` levels above its leaves, with
    /// changes to some leaves, numbered within that subtree.
    fn rebuild(
        &self,
        built: &mut BTreeMap<Hash, Vec<u8>>,
        old: Hash,
        depth: u8,
        leaves: &[(usize, Changes<'_>)],
    ) -> Result<Hash, Error> {
        if leaves.is_empty() {
            return Ok(old);
        }
        if depth == 0 {
            let customers = leaves[0].1.apply_to(self.read(old)?);
            return Ok(add_piece(built, serialize(&customers)?));
        }
        let mut children: Vec<Hash> = self.read(old)?;
        if children.len() != FANOUT {
            return Err(Error::Content);
        }
        let width = FANOUT.pow(u32::from(depth) - 1);
        for subtree in leaves.chunk_by(|(a, _), (b, _)| a / width == b / width) {
            let child = subtree[0].0 / width;
            let child_leaves: Vec<_> = subtree
                .iter()
                .map(|(i, c)| (i % width, c.clone()))
                .collect();
            children[child] = self.rebuild(built, children[child], depth - 1, &child_leaves)?;
        }
        Ok(add_piece(built, serialize(&children)?))
    }
}

/// Changes to one leaf.
#[derive(Debug, Clone, Default)]
struct Changes<'a> {
    /// New and changed customers.
    changed: Vec<&'a Customer>,
    /// Removed customers.
    removed: Vec<&'a Name>,
}

impl Changes<'_> {
    /// Returns the customers of a leaf after the changes.
    fn apply_to(&self, mut customers: Vec<Customer>) -> Vec<Customer> {
        let is_replaced = |name: &Name| {
            self.removed.contains(&name) || self.changed.iter().any(|c| c.name == *name)
        };
        customers.retain(|customer| !is_replaced(&customer.name));
        customers.extend(self.changed.iter().map(|&customer| customer.clone()));
        customers.sort_by(|a, b| a.name.cmp(&b.name));
        customers
    }
}

impl Delta {
    /// Adds the differences between two leaves.
    fn add_differences(&mut self, old: &[Customer], new: Vec<Customer>) {
        let is_kept = |name: &Name| new.iter().any(|customer| customer.name == *name);
        let removed = old.iter().filter(|customer| !is_kept(&customer.name));
        self.removed
            .extend(removed.map(|customer| customer.name.clone()));
        let fresh = new.into_iter().filter(|customer| !old.contains(customer));
        self.changed.extend(fresh);
    }
}

/// Adds a piece and returns its hash.
fn add_piece(built: &mut BTreeMap<Hash, Vec<u8>>, bytes: Vec<u8>) -> Hash {
    let hash = Hash::of(&bytes);
    built.insert(hash, bytes);
    hash
}

/// Serializes a piece.
fn serialize<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|_| Error::Content)
}
