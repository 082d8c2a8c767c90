//! Whether a request was executed, as far as it is known.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was executed, and its answer is complete.
    Ran,
    /// The request was not executed and never will be, so it is safe to retry.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

impl Outcome {
    /// The value of the outcome header.
    ///
    /// ```
    /// use verbenaspool_protocol::outcome::Outcome;
    ///
    /// assert_eq!(Outcome::NotRun.as_str(), "not-run");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the value of the outcome header. A missing or unexpected value is
    /// [`Outcome::Unknown`], since only an explicit `not-run` guarantees that a retry is safe.
    ///
    /// ```
    /// use verbenaspool_protocol::outcome::Outcome;
    ///
    /// assert_eq!(Outcome::from_header(Some("ran")), Outcome::Ran);
    /// assert_eq!(Outcome::from_header(None), Outcome::Unknown);
    /// ```
    #[must_use]
    pub fn from_header(text: Option<&str>) -> Self {
        match text {
            Some("ran") => Self::Ran,
            Some("not-run") => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
