//! The operators' commands: checking and applying a firm's file, reading status.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use verbenaspool_state::{check::Problem, file::File, name::Name};
use verbenaspool_transport::{platform, settings};

use crate::settings::Platform;

pub mod apply;
pub mod explain;
pub mod status;

/// The settings of the operators' commands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The firm.
    pub firm: Name,
    /// The platform's object API.
    pub platform: Platform,
}

/// Why a command did nothing, or can't tell what it did.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings can't be taken.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The file can't be read from the disk.
    #[error("{path}: {cause}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        cause: io::Error,
    },
    /// The file has problems.
    #[error("{}", list(path, problems))]
    Problems {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        problems: Vec<Problem>,
    },
    /// The file is another firm's than the settings.
    #[error("the file is {file}'s, the settings are {settings}'s")]
    Firm {
        /// The firm that the file names.
        file: Name,
        /// The firm that the settings name.
        settings: Name,
    },
    /// The platform gave no answer.
    #[error("{0}")]
    Platform(#[from] platform::Error),
    /// The loop can't start.
    #[error("the loop can't start: {0}")]
    Loop(io::Error),
}

/// One problem a line, each with its file.
fn list(path: &Path, problems: &[Problem]) -> String {
    let path = path.display();
    let lines: Vec<String> = problems.iter().map(|p| format!("{path}: {p}")).collect();
    lines.join("\n")
}

/// Reads and checks a firm's file.
///
/// # Errors
/// When the file can't be read or has problems, all of which are told.
///
/// ```no_run
/// use std::path::Path;
///
/// let file = verbenaspool::operate::check(Path::new("examples/quetzal.yaml")).unwrap();
/// println!("{} customers", file.customers.len());
/// ```
pub fn check(path: &Path) -> Result<File, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::Read {
        path: path.to_owned(),
        cause,
    })?;
    File::read(&text).map_err(|problems| Error::Problems {
        path: path.to_owned(),
        problems,
    })
}
