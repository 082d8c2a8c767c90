//! Which upstreams are slow or failing beside their peers.
//!
//! Load: one upstream that runs several times slower than the others, or fails
//! everything fast. Least-loaded choice sends such an upstream more and more: it
//! fails at once and so always looks idle.
//!
//! An upstream is ejected when its pace is a set multiple of the peers' median,
//! or after a run of failures. Never more than a set share is out: when all are
//! bad the cause is elsewhere, and sending everything to the few left would only
//! break those too. Time out doubles with each ejection in a row, and on return
//! an upstream's limit starts over from one attempt.

use std::time::Duration;

/// Attempts a pace must rest on before it is compared; fewer would eject on chance.
const MIN_ATTEMPTS: f64 = 4.0;
/// Failures in a row that eject. Three in a row are chance once in a thousand
/// where one in ten fails.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// The first time out: long enough for a stall or restart to pass.
const BASE_EJECTION: Duration = Duration::from_secs(5);
/// Doublings of the time out at most, to about a minute and a half.
const MAX_DOUBLINGS: u32 = 4;
/// The longest time out. A clock that jumps back would make one longer; such a
/// time out is void.
const MAX_EJECTION: Duration = BASE_EJECTION.saturating_mul(2_u32.pow(MAX_DOUBLINGS));
/// Time without ejection after which the next one starts with [`BASE_EJECTION`] again.
const EJECTION_BACKOFF_RESET: Duration = Duration::from_mins(1);

/// One upstream's record.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Failures in a row.
    consecutive_failures: u32,
    /// Ejections in a row.
    consecutive_ejections: u32,
    /// Until when it is out; past when it is in.
    ejected_until: Duration,
}

impl Health {
    /// Whether the upstream is out.
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

    /// Whether the record is bad: failing, or `factor` times slower than the
    /// peers' median on enough attempts.
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

    /// Takes the upstream out for a while.
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
