//! The head of a firm's configuration: the object that names the accepted file.

use serde::{Deserialize, Serialize};
use verbenaspool_state::version::Version;

use crate::piece::Hash;

/// Number of previous applies that a head lists. An operator whose response was lost
/// can still resolve the apply as long as no more than this many were accepted since;
/// resolving takes milliseconds, so 8 is ample.
const MAX_PREVIOUS_APPLIES: usize = 8;

/// The accepted configuration. A file is accepted exactly when the compare-and-swap
/// that writes its head takes effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Version of the configuration, one above that of the previous head.
    pub version: Version,
    /// Id of the apply that wrote this head.
    pub apply: String,
    /// Hash of the file's root piece.
    pub root: Hash,
    /// Ids of the previous applies, newest first; their versions count down from this
    /// head's version.
    #[serde(rename = "before")]
    pub previous_applies: Vec<String>,
    /// Hash of all other fields, which detects a corrupt head.
    #[serde(rename = "seal")]
    checksum: Hash,
}

impl Head {
    /// Creates the first head of a firm.
    ///
    /// ```
    /// use verbenaspool_coordination::{head::Head, piece::Hash};
    ///
    /// let head = Head::first("apply-1", Hash::of(b"root"));
    /// assert_eq!(Head::from_bytes(&head.to_bytes()), Some(head));
    /// ```
    #[must_use]
    pub fn first(apply: &str, root: Hash) -> Self {
        Self::after(Version(0), apply, root)
    }

    /// Creates a head above a version whose head isn't known. It lists no previous applies.
    ///
    /// ```
    /// use verbenaspool_coordination::{head::Head, piece::Hash};
    /// use verbenaspool_state::version::Version;
    ///
    /// let head = Head::after(Version(7), "apply-1", Hash::of(b"root"));
    /// assert_eq!(head.version, Version(8));
    /// ```
    #[must_use]
    pub fn after(version: Version, apply: &str, root: Hash) -> Self {
        Self::with_checksum(version.next(), apply, root, Vec::new())
    }

    /// Creates the successor of this head.
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

    /// Returns the version under which an apply was accepted, if this head still lists
    /// it.
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

    /// Whether this head still lists the apply that was accepted as `version`.
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

    /// Serializes the head for storage.
    ///
    /// # Panics
    /// Never: every field can be represented in JSON.
    ///
    /// ```
    /// # use verbenaspool_coordination::{head::Head, piece::Hash};
    /// assert!(Head::first("apply-1", Hash::of(b"root")).to_bytes().len() < 1_000);
    /// ```
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head serializes to JSON")
    }

    /// Parses a stored head; returns `None` if it is corrupt.
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

    /// Whether the checksum matches, for a head that wasn't parsed by
    /// [`Head::from_bytes`].
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

    /// Creates a head and computes its checksum.
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

/// Computes the checksum of a head's fields.
fn checksum(version: Version, apply: &str, root: Hash, previous_applies: &[String]) -> Hash {
    let text = format!("{version} {apply} {root} {}", previous_applies.join(" "));
    Hash::of(text.as_bytes())
}
