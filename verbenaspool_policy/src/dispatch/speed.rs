//! How fast an upstream is, learned from its responses.
//!
//! Load: one of three upstreams becomes 3 to 12 times slower while its health check is good, or
//! rejects requests below its configured slots. Placement by counts goes on giving it a third of
//! the requests, which then miss their deadlines.

use std::time::Duration;

/// Number of responses that count in the mean service time.
const MEAN_SAMPLES: f64 = 10.0;

/// The weight of the newest response in the share of rejections.
const NEWEST_REJECTION_WEIGHT: f64 = 0.1;

/// Number of its own service times without a response after which an upstream counts as neutral.
const DECAY_SERVICE_TIMES: f64 = 10.0;

/// The shortest time without a response after which an upstream counts as neutral. An entry that
/// sends an upstream a request every few seconds would otherwise forget a service time of 15 ms
/// before its next request, and learn nothing.
const MIN_DECAY_TIME_S: f64 = 10.0;

/// The smallest number of slots that an upstream counts with, so that it is tried again.
const MIN_SLOTS: f64 = 1.0;

/// The learned speed of one upstream at one entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    /// The mean service time in seconds; 0 without a response.
    mean_s: f64,
    /// Number of responses in the mean.
    samples: f64,
    /// When the last response ended.
    recorded_at: Duration,
    /// The share of requests that it rejected for lack of capacity.
    rejection_ratio: f64,
    /// When the share last changed.
    rejection_at: Duration,
    /// Whether the upstream counts as slow in logs and metrics.
    pub is_slow: bool,
}

impl Speed {
    /// Records the service time of a successful response.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::speed::Speed;
    ///
    /// let (ms, mut speed) = (Duration::from_millis, Speed::default());
    /// for number in 0..10 {
    ///     speed.record(ms(number * 90), ms(90));
    /// }
    /// assert!(speed.service_time_s(ms(900), 0.03, false) > 0.08, "three times the median");
    /// assert!(speed.service_time_s(ms(60_000), 0.03, false) < 0.031, "neutral after a time");
    /// assert!(speed.service_time_s(ms(60_000), 0.03, true) > 0.08);
    /// ```
    pub fn record(&mut self, now: Duration, duration: Duration) {
        self.samples = (self.samples * self.remaining(now) + 1.0).min(MEAN_SAMPLES);
        self.mean_s += (duration.as_secs_f64() - self.mean_s) / self.samples;
        self.recorded_at = now;
        self.rejection_ratio *= 1.0 - NEWEST_REJECTION_WEIGHT;
    }

    /// Records that a request had no complete response after `duration`. It counts only if that
    /// is longer than expected: otherwise it says nothing, for example because the caller left.
    ///
    /// Without it, an upstream whose requests all miss their deadlines would never count as slow.
    pub fn record_unfinished(&mut self, now: Duration, duration: Duration, median_s: Option<f64>) {
        let expected_s = median_s.map(|median_s| self.service_time_s(now, median_s, false));
        if expected_s.is_some_and(|expected_s| duration.as_secs_f64() > expected_s) {
            self.record(now, duration);
        }
    }

    /// Records that the upstream rejected a request for lack of capacity.
    pub fn record_rejection(&mut self, now: Duration) {
        self.rejection_ratio += (1.0 - self.rejection_ratio) * NEWEST_REJECTION_WEIGHT;
        self.rejection_at = now;
    }

    /// The mean service time in seconds, if a response has ended.
    #[must_use]
    pub fn mean_s(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.mean_s)
    }

    /// The expected service time in seconds, where the median of the service's upstreams is
    /// `median_s`. A single response counts half, because it may have had more work than others.
    ///
    /// What was learned doesn't decay while a request is in progress there, so that an upstream
    /// that was slow is tried again with one request and not with several at once.
    #[must_use]
    pub fn service_time_s(&self, now: Duration, median_s: f64, in_progress: bool) -> f64 {
        let remaining = if in_progress {
            1.0
        } else {
            self.remaining(now)
        };
        let confidence = remaining * self.samples / (self.samples + 1.0);
        median_s + (self.mean_s - median_s) * confidence
    }

    /// The slots that the upstream can use, out of those that it is configured with.
    #[must_use]
    pub fn usable_slots(&self, now: Duration, slots: u32) -> f64 {
        let age_s = now.saturating_sub(self.rejection_at).as_secs_f64();
        let remaining = (1.0 - age_s / MIN_DECAY_TIME_S).max(0.0);
        (f64::from(slots) * (1.0 - self.rejection_ratio * remaining)).max(MIN_SLOTS)
    }

    /// How much of what was learned still counts, from 1 to 0.
    fn remaining(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.recorded_at).as_secs_f64();
        (1.0 - age_s / (self.mean_s * DECAY_SERVICE_TIMES).max(MIN_DECAY_TIME_S)).max(0.0)
    }
}

/// The median of service times in seconds; the lower of two in the middle, so that of two
/// upstreams the slower one counts as slow.
///
/// ```
/// use verbenaspool_policy::dispatch::speed::median_s;
///
/// assert_eq!(median_s([0.09, 0.03].into_iter()), Some(0.03));
/// assert_eq!(median_s([].into_iter()), None);
/// ```
#[must_use]
pub fn median_s(means_s: impl Iterator<Item = f64>) -> Option<f64> {
    let mut means_s: Vec<f64> = means_s.collect();
    let middle = means_s.len().checked_sub(1)? / 2;
    let (_, median_s, _) = means_s.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median_s)
}
