//! Positions in the history of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in the history of the store.
///
/// The store may come back from an older copy. It then gives out again the revisions after those
/// of the copy, for other changes, and starts a new era. Revisions can thus be compared only within
/// an era; a position in a later era is newer whatever its revision.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// How often the store came back from a copy, as it counts; 0 if it doesn't say. Compared
    /// before the revision.
    pub era: u64,
    /// The store's revision; 0 if nothing was read yet.
    pub revision: u64,
}

impl Position {
    /// The position of a revision in an era.
    ///
    /// ```
    /// use verbenaspool_state::position::Position;
    ///
    /// assert!(Position::new(2, 104) > Position::new(1, 109));
    /// assert!(Position::new(2, 104) < Position::new(2, 105));
    /// ```
    #[must_use]
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Whether something was read at this position.
    ///
    /// ```
    /// use verbenaspool_state::position::Position;
    ///
    /// assert!(!Position::default().is_known());
    /// ```
    #[must_use]
    pub fn is_known(self) -> bool {
        self.revision > 0
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}
