//! Estimates how long answers of a service take, and derives waits and retry times.
//!
//! When upstreams are at capacity or down, rejected callers retry once, and retries wait in
//! the queue. Both times depend on the time that the caller has left and on how long an
//! answer takes. Callers give 1.5 s to one service and 8 s to another, and an answer takes
//! 15 ms or 2 s, so no fixed time fits.

use std::time::Duration;

/// The weight of the newest answer in the mean: about the last ten count.
const NEWEST_WEIGHT: f64 = 0.1;

/// The service time assumed before an answer has ended, as a share of the caller's time.
const UNKNOWN_TIME_RATIO: f64 = 0.25;

/// The share of its caller's time that a late request may wait.
const MAX_WAIT_RATIO: f64 = 0.55;

/// Time kept for the answer of a request that waited, as a multiple of the service time.
const SERVICE_TIME_MARGIN: f64 = 1.2;

/// Range of Retry-After during an outage, as a share of the time that the caller has left.
/// It is as late as callers honour it, because nobody knows when the outage ends.
const RETRY_AFTER_OUTAGE_RATIOS: [f64; 2] = [0.29, 0.33];

/// Range of Retry-After at capacity, as a multiple of the service time. Sooner, the same
/// answers are still running; later, others have taken their slots.
const RETRY_AFTER_FULL_RATIOS: [f64; 2] = [0.3, 1.0];

/// How long a late request waits for running upstreams, as a multiple of the service time.
const LATE_WAIT_RATIO: f64 = 0.15;

/// The shortest service time that Retry-After at capacity is computed from. With it the
/// range begins at 0.15 s, by which time entries have received each other's digests: that
/// takes up to 0.1 s.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The mean service time, if an answer has ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime(Option<Duration>);

impl ServiceTime {
    /// Records how long a successful answer took.
    pub fn record(&mut self, duration: Duration) {
        let mean = self.0.unwrap_or(duration);
        self.0 = Some(mean.mul_f64(1.0 - NEWEST_WEIGHT) + duration.mul_f64(NEWEST_WEIGHT));
    }

    /// The service time, estimated from the caller's remaining time if no answer has ended.
    fn estimate_for(self, left: Duration) -> Duration {
        self.0.unwrap_or(left.mul_f64(UNKNOWN_TIME_RATIO))
    }

    /// How long a late request may wait if its caller has `left` of its time.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::service_time::ServiceTime;
    ///
    /// let mut service_time = ServiceTime::default();
    /// service_time.record(Duration::from_secs(2));
    /// assert_eq!(service_time.max_wait(Duration::from_secs(1)), Duration::ZERO);
    /// assert_eq!(service_time.max_wait(Duration::from_secs(4)), Duration::from_millis(1_600));
    /// ```
    #[must_use]
    pub fn max_wait(self, left: Duration) -> Duration {
        let spare = left.saturating_sub(self.estimate_for(left).mul_f64(SERVICE_TIME_MARGIN));
        spare.min(left.mul_f64(MAX_WAIT_RATIO))
    }

    /// The service time, or `MIN_RETRY_AFTER` if no answer has ended.
    #[must_use]
    pub fn estimate(self) -> Duration {
        self.0.unwrap_or(MIN_RETRY_AFTER)
    }

    /// How long a late request waits for running upstreams. One in seven of their answers
    /// ends within that time.
    #[must_use]
    pub fn late_wait(self) -> Duration {
        self.0.unwrap_or(MIN_RETRY_AFTER).mul_f64(LATE_WAIT_RATIO)
    }

    /// The shortest and the longest Retry-After at capacity, if the caller has `left` of
    /// its time.
    #[must_use]
    pub fn retry_after_full(self, left: Duration) -> [Duration; 2] {
        let estimate = self.estimate_for(left).max(MIN_RETRY_AFTER);
        RETRY_AFTER_FULL_RATIOS
            .map(|ratio| estimate.mul_f64(ratio).min(self.latest_retry_after(left)))
    }

    /// The longest Retry-After that a caller with `left` of its time honours.
    #[must_use]
    pub fn latest_retry_after(self, left: Duration) -> Duration {
        left.mul_f64(RETRY_AFTER_OUTAGE_RATIOS[1])
    }

    /// The same during an outage.
    #[must_use]
    pub fn retry_after_outage(self, left: Duration) -> [Duration; 2] {
        RETRY_AFTER_OUTAGE_RATIOS.map(|ratio| left.mul_f64(ratio))
    }
}
