//! Paces requests to an upstream that limits them.
//!
//! Load: an upstream in need names in its answers how many requests a second it takes from all
//! entries together. All entries learn of it within the same moment, and then have requests for
//! it at all times. Where an agent counts them all, it grants as many as the limit allows; an
//! entry on its own sends its share. Shares are often less than one request a second. If all
//! entries sent theirs at the same time, once in their intervals, they would exceed the limit in
//! those seconds; the intervals therefore vary.

use std::{collections::VecDeque, time::Duration};

/// The share of the limit that is used: requests that are sent apart may arrive closer together.
const LIMIT_USE_RATIO: f64 = 0.9;

/// The same with many senders. Their requests coincide by chance: with the ratio above, 231 that
/// share one request a second exceed the limit three times over 4 s twice an hour.
const MANY_SENDERS_USE_RATIO: f64 = 0.6;

/// Number of senders from which on they count as many.
const MIN_MANY_SENDERS: usize = 9;

/// The lowest rate in requests per second, for all entries together. Only its answers tell
/// whether an upstream that takes none takes them again.
const MIN_RATE: f64 = 0.2;

/// Number of requests that are remembered. Higher rates are measured over shorter spans.
const MAX_COUNTED: usize = 64;

/// The interval that follows a request of an entry varies by this share of its length.
const INTERVAL_VARIATION: f64 = 0.5;

/// The latest requests to one upstream.
#[derive(Debug, Clone, Default)]
pub struct Pacer {
    sent_at: VecDeque<Duration>,
    /// Length of the interval after the last request, relative to the usual one.
    interval_ratio: f64,
}

impl Pacer {
    /// How long no request may be sent, with a limit of `rate` a second for one of `senders`
    /// that share it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::rate_limit::Pacer;
    ///
    /// let (second, mut pacer) = (Duration::from_secs(1), Pacer::default());
    /// assert!(pacer.wait(second, 2.0, 1).is_zero());
    /// pacer.record(second);
    /// assert!(pacer.wait(second, 2.0, 1).is_zero());
    /// pacer.record(second);
    /// assert!(pacer.wait(second, 2.0, 1) > second);
    /// assert!(pacer.wait(second * 3, 2.0, 1).is_zero());
    /// ```
    #[must_use]
    pub fn wait(&self, now: Duration, rate: f64, senders: usize) -> Duration {
        let use_ratio = if senders < MIN_MANY_SENDERS {
            LIMIT_USE_RATIO
        } else {
            MANY_SENDERS_USE_RATIO
        };
        #[allow(clippy::cast_precision_loss)] // Far fewer than 2^52 entries.
        let rate = (rate * use_ratio).max(MIN_RATE) / senders.max(1) as f64;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
        let count = (rate.ceil() as usize).clamp(1, MAX_COUNTED);
        let Some(first) = self.sent_at.iter().nth_back(count - 1) else {
            return Duration::ZERO;
        };
        #[allow(clippy::cast_precision_loss)] // At most `MAX_COUNTED`.
        let interval = Duration::from_secs_f64(count as f64 / rate);
        let interval = if count == 1 {
            interval.mul_f64(self.interval_ratio)
        } else {
            interval
        };
        (*first + interval).saturating_sub(now)
    }

    /// Records a request of the only sender.
    pub fn record(&mut self, now: Duration) {
        self.push(now, 1.0);
    }

    /// Records a request of one of several senders. `random` is in [0, 1).
    pub fn record_share(&mut self, now: Duration, random: f64) {
        self.push(now, 1.0 + INTERVAL_VARIATION * (2.0 * random - 1.0));
    }

    /// Starts to pace one of several senders, all of which learn of the limit at this time. The
    /// random numbers are in [0, 1).
    ///
    /// The wait is what is left, at any moment, of the interval of a sender that is paced for
    /// long. Otherwise more senders than usual would send at certain times after the start.
    #[must_use]
    pub fn start(now: Duration, random: [f64; 2]) -> Self {
        // The longer an interval, the more likely a moment lies in it.
        let shortest = 1.0 - INTERVAL_VARIATION;
        let interval = (4.0 * INTERVAL_VARIATION * random[0] + shortest * shortest).sqrt();
        let mut pacer = Self::default();
        pacer.push(now, interval * random[1]);
        pacer
    }

    fn push(&mut self, now: Duration, interval_ratio: f64) {
        if self.sent_at.len() == MAX_COUNTED {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
        self.interval_ratio = interval_ratio;
    }
}
