//! `verbenaspool apply`: has a file accepted, whole or not at all.

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

/// What an operator asks for.
#[derive(Debug, Clone)]
pub struct Options {
    /// The version that the file is to replace, if it has to be a certain one.
    pub expected_version: Option<Version>,
    /// The apply's id; a fresh one if none is given. An apply whose fate is
    /// unknown is settled by another one under the same id.
    pub id: Option<String>,
    /// How long to go on trying.
    pub timeout: Duration,
}

/// What became of an apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Result {
    /// The file is accepted.
    Accepted {
        /// The apply's id.
        id: String,
        /// The version that it got.
        version: Version,
    },
    /// The file is accepted already.
    Unchanged {
        /// The version that it has.
        version: Version,
    },
    /// Another apply came first; nothing of this one is in force.
    Conflict {
        /// The version that this apply was made for.
        expected: Version,
        /// The version that stands.
        current: Version,
    },
    /// Nothing of the file is in force, and nothing will be.
    Failed {
        /// Why.
        why: String,
    },
    /// The file may be accepted.
    Unknown {
        /// The id to apply it again under.
        id: String,
        /// Why.
        why: String,
    },
}

impl Result {
    /// The result as an operator reads it.
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
            Self::Unchanged { version } => format!("version {version} is the same file already"),
            Self::Conflict { expected, current } => format!(
                "conflict: made for version {expected}, but version {current} is accepted by now; \
                 nothing of this file is in force"
            ),
            Self::Failed { why } => {
                format!("not accepted: {why}; nothing of this file is in force")
            }
            Self::Unknown { id, why } => format!(
                "it isn't known whether the file is accepted: {why}; apply it again with --id {id}"
            ),
        }
    }
}

/// Applies a file.
///
/// # Errors
/// When the settings or the file can't be taken, before anything was sent.
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

/// An outcome as it is reported.
fn result(id: String, outcome: Outcome) -> Result {
    match outcome {
        Outcome::Accepted { version, .. } => Result::Accepted { id, version },
        Outcome::Unchanged(version) => Result::Unchanged { version },
        Outcome::Conflict { expected, current } => Result::Conflict { expected, current },
        Outcome::Failed(why) => Result::Failed { why },
        Outcome::Unknown(why) => Result::Unknown { id, why },
    }
}
