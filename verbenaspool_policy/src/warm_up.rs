//! Limits requests to upstreams that warm up.
//!
//! Load: an upstream that has just started, or a whole zone that is taken back, is idle while
//! all others are busy, so every entry prefers it in the same second. An upstream that warms
//! up crashes when it gets far more requests than its service allows. The limit applies to
//! all entries together. An agent counts the requests to its own upstream; where there are no
//! agents, each entry keeps to its share.

use std::{collections::VecDeque, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The span in which requests are counted. Slightly longer than the second that limits refer
/// to, because requests that were sent apart may arrive closer together.
const COUNTING_WINDOW: Duration = Duration::from_millis(1_100);

/// Counts the latest requests to one upstream.
#[derive(Debug, Default)]
pub struct Window {
    sent_at: VecDeque<Duration>,
}

impl Window {
    /// Whether a request may be sent now, with at most `max` a second.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::warm_up::Window;
    ///
    /// let (second, mut window) = (Duration::from_secs(1), Window::default());
    /// window.record(second);
    /// assert!(window.allows(second, 2));
    /// assert!(!window.allows(second, 1));
    /// assert!(window.allows(second * 3, 1));
    /// ```
    #[must_use]
    pub fn allows(&self, now: Duration, max: u32) -> bool {
        self.wait(now, max).is_zero()
    }

    /// How long no request may be sent, with at most `max` a second.
    #[must_use]
    pub fn wait(&self, now: Duration, max: u32) -> Duration {
        let Some(previous) = (max as usize).checked_sub(1) else {
            return COUNTING_WINDOW;
        };
        let first = self.sent_at.iter().nth_back(previous);
        first.map_or(Duration::ZERO, |at| {
            (*at + COUNTING_WINDOW).saturating_sub(now)
        })
    }

    /// Records a request.
    pub fn record(&mut self, now: Duration) {
        self.sent_at
            .retain(|at| now.saturating_sub(*at) < COUNTING_WINDOW);
        self.sent_at.push_back(now);
    }
}

/// The requests per second that one of `entries` may send to an upstream, so that all of them
/// together keep to `max_rate`. With more entries than requests, a part of the entries may
/// send one, different ones for each upstream.
///
/// ```
/// use verbenaspool_policy::warm_up::entry_share;
///
/// assert_eq!(entry_share(12.0, 4, "entry-1", "i-1"), 3);
/// assert_eq!(entry_share(0.0, 4, "entry-1", "i-1"), 0);
/// ```
#[must_use]
pub fn entry_share(max_rate: f64, entries: usize, entry: &str, upstream: &str) -> u32 {
    #[allow(clippy::cast_precision_loss)] // Far fewer than 2^52 entries.
    let share = max_rate.max(0.0) / entries.max(1) as f64;
    let upstream = xxh3_64_with_seed(upstream.as_bytes(), 0);
    #[allow(clippy::cast_precision_loss)] // An approximate fraction is enough.
    let draw = xxh3_64_with_seed(entry.as_bytes(), upstream) as f64 / u64::MAX as f64;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
    let whole = share as u32;
    whole + u32::from(draw < share.fract())
}
