//! Detects retried requests by their remaining deadline.
//!
//! Load: an outage or an overload, in which callers that were rejected come back. Nothing
//! else marks a retry, so a request whose caller waits for well less than most callers do
//! at first counts as one. It can't be answered in time, but most callers retry once, so
//! it should wait rather than be rejected again.
//!
//! How long callers wait at first isn't configured. It is observed while no retries are
//! due, and entries that haven't seen enough requests learn it from their peers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Ratio between neighbouring steps of the histogram.
const STEP_RATIO: f64 = 1.04;

/// Time constant by which older requests count less.
const HISTORY_TIME: Duration = Duration::from_secs(30);

/// The least share of requests with about the same time for it to be one that callers
/// give at first. A few retry at once after a failure of a plain service.
const MIN_COMMON_SHARE: f64 = 0.03;

/// Requests that a judgement rests on at least.
const MIN_SAMPLES: f64 = 50.0;

/// How long after the end of their Retry-After callers may still arrive.
const RECONNECT_TIME: Duration = Duration::from_secs(1);

/// The longest time that another entry is believed callers give.
const MAX_HINT: Duration = Duration::from_hours(1);

/// RetryDetector that one entry tells another at most.
pub const MAX_HINTS: usize = 12;

/// The times that callers of one service gave lately.
#[derive(Debug, Default)]
pub struct RetryDetector {
    /// How many gave so much, older ones weighing less.
    weights: BTreeMap<i32, f64>,
    sum: f64,
    at: Duration,
    /// Until when callers may come back that were refused.
    unsettled: Duration,
    /// What many callers give at first, as another entry says.
    hints: BTreeSet<i32>,
}

/// The step of a time.
#[allow(clippy::cast_possible_truncation)] // Logarithms of times are small.
fn step(time: Duration) -> i32 {
    (time.as_secs_f64().max(1e-3).ln() / STEP_RATIO.ln()).round() as i32
}

/// The time of a step.
fn time(step: i32) -> Duration {
    Duration::from_secs_f64(STEP_RATIO.powi(step))
}

impl RetryDetector {
    /// Takes in that a caller was refused and told to come back later.
    pub fn refused(&mut self, now: Duration, after: Duration) {
        self.unsettled = self.unsettled.max(now + after + RECONNECT_TIME);
    }

    /// Takes in a request whose caller waits so long; tells how much of its time the
    /// caller had spent before at least, nothing for one that comes for the first time.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::retry_detection::RetryDetector;
    ///
    /// let (mut times, full) = (RetryDetector::default(), Duration::from_secs(8));
    /// for request in 0..60 {
    ///     times.see(Duration::from_millis(request * 10), full);
    /// }
    /// let spent = times.see(Duration::from_secs(1), Duration::from_millis(5_500));
    /// assert!(spent > Duration::from_secs(2));
    /// ```
    pub fn see(&mut self, now: Duration, wait: Duration) -> Duration {
        let step = step(wait);
        if now >= self.unsettled {
            self.forget(now);
            *self.weights.entry(step).or_default() += 1.0;
            self.sum += 1.0;
        }
        if self.is_common(step) {
            return Duration::ZERO;
        }
        let full = if self.is_settled() {
            let mut longer = self.weights.range(step..).map(|(longer, _)| *longer);
            longer.find(|longer| self.is_common(*longer))
        } else {
            self.hints.range(step..).next().copied()
        };
        full.map_or(Duration::ZERO, |full| time(full).saturating_sub(wait))
    }

    /// Whether enough requests came to tell retries from them.
    fn is_settled(&self) -> bool {
        self.sum >= MIN_SAMPLES
    }

    /// The times that many callers give at first, for entries that know none.
    pub fn common(&self) -> impl Iterator<Item = Duration> {
        let settled = self.is_settled();
        let steps = self.weights.keys().filter(move |_| settled);
        steps
            .filter(|step| self.is_common(**step))
            .map(|step| time(*step))
            .take(MAX_HINTS)
    }

    /// Takes in the times that many callers give at first by another entry's count. They
    /// stand in for what this one hasn't seen yet.
    ///
    /// An entry that is started during an outage sees mostly retries, and can't tell them
    /// from first attempts by itself.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::retry_detection::RetryDetector;
    ///
    /// let mut times = RetryDetector::default();
    /// times.hint([Duration::from_secs(8)].into_iter());
    /// let spent = times.see(Duration::ZERO, Duration::from_millis(5_500));
    /// assert!(spent > Duration::from_secs(2));
    /// ```
    pub fn hint(&mut self, times: impl Iterator<Item = Duration>) {
        if self.is_settled() {
            return;
        }
        let sane = times.filter(|time| !time.is_zero() && *time <= MAX_HINT);
        let steps: BTreeSet<i32> = sane.take(MAX_HINTS).map(step).collect();
        if !steps.is_empty() {
            self.hints = steps;
        }
    }

    /// Whether many callers give about as much at first.
    fn is_common(&self, step: i32) -> bool {
        if !self.is_settled() {
            return self.hints.is_empty() || self.hints.range(step - 1..=step + 1).next().is_some();
        }
        let near = self.weights.range(step - 1..=step + 1);
        near.map(|(_, weight)| weight).sum::<f64>() >= MIN_COMMON_SHARE * self.sum
    }

    /// Lets older requests count less.
    fn forget(&mut self, now: Duration) {
        let age = now.saturating_sub(self.at).as_secs_f64() / HISTORY_TIME.as_secs_f64();
        if age < 0.01 {
            return;
        }
        self.at = now;
        let fade = (-age).exp();
        self.weights.values_mut().for_each(|weight| *weight *= fade);
        self.weights.retain(|_, weight| *weight > 0.01);
        self.sum = self.weights.values().sum();
    }
}
