//! Settings of a process, read from YAML.

use std::{
    fmt,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;

/// Why settings can't be taken: where, and the reason with its key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// The file.
    pub path: PathBuf,
    /// The line, from 1, where the reader knows it.
    pub line: Option<usize>,
    /// The key and what is wrong with it.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.path.display())?;
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        write!(f, " {}", self.reason)
    }
}

/// Reads settings from a file.
///
/// # Errors
/// The file can't be read, is no YAML, names a key that the settings don't
/// have, or gives a key a value that it can't take.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| Error {
        path: path.to_owned(),
        line: None,
        reason: error.to_string(),
    })?;
    parse(path, &text)
}

/// Reads settings from text; the path is for errors alone.
///
/// # Errors
/// As for [`load`].
///
/// ```
/// use std::path::Path;
///
/// use serde::Deserialize;
/// use verbenaspool_transport::settings;
///
/// #[derive(Debug, Deserialize)]
/// #[serde(deny_unknown_fields)]
/// struct Settings {
///     drain_ms: u64,
/// }
///
/// let path = Path::new("entry.yaml");
/// let settings: Settings = settings::parse(path, "drain_ms: 500\n").unwrap();
/// assert_eq!(settings.drain_ms, 500);
///
/// let wrong = settings::parse::<Settings>(path, "drain_ms: 1\nlisten: here\n").unwrap_err();
/// assert_eq!(wrong.line, Some(2));
/// assert!(wrong.reason.contains("unknown field `listen`"));
/// ```
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, Error> {
    serde_norway::from_str(text).map_err(|error| Error {
        path: path.to_owned(),
        line: error.location().map(|location| location.line()),
        reason: reason(&error),
    })
}

/// The error's text without its place, which is told apart.
fn reason(error: &serde_norway::Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}
