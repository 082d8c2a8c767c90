//! The head of a firm's configuration: the one object that says what is accepted.

use serde::{Deserialize, Serialize};
use verbenaspool_state::version::Version;

use crate::piece::Hash;

/// Applies that a head remembers besides its own. An operator whose answer was
/// lost finds out what became of the apply as long as no more than these were
/// accepted since; settling takes milliseconds, so that is plenty.
const MAX_PREVIOUS_APPLIES: usize = 8;

/// What is accepted. A file is accepted exactly when the compare-and-swap that
/// put its head in place took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The version, one above the head before.
    pub version: Version,
    /// The id of the apply that put the head in place.
    pub apply: String,
    /// The root piece of the file.
    pub root: Hash,
    /// The applies before, the latest first, whose versions count down from here.
    #[serde(rename = "before")]
    pub previous_applies: Vec<String>,
    /// The hash of all of the above, by which a garbled head is told.
    #[serde(rename = "seal")]
    checksum: Hash,
}

impl Head {
    /// The first head of a firm.
    ///
    /// ```
    /// use verbenaspool_coordination::{head::Head, piece::Hash};
    ///
    /// let head = Head::first("apply-1", Hash::of(b"root"));
    /// assert_eq!(Head::from_bytes(&head.to_bytes()), Some(head));
    /// ```
    #[must_use]
    pub fn first(apply: &str, root: Hash) -> Self {
        Self::with_checksum(Version(1), apply, root, Vec::new())
    }

    /// The head that follows this one.
    ///
    /// ```
    /// use verbenaspool_coordination::{head::Head, piece::Hash};
    /// use verbenaspool_state::version::Version;
    ///
    /// let head = Head::first("apply-1", Hash::of(b"root")).next("apply-2", Hash::of(b"other"));
    /// assert_eq!(head.version_of("apply-1"), Some(Version(1)));
    /// ```
    #[must_use]
    pub fn next(&self, apply: &str, root: Hash) -> Self {
        let applies = std::iter::once(&self.apply).chain(&self.previous_applies);
        let previous_applies = applies.take(MAX_PREVIOUS_APPLIES).cloned().collect();
        Self::with_checksum(self.version.next(), apply, root, previous_applies)
    }

    /// The version that an apply was accepted as, if the head still knows it.
    ///
    /// ```
    /// # use verbenaspool_coordination::{head::Head, piece::Hash};
    /// let head = Head::first("apply-1", Hash::of(b"root"));
    /// assert_eq!(head.version_of("another"), None);
    /// ```
    #[must_use]
    pub fn version_of(&self, apply: &str) -> Option<Version> {
        let mut ids = std::iter::once(&self.apply).chain(&self.previous_applies);
        let offset = ids.position(|id| id == apply)?;
        Some(Version(self.version.0.saturating_sub(offset as u64)))
    }

    /// Whether the head still knows which apply was accepted as `version`.
    ///
    /// ```
    /// # use verbenaspool_coordination::{head::Head, piece::Hash};
    /// # use verbenaspool_state::version::Version;
    /// let head = Head::first("apply-1", Hash::of(b"root"));
    /// assert!(head.remembers(Version(1)));
    /// ```
    #[must_use]
    pub fn remembers(&self, version: Version) -> bool {
        let oldest = self
            .version
            .0
            .saturating_sub(self.previous_applies.len() as u64);
        (oldest..=self.version.0).contains(&version.0)
    }

    /// The head as stored.
    ///
    /// # Panics
    /// Never: a head holds nothing that JSON can't say.
    ///
    /// ```
    /// # use verbenaspool_coordination::{head::Head, piece::Hash};
    /// assert!(Head::first("apply-1", Hash::of(b"root")).to_bytes().len() < 1_000);
    /// ```
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head is written as JSON")
    }

    /// Reads a stored head; `None` if it is garbled.
    ///
    /// ```
    /// # use verbenaspool_coordination::head::Head;
    /// assert_eq!(Head::from_bytes(b"garbage"), None);
    /// ```
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let head: Self = serde_json::from_slice(bytes).ok()?;
        head.is_valid().then_some(head)
    }

    /// Whether the seal fits, for a head that came by another way than [`Head::from_bytes`].
    ///
    /// ```
    /// # use verbenaspool_coordination::{head::Head, piece::Hash};
    /// let mut head = Head::first("apply-1", Hash::of(b"root"));
    /// head.version.0 = 9;
    /// assert!(!head.is_valid());
    /// ```
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.checksum == checksum(self.version, &self.apply, self.root, &self.previous_applies)
    }

    /// A head with its seal.
    fn with_checksum(
        version: Version,
        apply: &str,
        root: Hash,
        previous_applies: Vec<String>,
    ) -> Self {
        Self {
            checksum: checksum(version, apply, root, &previous_applies),
            version,
            apply: apply.to_owned(),
            root,
            previous_applies,
        }
    }
}

/// The hash of a head's content.
fn checksum(version: Version, apply: &str, root: Hash, previous_applies: &[String]) -> Hash {
    let text = format!("{version} {apply} {root} {}", previous_applies.join(" "));
    Hash::of(text.as_bytes())
}
