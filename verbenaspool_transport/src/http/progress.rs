//! Whether a body makes enough progress to end in time.
//!
//! A server in trouble may send a body byte by byte until its caller gives up. The rate of the last
//! [`RATE_WINDOW`] tells that early enough for another attempt. A body that arrives at once but for one
//! pause is judged over a longer time: a lost packet alone takes 200 ms or more.

use std::{collections::VecDeque, time::Duration};

/// The time over which the rate of a body is measured. Targets of responses begin at 120 ms and
/// deadlines at 600 ms, which leaves time for another attempt.
pub const RATE_WINDOW: Duration = Duration::from_millis(200);

/// The longest pause of a body, unless half of the time that is left is shorter. TCP sends a lost
/// packet again after 200 ms at the soonest, and a second time after 400 ms more.
pub const MAX_PAUSE: Duration = Duration::from_millis(500);

/// The least that must arrive in a window of a body without a declared length. A body of the
/// largest size that is buffered would take 200 s at this rate.
pub const MIN_WINDOW_BYTES: u64 = 1_024;

/// The resolution of the rate, which bounds what is remembered of a window.
const RATE_RESOLUTION: Duration = Duration::from_millis(10);

/// The progress of a response's body.
#[derive(Debug)]
pub struct BodyProgress {
    /// When the measurement of the rate started.
    started_at: Duration,
    /// The declared length.
    length: Option<u64>,
    received: u64,
    /// What arrived in the last [`MAX_PAUSE`], by time.
    recent: VecDeque<(Duration, u64)>,
}

impl BodyProgress {
    /// Starts with a body whose head has just arrived.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_transport::http::progress::BodyProgress;
    ///
    /// let at = Duration::from_millis;
    /// let mut progress = BodyProgress::new(at(0), Some(2_000));
    /// progress.record(at(150), 500);
    /// progress.record(at(180), 500);
    /// // 1,000 bytes are left, at 1,000 in 200 ms.
    /// assert!(progress.can_end_by(at(250), at(450)));
    /// assert!(!progress.can_end_by(at(250), at(449)));
    /// ```
    #[must_use]
    pub fn new(now: Duration, length: Option<u64>) -> Self {
        Self {
            started_at: now,
            length,
            received: 0,
            recent: VecDeque::new(),
        }
    }

    /// Measures the rate anew from now on, as nothing could be received for a while.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_transport::http::progress::BodyProgress;
    ///
    /// let at = Duration::from_millis;
    /// let mut progress = BodyProgress::new(at(0), Some(2_000));
    /// progress.restart(at(500));
    /// assert!(progress.can_end_by(at(749), at(1_000)));
    /// assert!(!progress.can_end_by(at(750), at(1_000)));
    /// ```
    pub fn restart(&mut self, now: Duration) {
        self.started_at = now;
        self.recent.clear();
    }

    /// Records received bytes.
    pub fn record(&mut self, now: Duration, bytes: usize) {
        let bytes = bytes as u64;
        self.received += bytes;
        while let Some((at, _)) = self.recent.front()
            && now.saturating_sub(*at) > MAX_PAUSE
        {
            self.recent.pop_front();
        }
        match self.recent.back_mut() {
            Some((at, sum)) if now.saturating_sub(*at) < RATE_RESOLUTION => *sum += bytes,
            _ => self.recent.push_back((now, bytes)),
        }
    }

    /// What arrived in the last `window`: the number of times and the bytes.
    fn arrived(&self, now: Duration, window: Duration) -> (usize, u64) {
        let recent = self.recent.iter();
        let recent = recent.filter(|(at, _)| now.saturating_sub(*at) <= window);
        recent.fold((0, 0), |(times, sum), (_, bytes)| (times + 1, sum + bytes))
    }

    /// The time over which the body is judged: longer if it pauses.
    fn window(&self, now: Duration, deadline: Duration) -> Duration {
        let (times, _) = self.arrived(now, RATE_WINDOW);
        if times > 1 {
            return RATE_WINDOW;
        }
        let paused_since = self.recent.back().map_or(self.started_at, |(at, _)| *at);
        let half_left = deadline.saturating_sub(paused_since.max(self.started_at)) / 2;
        MAX_PAUSE.min(half_left).max(RATE_WINDOW)
    }

    /// Whether the body can end by the deadline, judging by the last window. A body without a
    /// declared length must come at [`MIN_WINDOW_BYTES`] a window after its first [`RATE_WINDOW`].
    #[must_use]
    pub fn can_end_by(&self, now: Duration, deadline: Duration) -> bool {
        let age = now.saturating_sub(self.started_at);
        let window = self.window(now, deadline);
        let (_, recent) = self.arrived(now, window);
        let Some(length) = self.length else {
            return age < RATE_WINDOW + window || recent >= MIN_WINDOW_BYTES;
        };
        let left = length.saturating_sub(self.received);
        if age < window || left == 0 {
            return true;
        }
        let time_left = deadline.saturating_sub(now);
        u128::from(left) * window.as_nanos() <= u128::from(recent) * time_left.as_nanos()
    }
}
