//! Operators' commands: check and apply a firm's file, show status, explain requests.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use verbenaspool_platform::configuration;
use verbenaspool_state::{check::Problem, file::File, name::Name};
use verbenaspool_transport::{platform, settings};

use crate::{direct, settings::Platform};

pub mod apply;
pub mod entries;
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

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The file can't be read.
    #[error("{path}: {cause}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// The file is invalid.
    #[error("{}", format_problems(path, problems))]
    Problems {
        /// The file.
        path: PathBuf,
        /// All its problems.
        problems: Vec<Problem>,
    },
    /// The file and the settings name different firms.
    #[error("the file is for firm {file}, but the settings are for firm {settings}")]
    FirmMismatch {
        /// The firm that the file names.
        file: Name,
        /// The firm that the settings name.
        settings: Name,
    },
    /// A call to the platform failed.
    #[error("{0}")]
    Platform(#[from] platform::Error),
    /// The event loop can't start.
    #[error("can't start the event loop: {0}")]
    Runtime(io::Error),
}

/// The content of a file of the direct path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectFile {
    /// Settings of an entry: its name.
    Settings(String),
    /// A configuration in the platform's format: its version and number of routes.
    Configuration(u64, usize),
}

/// Reads and checks a file of the direct path; `None` if it is another file.
///
/// # Errors
/// The file belongs to the direct path and is invalid.
///
/// ```no_run
/// use std::path::Path;
///
/// let read = verbenaspool::operate::check_direct(Path::new("entry.yaml")).unwrap();
/// ```
pub fn check_direct(path: &Path) -> Result<Option<DirectFile>, String> {
    let Ok(text) = fs::read_to_string(path) else {
        // `check` then reads it as a firm's file and reports the error.
        return Ok(None);
    };
    if text.trim_start().starts_with('{') {
        let read = configuration::decode(&text);
        let table = read.map_err(|why| format!("{}: {why}", path.display()))?;
        return Ok(Some(DirectFile::Configuration(table.version, table.len())));
    }
    let is_direct = text.lines().any(|line| line.trim() == "path: direct");
    if !is_direct {
        return Ok(None);
    }
    let read = settings::parse::<direct::settings::Settings>(path, &text);
    let read = read.map_err(|why| why.to_string())?;
    Ok(Some(DirectFile::Settings(read.name)))
}

/// Formats one problem per line, each prefixed with the path of the file.
fn format_problems(path: &Path, problems: &[Problem]) -> String {
    let path = path.display();
    let lines: Vec<String> = problems.iter().map(|p| format!("{path}: {p}")).collect();
    lines.join("\n")
}

/// Reads and checks a firm's file.
///
/// # Errors
/// The file can't be read or is invalid; the error lists all problems.
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
