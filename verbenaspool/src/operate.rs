//! The operators' commands: checking and applying a firm's file, reading status.

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
    #[error("{}", format_problems(path, problems))]
    Problems {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        problems: Vec<Problem>,
    },
    /// The file is another firm's than the settings.
    #[error("the file is {file}'s, the settings are {settings}'s")]
    FirmMismatch {
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
    Runtime(io::Error),
}

/// What a file on the direct path holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectFile {
    /// The settings of an entry of this name.
    Settings(String),
    /// A configuration, as the platform holds it: its version and routes.
    Configuration(u64, usize),
}

/// Reads a file of the direct path; nothing, where it isn't one.
///
/// # Errors
/// It is one, and can't be taken.
///
/// ```no_run
/// use std::path::Path;
///
/// let read = verbenaspool::operate::check_direct(Path::new("entry.yaml")).unwrap();
/// ```
pub fn check_direct(path: &Path) -> Result<Option<DirectFile>, String> {
    let Ok(text) = fs::read_to_string(path) else {
        // Whoever reads it as a firm's file tells why it can't be read.
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

/// One problem a line, each with its file.
fn format_problems(path: &Path, problems: &[Problem]) -> String {
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
