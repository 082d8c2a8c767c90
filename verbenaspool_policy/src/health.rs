//! Detects upstreams that are slow or failing compared with their peers.
//!
//! Least-loaded routing sends more and more to an upstream that fails fast, as it
//! always looks idle. One that runs several times slower than its peers is a similar
//! outlier.
//!
//! An upstream is ejected when its pace exceeds a configured multiple of the peers'
//! median, or after consecutive failures. The ejected share is limited: when all
//! upstreams are bad the cause is elsewhere, and sending everything to the few left
//! would overload those too. The ejection time doubles with each consecutive ejection,
//! and afterwards the upstream's limit restarts at one attempt.

use std::time::Duration;

/// Attempts needed before a pace is compared; fewer would eject by chance.
const MIN_ATTEMPTS: f64 = 4.0;
/// Consecutive failures that eject. At a failure rate of one in ten, three in a row
/// happen by chance once in a thousand.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// The first ejection time: long enough for a stall or restart to pass.
const BASE_EJECTION: Duration = Duration::from_secs(5);
/// The most doublings of the ejection time, up to 80 s.
const MAX_DOUBLINGS: u32 = 4;
/// The longest ejection time. A clock that jumps back would make it longer; such an
/// ejection is ignored.
const MAX_EJECTION: Duration = BASE_EJECTION.saturating_mul(2_u32.pow(MAX_DOUBLINGS));
/// The time without ejection after which the next one lasts [`BASE_EJECTION`] again.
const EJECTION_BACKOFF_RESET: Duration = Duration::from_mins(1);

/// The failures and ejections of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Consecutive failures.
    consecutive_failures: u32,
    /// Consecutive ejections.
    consecutive_ejections: u32,
    /// When the ejection ends; in the past if the upstream isn't ejected.
    ejected_until: Duration,
}

impl Health {
    /// Whether the upstream is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until && self.ejected_until.saturating_sub(now) <= MAX_EJECTION
    }

    /// Records an attempt that ran.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records an attempt that failed.
    pub fn record_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Whether the upstream is failing, or slower than `factor` times the peers' median
    /// over enough attempts.
    #[must_use]
    pub fn is_outlier(
        &self,
        pace: Option<f64>,
        attempts: f64,
        median: Option<f64>,
        factor: f64,
    ) -> bool {
        let slow = match (pace, median) {
            (Some(pace), Some(median)) => attempts >= MIN_ATTEMPTS && pace > factor * median,
            _ => false,
        };
        slow || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Ejects the upstream for a time that doubles with each consecutive ejection.
    pub fn eject(&mut self, now: Duration) {
        if now > self.ejected_until.saturating_add(EJECTION_BACKOFF_RESET) {
            self.consecutive_ejections = 0;
        }
        let ejection = BASE_EJECTION * 2_u32.pow(self.consecutive_ejections.min(MAX_DOUBLINGS));
        self.ejected_until = now.saturating_add(ejection);
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
        self.consecutive_failures = 0;
    }
}
