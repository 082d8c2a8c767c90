//! Reads the settings of a process from YAML.

use std::{
    fmt,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;

/// An error in a settings file, with its location.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// Path of the settings file.
    pub path: PathBuf,
    /// Line number, starting at 1, if the parser reports one.
    pub line: Option<usize>,
    /// The key and what is wrong with its value.
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
/// The file can't be read, isn't valid YAML, or contains an unknown key or an
/// invalid value.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| Error {
        path: path.to_owned(),
        line: None,
        reason: error.to_string(),
    })?;
    parse(path, &text)
}

/// Parses settings; `path` is only used in error messages.
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
/// let error = settings::parse::<Settings>(path, "drain_ms: 1\nlisten: here\n").unwrap_err();
/// assert_eq!(error.line, Some(2));
/// assert!(error.reason.contains("unknown field `listen`"));
/// ```
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, Error> {
    serde_norway::from_str(text).map_err(|error| Error {
        path: path.to_owned(),
        line: error.location().map(|location| location.line()),
        reason: message_without_location(&error),
    })
}

/// The error's text without its location, which [`Error`] holds separately.
fn message_without_location(error: &serde_norway::Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}
