//! How long answers of a service last, and what follows for those who wait or come back.
//!
//! Load: a service whose upstreams are full or away. Who is refused comes back once, and
//! who came back waits; how long either may take depends on the time that the caller has
//! left and on how long an answer lasts. Callers give 1.5 s to one service and 8 s to
//! another, and an answer takes 15 ms here and 2 s there, so none of it is a fixed time.

use std::time::Duration;

/// The weight of the newest answer in the mean: the last ten or so count.
const NEWEST_WEIGHT: f64 = 0.1;

/// What an answer is taken to last before one has ended, as a part of the time that the
/// caller has.
const UNKNOWN_TIME_RATIO: f64 = 0.25;

/// The part of its caller's time that a late request may wait.
const MAX_WAIT_RATIO: f64 = 0.55;

/// Time kept for the answer of a request that waited, as a multiple of the service time.
const SERVICE_TIME_MARGIN: f64 = 1.2;

/// Retry-After during an outage, as parts of the time that the caller has left: as late
/// as callers honour it, since nobody knows when the outage ends.
const RETRY_AFTER_OUTAGE_RATIOS: [f64; 2] = [0.29, 0.33];

/// When to come back to full upstreams, in times of what an answer lasts: sooner, the
/// same answers still run; later, others took their places.
const RETRY_AFTER_FULL_RATIOS: [f64; 2] = [0.3, 1.0];

/// How long a late request waits for a turn at upstreams that run, in times of what an
/// answer lasts.
const LATE_WAIT_RATIO: f64 = 0.15;

/// The least time after which a refused caller is to come back to full upstreams.
/// Entries hear each other's requests within 0.1 s.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How long answers of one service last.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime(Option<Duration>);

impl ServiceTime {
    /// Learns from an answer that ended well.
    pub fn record(&mut self, duration: Duration) {
        let mean = self.0.unwrap_or(duration);
        self.0 = Some(mean.mul_f64(1.0 - NEWEST_WEIGHT) + duration.mul_f64(NEWEST_WEIGHT));
    }

    /// What an answer lasts, for a caller with so much time left.
    fn estimate_for(self, left: Duration) -> Duration {
        self.0.unwrap_or(left.mul_f64(UNKNOWN_TIME_RATIO))
    }

    /// How long a caller may wait for its turn who has so much time left, and can't be
    /// answered in time any more.
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

    /// How long an answer takes; the least time to come back where none has ended yet.
    #[must_use]
    pub fn estimate(self) -> Duration {
        self.0.unwrap_or(MIN_RETRY_AFTER)
    }

    /// How long a request that is late waits for its turn at upstreams that run: while
    /// it does so, one in seven of their answers ends.
    #[must_use]
    pub fn late_wait(self) -> Duration {
        self.0.unwrap_or(MIN_RETRY_AFTER).mul_f64(LATE_WAIT_RATIO)
    }

    /// The shortest and the longest time after which a caller with so much time left is
    /// to come back to upstreams that are full.
    #[must_use]
    pub fn retry_after_full(self, left: Duration) -> [Duration; 2] {
        let estimate = self.estimate_for(left).max(MIN_RETRY_AFTER);
        RETRY_AFTER_FULL_RATIOS.map(|ratio| {
            estimate
                .mul_f64(ratio)
                .min(left.mul_f64(RETRY_AFTER_OUTAGE_RATIOS[1]))
        })
    }

    /// The same where no upstream of the service runs.
    #[must_use]
    pub fn retry_after_outage(self, left: Duration) -> [Duration; 2] {
        RETRY_AFTER_OUTAGE_RATIOS.map(|ratio| left.mul_f64(ratio))
    }
}
