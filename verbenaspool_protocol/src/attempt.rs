//! Unique ids of attempts at requests.

use std::fmt;

use serde::{Deserialize, Serialize};

use verbenaspool_coordination::attempt::Key;

/// The id of an attempt. A retry of the same request is another attempt.
///
/// The incarnation is chosen at random when an entry process starts, so that a
/// restarted process doesn't reuse the ids of its predecessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Id {
    /// The entry process that sent the attempt.
    pub incarnation: u64,
    /// Sequence number of the attempt in that process, starting at 1.
    pub counter: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation, self.counter)
    }
}

impl std::str::FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (incarnation, counter) = text.split_once('-').ok_or(Error)?;
        Ok(Self {
            incarnation: u64::from_str_radix(incarnation, 16).map_err(|_| Error)?,
            counter: counter.parse().map_err(|_| Error)?,
        })
    }
}

impl TryFrom<String> for Id {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.to_string()
    }
}

impl From<Id> for Key {
    fn from(id: Id) -> Self {
        Self {
            entry: id.incarnation,
            counter: id.counter,
        }
    }
}

/// The text is not an attempt id.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("an attempt id is 16 hex digits, a dash and a number")]
pub struct Error;
