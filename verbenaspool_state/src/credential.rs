//! Credentials of customers, which the file contains only as digests, and of the processes
//! of verbenaspool for access to the platform.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Prefix of a digest's text form.
const PREFIX: &str = "sha256:";

/// The SHA-256 digest of a credential, written `sha256:` and 64 hex digits.
///
/// An unsalted digest suffices because credentials are long random tokens, which can't be
/// found by a dictionary attack as passwords can.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a credential as callers send it.
    ///
    /// ```
    /// use verbenaspool_state::credential::Digest;
    ///
    /// let digest = Digest::of("a-long-random-token");
    /// assert_eq!(digest.to_string().parse(), Ok(digest));
    /// ```
    #[must_use]
    pub fn of(credential: &str) -> Self {
        Self(Sha256::digest(credential.as_bytes()).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl std::str::FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.strip_prefix(PREFIX).ok_or(Error)?;
        if digits.len() != 64 || !digits.is_ascii() {
            return Err(Error);
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&digits[2 * i..2 * i + 2], 16).map_err(|_| Error)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

/// A token that authorizes a process to access the platform.
///
/// Its `Debug` form hides the token. Logs and panic messages contain the `Debug` form of
/// settings, and with the token, anyone who reads them could change the firm's configuration.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(String);

impl Token {
    /// The token as text.
    ///
    /// ```
    /// use verbenaspool_state::credential::Token;
    ///
    /// let token = Token::from("a-long-random-token".to_owned());
    /// assert_eq!(token.reveal(), "a-long-random-token");
    /// assert_eq!(format!("{token:?}"), "Token(..)");
    /// ```
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl From<String> for Token {
    fn from(token: String) -> Self {
        Self(token)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// The text is not a digest.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("a credential must be given as 'sha256:' and 64 hex digits, never in plain text")]
pub struct Error;
