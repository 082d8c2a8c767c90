//! A stand-in for the weight store: it serves one load after the other at a
//! fixed rate, and may be slow or refuse.

use std::time::Duration;

/// The weight store.
#[derive(Debug)]
pub struct Store {
    /// How many bytes it sends a second.
    rate: u64,
    /// When it is through with all that was asked so far.
    free: Duration,
    /// Whether it refuses everything.
    refusing: bool,
    /// The bytes sent so far.
    sent: u64,
}

impl Store {
    /// A store that sends so many bytes a second.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_standin::weights::{Refused, Store};
    ///
    /// let mut store = Store::new(1_000);
    /// assert_eq!(store.load(Duration::ZERO, 500), Ok(Duration::from_millis(500)));
    /// assert_eq!(store.load(Duration::ZERO, 500), Ok(Duration::from_secs(1)));
    /// store.refuse(true);
    /// assert_eq!(store.load(Duration::ZERO, 500), Err(Refused));
    /// ```
    #[must_use]
    pub fn new(rate: u64) -> Self {
        Self {
            rate,
            free: Duration::ZERO,
            refusing: false,
            sent: 0,
        }
    }

    /// Sets how many bytes it sends a second.
    pub fn limit(&mut self, rate: u64) {
        self.rate = rate;
    }

    /// Has it refuse everything, or serve again.
    pub fn refuse(&mut self, refusing: bool) {
        self.refusing = refusing;
    }

    /// The bytes sent so far.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Asks for so many bytes and returns when they will have come.
    ///
    /// # Errors
    ///
    /// [`Refused`], while it is told to refuse.
    pub fn load(&mut self, now: Duration, bytes: u64) -> Result<Duration, Refused> {
        if self.refusing {
            return Err(Refused);
        }
        let nanos = u128::from(bytes) * 1_000_000_000 / u128::from(self.rate.max(1));
        let nanos = u64::try_from(nanos).unwrap_or(u64::MAX);
        self.free = self.free.max(now) + Duration::from_nanos(nanos);
        self.sent += bytes;
        Ok(self.free)
    }
}

/// The weight store refused.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the weight store refuses loads")]
pub struct Refused;
