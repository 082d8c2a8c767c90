//! A stand-in for the weight store: it serves one load after the other at a
//! fixed rate, and may be slow or refuse.

use std::time::Duration;

/// The weight store.
#[derive(Debug)]
pub struct Store {
    /// How many bytes it sends a second.
    bytes_per_second: u64,
    /// When it is through with all that was asked so far.
    busy_until: Duration,
    /// Whether it refuses everything.
    rejecting: bool,
    /// The bytes sent so far.
    bytes_sent: u64,
}

impl Store {
    /// A store that sends so many bytes a second.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_standin::weights::{Rejected, Store};
    ///
    /// let mut store = Store::new(1_000);
    /// assert_eq!(store.load(Duration::ZERO, 500), Ok(Duration::from_millis(500)));
    /// assert_eq!(store.load(Duration::ZERO, 500), Ok(Duration::from_secs(1)));
    /// store.set_rejecting(true);
    /// assert_eq!(store.load(Duration::ZERO, 500), Err(Rejected));
    /// ```
    #[must_use]
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second,
            busy_until: Duration::ZERO,
            rejecting: false,
            bytes_sent: 0,
        }
    }

    /// Sets how many bytes it sends a second.
    pub fn set_rate(&mut self, bytes_per_second: u64) {
        self.bytes_per_second = bytes_per_second;
    }

    /// Has it refuse everything, or serve again.
    pub fn set_rejecting(&mut self, rejecting: bool) {
        self.rejecting = rejecting;
    }

    /// The bytes sent so far.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Asks for so many bytes and returns when they will have come.
    ///
    /// # Errors
    ///
    /// [`Rejected`], while it is told to refuse.
    pub fn load(&mut self, now: Duration, bytes: u64) -> Result<Duration, Rejected> {
        if self.rejecting {
            return Err(Rejected);
        }
        let nanos = u128::from(bytes) * 1_000_000_000 / u128::from(self.bytes_per_second.max(1));
        let nanos = u64::try_from(nanos).unwrap_or(u64::MAX);
        self.busy_until = self.busy_until.max(now) + Duration::from_nanos(nanos);
        self.bytes_sent += bytes;
        Ok(self.busy_until)
    }
}

/// The weight store refused.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the weight store refuses loads")]
pub struct Rejected;
