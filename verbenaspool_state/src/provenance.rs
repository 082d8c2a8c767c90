//! What is known of a copy of the store's objects.

use crate::position::Position;

/// What is known of a copy of the store's objects: the position that it names, and how it came there.
///
/// A copy follows from a listing of the store and the changes since then. If a change is lost on the
/// way, the copy has the position of others and different objects. Two hashes tell that one of them
/// is wrong, but not which; only one that was just listed is known to be right.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Provenance {
    /// The position that the copy names.
    pub position: Position,
    /// The revision of the listing from which the copy follows; 0 if unknown.
    pub listed: u64,
    /// A hash of the objects; 0 if unknown.
    pub hash: u32,
}

impl Provenance {
    /// Whether two copies name the same position and have different objects.
    ///
    /// ```
    /// use verbenaspool_state::{position::Position, provenance::Provenance};
    ///
    /// let copy = |hash| Provenance { position: Position::new(1, 138), listed: 100, hash };
    /// assert!(copy(1).differs_from(copy(2)));
    /// assert!(!copy(1).differs_from(copy(1)));
    /// ```
    #[must_use]
    pub fn differs_from(self, other: Self) -> bool {
        let is_known = self.hash != 0 && other.hash != 0;
        is_known && self.position == other.position && self.hash != other.hash
    }

    /// Whether the objects are those of a listing at the position.
    ///
    /// ```
    /// use verbenaspool_state::{position::Position, provenance::Provenance};
    ///
    /// let copy = |listed| Provenance { position: Position::new(1, 138), listed, hash: 1 };
    /// assert!(copy(138).is_listed() && !copy(137).is_listed());
    /// ```
    #[must_use]
    pub fn is_listed(self) -> bool {
        self.position.is_known() && self.listed == self.position.revision
    }

    /// Whether another copy shows that this one is wrong.
    ///
    /// ```
    /// use verbenaspool_state::{position::Position, provenance::Provenance};
    ///
    /// let copy = |listed, hash| Provenance { position: Position::new(1, 138), listed, hash };
    /// assert!(copy(100, 1).is_refuted_by(copy(138, 2)));
    /// assert!(!copy(100, 1).is_refuted_by(copy(120, 2)));
    /// ```
    #[must_use]
    pub fn is_refuted_by(self, other: Self) -> bool {
        self.differs_from(other) && other.is_listed() && !self.is_listed()
    }

    /// Whether another copy differs and neither shows that the other one is wrong.
    ///
    /// ```
    /// use verbenaspool_state::{position::Position, provenance::Provenance};
    ///
    /// let copy = |listed, hash| Provenance { position: Position::new(1, 138), listed, hash };
    /// assert!(copy(100, 1).conflicts_with(copy(120, 2)));
    /// assert!(!copy(100, 1).conflicts_with(copy(138, 2)));
    /// ```
    #[must_use]
    pub fn conflicts_with(self, other: Self) -> bool {
        self.differs_from(other) && !self.is_refuted_by(other) && !other.is_refuted_by(self)
    }
}
