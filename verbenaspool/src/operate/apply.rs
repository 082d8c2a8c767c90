//! `verbenaspool apply`: applies a firm's file atomically.

use std::{path::Path, time::Duration};

use rand::Rng;
use serde::Serialize;
use verbenaspool_coordination::{
    apply::{Outcome, Request},
    piece,
};
use verbenaspool_state::{check::Problem, version::Version};
use verbenaspool_transport::{config, platform::client::Client, runtime, settings};

use super::{Error, Settings, check};

/// Options of an apply.
#[derive(Debug, Clone)]
pub struct Options {
    /// The accepted version that the file must replace, if given.
    pub expected_version: Option<Version>,
    /// The id of the apply; a random one is generated if none is given. Repeating an
    /// apply with the same id resolves an unknown outcome.
    pub id: Option<String>,
    /// How long to retry.
    pub timeout: Duration,
}

/// The result of an apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Result {
    /// The file was accepted.
    Accepted {
        /// The apply's id.
        id: String,
        /// The version that it was assigned.
        version: Version,
    },
    /// The accepted version already has the same content.
    Unchanged {
        /// The accepted version.
        version: Version,
    },
    /// Another apply was accepted first; this file was not applied.
    Conflict {
        /// The version that this apply expected.
        expected: Version,
        /// The accepted version.
        current: Version,
    },
    /// The file was not applied, and won't be.
    Failed {
        /// The cause.
        why: String,
    },
    /// The file may have been accepted.
    Unknown {
        /// The id with which to repeat the apply.
        id: String,
        /// The cause.
        why: String,
    },
}

impl Result {
    /// Formats the result for an operator.
    ///
    /// ```
    /// use verbenaspool::operate::apply::Result;
    /// use verbenaspool_state::version::Version;
    ///
    /// let (expected, current) = (Version(6), Version(7));
    /// let text = Result::Conflict { expected, current }.text();
    /// assert!(text.contains("version 6") && text.contains("version 7"));
    /// ```
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Self::Accepted { id, version } => format!("accepted as version {version} (apply {id})"),
            Self::Unchanged { version } => {
                format!("unchanged: version {version} has the same content")
            }
            Self::Conflict { expected, current } => format!(
                "conflict: expected version {expected}, but version {current} is accepted; \
                 the file was not applied"
            ),
            Self::Failed { why } => {
                format!("not accepted: {why}; the file was not applied")
            }
            Self::Unknown { id, why } => format!(
                "unknown whether the file was accepted: {why}; repeat the apply with --id {id}"
            ),
        }
    }
}

/// Applies a file.
///
/// # Errors
/// The settings or the file are invalid, or the event loop can't start. Nothing has been
/// sent to the platform then.
///
/// ```no_run
/// use std::{path::Path, time::Duration};
/// use verbenaspool::operate::apply::{self, Options};
///
/// let options = Options { expected_version: None, id: None, timeout: Duration::from_secs(20) };
/// let result = apply::main(Path::new("operator.yaml"), Path::new("quetzal.yaml"), options);
/// println!("{}", result.unwrap().text());
/// ```
pub fn main(settings: &Path, path: &Path, options: Options) -> std::result::Result<Result, Error> {
    let settings: Settings = settings::load(settings)?;
    let file = check(path)?;
    if file.firm != settings.firm {
        return Err(Error::FirmMismatch {
            file: file.firm,
            settings: settings.firm,
        });
    }
    let split = piece::split(&file).map_err(|e| Error::Problems {
        path: path.to_owned(),
        problems: vec![Problem {
            path: String::new(),
            line: None,
            text: e.to_string(),
        }],
    })?;
    let seed = rand::rng().random();
    let id = options.id.unwrap_or_else(|| format!("{seed:016x}"));
    let request = Request {
        firm: settings.firm.clone(),
        id: id.clone(),
        expected_version: options.expected_version,
        split,
    };
    let outcome = runtime::run(async {
        let store = Client::new(settings.platform.client());
        config::apply(&store, request, options.timeout, seed).await
    });
    Ok(result(id, outcome.map_err(Error::Runtime)?))
}

/// Converts an outcome to the reported result.
fn result(id: String, outcome: Outcome) -> Result {
    match outcome {
        Outcome::Accepted { version, .. } => Result::Accepted { id, version },
        Outcome::Unchanged(version) => Result::Unchanged { version },
        Outcome::Conflict { expected, current } => Result::Conflict { expected, current },
        Outcome::Failed(why) => Result::Failed { why },
        Outcome::Unknown(why) => Result::Unknown { id, why },
    }
}
