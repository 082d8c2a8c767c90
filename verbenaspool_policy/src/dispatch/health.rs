//! Whether an upstream is worth sending to, by what it answered.
//!
//! Load: an upstream that fails fast looks idle, so the least busy one is the
//! broken one, and it gets more and more. One that fell silent keeps whatever
//! it is sent. Both are left alone for a while, longer each time in a row, and
//! are tried again after that. Health checks cost the upstream a slot and may be
//! false, so answers alone decide.

use std::time::Duration;

use super::AttemptOutcome;

/// How long an upstream is left alone at first: a restart takes longer, but a
/// full queue is over sooner.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(400);

/// Doublings of that at most, to about six seconds: callers' time budgets are
/// about as long, and an upstream that is back should be found within one.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// The weight of the newest answer in the part of answers that were good.
const NEWEST_WEIGHT: f64 = 0.2;

/// What a failing part adds to the cost of sending: an upstream that fails half
/// of its requests ranks behind one with all slots taken twice.
const FAILURE_PENALTY: f64 = 4.0;

/// The failing part beyond which an upstream is left alone. A service whose
/// requests fail by themselves once in seven must not lose all its upstreams.
const MAX_FAILURE_RATIO: f64 = 0.5;

/// One upstream's record.
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamHealth {
    /// The part of answers that were bad, newer ones weighing more.
    failure_ratio: f64,
    /// RetryDetector in a row that it was left alone.
    consecutive_ejections: u32,
    /// Until when it is left alone.
    ejected_until: Duration,
}

impl UpstreamHealth {
    /// What distrust adds to the cost of sending; nothing while it is left alone.
    #[must_use]
    pub fn cost(&self, now: Duration) -> Option<f64> {
        (now >= self.ejected_until).then_some(self.failure_ratio * FAILURE_PENALTY)
    }

    /// Learns from how a sending ended.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::{AttemptOutcome, health::UpstreamHealth};
    ///
    /// let mut health = UpstreamHealth::default();
    /// health.record(Duration::ZERO, AttemptOutcome::Silent);
    /// assert_eq!(health.cost(Duration::from_millis(10)), None);
    /// assert!(health.cost(Duration::from_secs(1)).is_some());
    /// ```
    pub fn record(&mut self, now: Duration, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Good => {
                self.failure_ratio *= 1.0 - NEWEST_WEIGHT;
                self.consecutive_ejections = 0;
            }
            AttemptOutcome::Bad => {
                self.failure_ratio += (1.0 - self.failure_ratio) * NEWEST_WEIGHT;
                if self.failure_ratio > MAX_FAILURE_RATIO {
                    self.eject(now);
                }
            }
            AttemptOutcome::Silent | AttemptOutcome::Unreached => {
                self.failure_ratio += (1.0 - self.failure_ratio) * NEWEST_WEIGHT;
                self.eject(now);
            }
            AttemptOutcome::Full => self.eject(now),
            AttemptOutcome::Unknown => {}
        }
    }

    /// Leaves the upstream alone for a while.
    fn eject(&mut self, now: Duration) {
        if now < self.ejected_until {
            return;
        }
        self.ejected_until = now
            + BASE_EJECTION_TIME
                * 2_u32.pow(self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS));
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
    }
}
