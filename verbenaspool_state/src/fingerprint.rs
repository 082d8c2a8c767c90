//! Identifies a request, or a part of its prompt, by its content across attempts, callers' retries
//! and entries.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Length of a fingerprint, sufficient for collision resistance.
const LENGTH_BYTES: usize = 16;

/// The domains of fingerprints. No length of a text has these values, so that a request can't have
/// the fingerprint of a part.
const PART_DOMAIN: u64 = u64::MAX;
const CUSTOMER_DOMAIN: u64 = u64::MAX - 1;

/// A digest of a request's content, which is the same for all attempts at it, or of a part of its
/// prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; LENGTH_BYTES]);

/// Why a text is not a fingerprint.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It has the wrong length.
    #[error("a fingerprint has {expected} hexadecimal digits, not {length}", expected = 2 * LENGTH_BYTES)]
    Length {
        /// Its length in bytes.
        length: usize,
    },
    /// It contains characters other than hexadecimal digits.
    #[error("a fingerprint consists of hexadecimal digits")]
    Digit,
}

impl Fingerprint {
    /// Computes the fingerprint of a request from its customer, path with query, and body.
    ///
    /// ```
    /// use verbenaspool_state::fingerprint::Fingerprint;
    ///
    /// let request = Fingerprint::of(Some("loft"), "/quotes/", b"mesh");
    /// assert_eq!(request, Fingerprint::of(Some("loft"), "/quotes/", b"mesh"));
    /// assert_ne!(request, Fingerprint::of(Some("fair"), "/quotes/", b"mesh"));
    /// ```
    #[must_use]
    pub fn of(customer: Option<&str>, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [customer.unwrap_or_default().as_bytes(), path.as_bytes()] {
            // The lengths make the concatenation unambiguous.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        Self::truncated(&hasher)
    }

    /// Computes the fingerprint of a part of prompts at a service.
    ///
    /// ```
    /// use verbenaspool_state::fingerprint::Fingerprint;
    ///
    /// let part = Fingerprint::of_part("model", b"5c1e07a2");
    /// assert_eq!(part, Fingerprint::of_part("model", b"5c1e07a2"));
    /// assert_ne!(part, Fingerprint::of_part("other", b"5c1e07a2"));
    /// ```
    #[must_use]
    pub fn of_part(service: &str, part: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&PART_DOMAIN.to_le_bytes());
        hasher.update(&(service.len() as u64).to_le_bytes());
        hasher.update(service.as_bytes());
        hasher.update(part);
        Self::truncated(&hasher)
    }

    /// Computes the fingerprint of a part in the prompts of one customer, given by a hash.
    ///
    /// ```
    /// use verbenaspool_state::fingerprint::Fingerprint;
    ///
    /// let part = Fingerprint::of_part("model", b"5c1e07a2");
    /// assert_ne!(part.of_customer(1), part);
    /// assert_ne!(part.of_customer(1), part.of_customer(2));
    /// ```
    #[must_use]
    pub fn of_customer(self, customer: u32) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&CUSTOMER_DOMAIN.to_le_bytes());
        hasher.update(&self.0);
        hasher.update(&customer.to_le_bytes());
        Self::truncated(&hasher)
    }

    /// The first bytes of a digest.
    fn truncated(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; LENGTH_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..LENGTH_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for Fingerprint {
    type Err = Error;

    /// Parses the form that [`fmt::Display`] writes.
    ///
    /// ```
    /// use verbenaspool_state::fingerprint::Fingerprint;
    ///
    /// let request = Fingerprint::of(None, "/", b"");
    /// assert_eq!(request.to_string().parse::<Fingerprint>().unwrap(), request);
    /// assert!("12".parse::<Fingerprint>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Error> {
        let length = text.len();
        if length != 2 * LENGTH_BYTES {
            return Err(Error::Length { length });
        }
        if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(Error::Digit);
        }
        let mut bytes = [0; LENGTH_BYTES];
        for (byte, at) in bytes.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&text[at..at + 2], 16).map_err(|_| Error::Digit)?;
        }
        Ok(Self(bytes))
    }
}
