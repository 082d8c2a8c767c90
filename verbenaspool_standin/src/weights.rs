//! A stand-in for the weight store, which serves loads one after the other at a fixed rate.
//! Tests can slow it down or have it reject loads.

use std::time::Duration;

/// The stand-in for the weight store.
#[derive(Debug)]
pub struct Store {
    bytes_per_second: u64,
    /// When all loads requested so far are complete.
    busy_until: Duration,
    /// Whether all loads are rejected.
    rejecting: bool,
    bytes_sent: u64,
}

impl Store {
    /// Creates a store that sends at the given rate.
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

    /// Sets the rate of later loads.
    pub fn set_rate(&mut self, bytes_per_second: u64) {
        self.bytes_per_second = bytes_per_second;
    }

    /// Sets whether later loads are rejected.
    pub fn set_rejecting(&mut self, rejecting: bool) {
        self.rejecting = rejecting;
    }

    /// Returns the number of bytes of all loads accepted so far.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Requests a load and returns the time at which it will be complete.
    ///
    /// # Errors
    ///
    /// [`Rejected`] while the store is set to reject loads.
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

/// The weight store rejected a load.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the weight store refuses loads")]
pub struct Rejected;
