//! Ejects failing upstreams, judging by their answers.
//!
//! An upstream that fails fast looks idle, so least-busy placement would send it more and
//! more. A stalled one never finishes what it is sent. Both are ejected for a time that
//! grows with each consecutive ejection, and are tried again after it. Health checks would
//! cost a slot and may be wrong, so only answers count.

use std::time::Duration;

use super::{AttemptOutcome, probation::Probation};

/// The first ejection time. A restart takes longer, but a full queue drains sooner.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(400);

/// The ejection time doubles at most this often, to about six seconds. Callers' time
/// budgets are about as long, and an upstream that is back should be found within one.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// The weight of the newest answer in the failure ratio.
const NEWEST_WEIGHT: f64 = 0.2;

/// The penalty for an upstream that fails everything. One that fails half of its requests
/// ranks behind one with all slots taken twice.
const FAILURE_PENALTY: f64 = 4.0;

/// An upstream with a higher failure ratio is ejected. A service of which one in seven
/// requests fails by itself must not lose all its upstreams.
const MAX_FAILURE_RATIO: f64 = 0.5;

/// Outcomes of attempts at one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// The share of failed answers, with newer ones weighing more.
    failure_ratio: f64,
    /// Number of consecutive ejections.
    consecutive_ejections: u32,
    /// The end of the current ejection.
    ejected_until: Duration,
    /// How it returns from ejections for failures, where speed is learned.
    probation: Option<Probation>,
}

impl Health {
    /// The penalty for past failures, or nothing while the upstream is ejected.
    #[must_use]
    pub fn cost(&self, now: Duration) -> Option<f64> {
        (!self.is_ejected(now)).then_some(self.penalty())
    }

    /// The penalty for past failures, also while the upstream is ejected.
    #[must_use]
    pub fn penalty(&self) -> f64 {
        self.failure_ratio * FAILURE_PENALTY
    }

    /// Whether the upstream is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        let probation = self.probation.as_ref();
        now < self.ejected_until || probation.is_some_and(|p| p.is_ejected(now))
    }

    /// How the upstream returns from ejections for failures, where speed is learned.
    #[must_use]
    pub fn probation(&self) -> Option<&Probation> {
        self.probation.as_ref()
    }

    /// Sets the most requests of this entry at an upstream that returns in steps from ejections;
    /// `None` if it returns at once.
    pub fn set_probation(&mut self, max_requests: Option<u32>) {
        let Some(max_requests) = max_requests else {
            self.probation = None;
            return;
        };
        let probation = &mut self.probation;
        probation
            .get_or_insert_with(|| Probation::new(max_requests))
            .set_max_requests(max_requests);
    }

    /// Records that a request was sent to the upstream.
    pub fn record_sent(&mut self, now: Duration) {
        if let Some(probation) = &mut self.probation {
            probation.record_sent(now);
        }
    }

    /// Records that a request that was sent to the upstream has ended.
    pub fn record_finished(&mut self) {
        if let Some(probation) = &mut self.probation {
            probation.record_finished();
        }
    }

    /// Forgets past outcomes.
    pub fn forget(&mut self) {
        let mut probation = self.probation;
        if let Some(probation) = &mut probation {
            probation.forget();
        }
        *self = Self {
            probation,
            ..Self::default()
        };
    }

    /// Records the outcome of an attempt.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::{AttemptOutcome, health::Health};
    ///
    /// let mut health = Health::default();
    /// health.record(Duration::ZERO, AttemptOutcome::Silent);
    /// assert_eq!(health.cost(Duration::from_millis(10)), None);
    /// assert!(health.cost(Duration::from_secs(1)).is_some());
    /// ```
    pub fn record(&mut self, now: Duration, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Good => {
                self.failure_ratio *= 1.0 - NEWEST_WEIGHT;
                self.consecutive_ejections = 0;
                if let Some(probation) = &mut self.probation {
                    probation.record_good(now);
                }
            }
            AttemptOutcome::Bad => {
                self.failure_ratio += (1.0 - self.failure_ratio) * NEWEST_WEIGHT;
                let is_returning = self.probation.is_some_and(|p| p.is_returning());
                if self.failure_ratio > MAX_FAILURE_RATIO || is_returning {
                    self.eject_failing(now);
                } else if let Some(probation) = &mut self.probation {
                    probation.record_failure(now);
                }
            }
            AttemptOutcome::Silent | AttemptOutcome::Unreached => {
                self.failure_ratio += (1.0 - self.failure_ratio) * NEWEST_WEIGHT;
                self.eject_failing(now);
            }
            AttemptOutcome::Full => self.eject(now),
            // The time that the upstream named applies in place of an ejection.
            AttemptOutcome::Backoff | AttemptOutcome::Unknown => {}
        }
    }

    /// Ejects the upstream because it fails.
    fn eject_failing(&mut self, now: Duration) {
        match &mut self.probation {
            Some(probation) => probation.eject(now),
            None => self.eject(now),
        }
    }

    /// Ejects the upstream, unless it is ejected already.
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
