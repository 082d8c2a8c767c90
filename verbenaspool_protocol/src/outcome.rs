//! What became of a request, as far as it can be known.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran, and the answer is its own and whole.
    Ran,
    /// The request did not run and never will; it is safe to repeat.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// The outcome as its header says it.
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

    /// Reads the header's text; anything else is [`Outcome::Unknown`], since
    /// only a plain word may promise that a request did not run.
    ///
    /// ```
    /// use verbenaspool_protocol::outcome::Outcome;
    ///
    /// assert_eq!(Outcome::read(Some("ran")), Outcome::Ran);
    /// assert_eq!(Outcome::read(None), Outcome::Unknown);
    /// ```
    #[must_use]
    pub fn read(text: Option<&str>) -> Self {
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
