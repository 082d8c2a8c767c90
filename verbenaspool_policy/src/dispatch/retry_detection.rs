//! Detects retried requests by their remaining deadline.
//!
//! During an outage or overload, rejected callers retry. Nothing marks a retry, so a
//! request whose caller waits considerably less than most callers do at first counts as
//! one. It can't be answered on time, but most callers retry once, so it should wait
//! instead of being rejected again.
//!
//! How long callers wait at first isn't configured. It is observed while no retries are
//! expected, and entries that haven't seen enough requests learn it from their peers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Ratio between adjacent buckets of the histogram.
const BUCKET_RATIO: f64 = 1.04;

/// Time constant by which older requests count less.
const HISTORY_WINDOW: Duration = Duration::from_secs(30);

/// The smallest share of requests with about the same wait for it to be an initial one. A
/// few callers retry at once after a failure of a plain service.
const MIN_COMMON_SHARE: f64 = 0.03;

/// The (decayed) number of requests needed to classify others.
const MIN_SAMPLES: f64 = 50.0;

/// How long after the end of their Retry-After callers may still arrive.
const RECONNECT_MARGIN: Duration = Duration::from_secs(1);

/// The longest wait accepted from another entry.
const MAX_HINTED_WAIT: Duration = Duration::from_hours(1);

/// The most waits that one entry sends to another.
pub const MAX_HINTS: usize = 12;

/// A histogram of the waits that callers of one service recently announced.
#[derive(Debug, Default)]
pub struct Detector {
    /// Number of requests by bucket, with older ones weighing less.
    weights: BTreeMap<i32, f64>,
    total_weight: f64,
    decayed_at: Duration,
    /// Until when rejected callers may retry.
    retries_expected_until: Duration,
    /// Buckets of the common initial waits reported by another entry.
    hinted_buckets: BTreeSet<i32>,
}

/// The histogram bucket of a wait.
#[allow(clippy::cast_possible_truncation)] // Logarithms of times are small.
fn to_bucket(time: Duration) -> i32 {
    (time.as_secs_f64().max(1e-3).ln() / BUCKET_RATIO.ln()).round() as i32
}

/// The wait that a histogram bucket stands for.
fn to_duration(bucket: i32) -> Duration {
    Duration::from_secs_f64(BUCKET_RATIO.powi(bucket))
}

impl Detector {
    /// Records that a caller was rejected with a Retry-After.
    pub fn record_rejection(&mut self, now: Duration, retry_after: Duration) {
        self.retries_expected_until = self
            .retries_expected_until
            .max(now + retry_after + RECONNECT_MARGIN);
    }

    /// Records a request whose caller waits for `wait`. Returns how much of its time the
    /// caller must at least have spent before, which is zero for a first attempt.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::retry_detection::Detector;
    ///
    /// let (mut detector, full) = (Detector::default(), Duration::from_secs(8));
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

    /// Whether enough requests were seen to tell retries apart.
    fn has_enough_samples(&self) -> bool {
        self.total_weight >= MIN_SAMPLES
    }

    /// The common initial waits, for entries that don't know them.
    pub fn common_waits(&self) -> impl Iterator<Item = Duration> {
        let settled = self.has_enough_samples();
        let buckets = self.weights.keys().filter(move |_| settled);
        buckets
            .filter(|bucket| self.is_common(**bucket))
            .map(|bucket| to_duration(*bucket))
            .take(MAX_HINTS)
    }

    /// Sets the common initial waits as seen by another entry. They are used until this
    /// entry has seen enough requests.
    ///
    /// An entry that starts during an outage mostly sees retries, and can't tell them from
    /// first attempts without hints.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::retry_detection::Detector;
    ///
    /// let mut detector = Detector::default();
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

    /// Whether about this wait is a common initial one.
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
