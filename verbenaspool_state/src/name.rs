//! Validated names of firms, zones, customers, services and upstreams.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes, which keeps keys and headers short.
pub const MAX_BYTES: usize = 63;

/// A name of lowercase letters, digits and inner dashes, at most [`MAX_BYTES`]
/// bytes, cheap to clone.
///
/// ```
/// use verbenaspool_state::name::Name;
///
/// let name: Name = "loft-assistant".parse()?;
/// assert_eq!(name.as_str(), "loft-assistant");
/// assert!("Loft assistant".parse::<Name>().is_err());
/// # Ok::<(), verbenaspool_state::name::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    ///
    /// ```
    /// # use verbenaspool_state::name::Name;
    /// assert_eq!("bowen".parse::<Name>().unwrap().as_str(), "bowen");
    /// ```
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::str::FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.is_empty() {
            return Err(Error::Empty);
        }
        if text.len() > MAX_BYTES {
            return Err(Error::TooLong { bytes: text.len() });
        }
        if text.starts_with('-') || text.ends_with('-') {
            return Err(Error::Dash(text.to_owned()));
        }
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        match text.chars().find(|&c| !allowed(c)) {
            Some(character) => Err(Error::Character {
                name: text.to_owned(),
                character,
            }),
            None => Ok(Self(text.into())),
        }
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().to_owned()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Why a text is not a name.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is over [`MAX_BYTES`] bytes.
    #[error("a name must have at most {MAX_BYTES} bytes, not {bytes}")]
    TooLong {
        /// The text's length in bytes.
        bytes: usize,
    },
    /// The text starts or ends with a dash.
    #[error("the name '{0}' must not start or end with a dash")]
    Dash(String),
    /// The text contains a character that isn't allowed in names.
    #[error("the name '{name}' contains '{character}'; use lowercase letters, digits and dashes")]
    Character {
        /// The invalid text.
        name: String,
        /// Its first invalid character.
        character: char,
    },
}
