//! The version of a firm's configuration.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The version of a firm's configuration. It increases by one with each accepted file and is
/// never reused; 0 means that no file has been accepted yet.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version of the next accepted file.
    ///
    /// ```
    /// use verbenaspool_state::version::Version;
    ///
    /// assert_eq!(Version(6).next(), Version(7));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
