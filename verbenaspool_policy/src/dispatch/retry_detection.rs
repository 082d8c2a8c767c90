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
const BUCKET_RATIO: f64 = 1.04;

/// Time constant by which older requests count less.
const HISTORY_WINDOW: Duration = Duration::from_secs(30);

/// The least share of requests with about the same time for it to be one that callers
/// give at first. A few retry at once after a failure of a plain service.
const MIN_COMMON_SHARE: f64 = 0.03;

/// Requests that a judgement rests on at least.
const MIN_SAMPLES: f64 = 50.0;

/// How long after the end of their Retry-After callers may still arrive.
const RECONNECT_MARGIN: Duration = Duration::from_secs(1);

/// The longest time that another entry is believed callers give.
const MAX_HINTED_WAIT: Duration = Duration::from_hours(1);

/// RetryDetector that one entry tells another at most.
pub const MAX_HINTS: usize = 12;

/// The times that callers of one service gave lately.
#[derive(Debug, Default)]
pub struct RetryDetector {
    /// How many gave so much, older ones weighing less.
    weights: BTreeMap<i32, f64>,
    total_weight: f64,
    decayed_at: Duration,
    /// Until when callers may come back that were refused.
    retries_expected_until: Duration,
    /// What many callers give at first, as another entry says.
    hinted_buckets: BTreeSet<i32>,
}

/// The step of a time.
#[allow(clippy::cast_possible_truncation)] // Logarithms of times are small.
fn to_bucket(time: Duration) -> i32 {
    (time.as_secs_f64().max(1e-3).ln() / BUCKET_RATIO.ln()).round() as i32
}

/// The time of a step.
fn to_duration(bucket: i32) -> Duration {
    Duration::from_secs_f64(BUCKET_RATIO.powi(bucket))
}

impl RetryDetector {
    /// Takes in that a caller was refused and told to come back later.
    pub fn record_rejection(&mut self, now: Duration, retry_after: Duration) {
        self.retries_expected_until = self
            .retries_expected_until
            .max(now + retry_after + RECONNECT_MARGIN);
    }

    /// Takes in a request whose caller waits so long; tells how much of its time the
    /// caller had spent before at least, nothing for one that comes for the first time.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::retry_detection::RetryDetector;
    ///
    /// let (mut detector, full) = (RetryDetector::default(), Duration::from_secs(8));
    /// for request in 0..60 {
    ///     detector.observe(Duration::from_millis(request * 10), full);
    /// }
    /// let spent = detector.observe(Duration::from_secs(1), Duration::from_millis(5_500));
    /// assert!(spent > Duration::from_secs(2));
    /// ```
    pub fn observe(&mut self, now: Duration, wait: Duration) -> Duration {
        let bucket = to_bucket(wait);
        if now >= self.retries_expected_until {
            self.decay(now);
            *self.weights.entry(bucket).or_default() += 1.0;
            self.total_weight += 1.0;
        }
        if self.is_common(bucket) {
            return Duration::ZERO;
        }
        let initial = if self.has_enough_samples() {
            let mut longer = self.weights.range(bucket..).map(|(longer, _)| *longer);
            longer.find(|longer| self.is_common(*longer))
        } else {
            self.hinted_buckets.range(bucket..).next().copied()
        };
        initial.map_or(Duration::ZERO, |initial| {
            to_duration(initial).saturating_sub(wait)
        })
    }

    /// Whether enough requests came to tell retries from them.
    fn has_enough_samples(&self) -> bool {
        self.total_weight >= MIN_SAMPLES
    }

    /// The times that many callers give at first, for entries that know none.
    pub fn common_waits(&self) -> impl Iterator<Item = Duration> {
        let settled = self.has_enough_samples();
        let buckets = self.weights.keys().filter(move |_| settled);
        buckets
            .filter(|bucket| self.is_common(**bucket))
            .map(|bucket| to_duration(*bucket))
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
    /// let mut detector = RetryDetector::default();
    /// detector.set_hints([Duration::from_secs(8)].into_iter());
    /// let spent = detector.observe(Duration::ZERO, Duration::from_millis(5_500));
    /// assert!(spent > Duration::from_secs(2));
    /// ```
    pub fn set_hints(&mut self, times: impl Iterator<Item = Duration>) {
        if self.has_enough_samples() {
            return;
        }
        let plausible = times.filter(|time| !time.is_zero() && *time <= MAX_HINTED_WAIT);
        let buckets: BTreeSet<i32> = plausible.take(MAX_HINTS).map(to_bucket).collect();
        if !buckets.is_empty() {
            self.hinted_buckets = buckets;
        }
    }

    /// Whether many callers give about as much at first.
    fn is_common(&self, bucket: i32) -> bool {
        if !self.has_enough_samples() {
            return self.hinted_buckets.is_empty()
                || self
                    .hinted_buckets
                    .range(bucket - 1..=bucket + 1)
                    .next()
                    .is_some();
        }
        let adjacent = self.weights.range(bucket - 1..=bucket + 1);
        adjacent.map(|(_, weight)| weight).sum::<f64>() >= MIN_COMMON_SHARE * self.total_weight
    }

    /// Lets older requests count less.
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.decayed_at).as_secs_f64() / HISTORY_WINDOW.as_secs_f64();
        if age < 0.01 {
            return;
        }
        self.decayed_at = now;
        let decay = (-age).exp();
        self.weights
            .values_mut()
            .for_each(|weight| *weight *= decay);
        self.weights.retain(|_, weight| *weight > 0.01);
        self.total_weight = self.weights.values().sum();
    }
}
