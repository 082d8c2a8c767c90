//! Credentials: customers', which the file holds only as digests, and those of
//! our processes towards the platform.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// What a digest's text starts with.
const PREFIX: &str = "sha256:";

/// The SHA-256 digest of a credential, written `sha256:` and 64 hex digits.
///
/// A plain digest suffices because credentials are long random tokens: there is
/// no dictionary to try, as there would be with passwords.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// The digest of a credential as the caller presents it.
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

/// A token that opens the platform to a process.
///
/// Settings end up in logs and panics by their `Debug` form, and a token there
/// would let whoever reads the log change the firm's configuration. So it shows
/// itself only when asked for.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(String);

impl Token {
    /// The token itself.
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

/// The text is no digest.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("a credential is kept as 'sha256:' and 64 hex digits, never as itself")]
pub struct Error;
