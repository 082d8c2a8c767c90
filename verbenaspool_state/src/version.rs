//! The version of a firm's configuration.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A firm's configuration version. Versions count up by one with each accepted
/// file and are never used twice; zero means that nothing was accepted yet.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version that the next accepted file gets.
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
