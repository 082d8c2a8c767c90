//! Whether a body makes enough progress to end in time.
//!
//! A server in trouble may send a body byte by byte until its caller gives up. The rate of the last
//! [`RATE_WINDOW`] tells that early enough for another attempt.

use std::{collections::VecDeque, time::Duration};

/// The time over which the rate of a body is measured. Shorter pauses are common: a collection of
/// garbage, a packet sent again. Targets of responses begin at 120 ms and deadlines at 600 ms, which
/// leaves time for another attempt.
pub const RATE_WINDOW: Duration = Duration::from_millis(200);

/// The least that must arrive in a window of a body without a declared length. A body of the
/// largest size that is buffered would take 200 s at this rate.
pub const MIN_WINDOW_BYTES: u64 = 1_024;

/// The resolution of the rate, which bounds what is remembered of a window.
const RESOLUTION: Duration = Duration::from_millis(10);

/// The progress of a response's body.
#[derive(Debug)]
pub struct BodyProgress {
    /// When the measurement of the rate started.
    started_at: Duration,
    /// The declared length.
    length: Option<u64>,
    received: u64,
    /// What arrived in the last window, by time.
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
    /// // 1,500 bytes are left, at 500 in 200 ms.
    /// assert!(progress.can_end_by(at(250), at(850)));
    /// assert!(!progress.can_end_by(at(250), at(849)));
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
    /// assert!(progress.can_end_by(at(699), at(1_000)));
    /// assert!(!progress.can_end_by(at(700), at(1_000)));
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
            && now.saturating_sub(*at) > RATE_WINDOW
        {
            self.recent.pop_front();
        }
        match self.recent.back_mut() {
            Some((at, sum)) if now.saturating_sub(*at) < RESOLUTION => *sum += bytes,
            _ => self.recent.push_back((now, bytes)),
        }
    }

    /// Whether the body can end by the deadline, judging by the last window. A body without a
    /// declared length must come at [`MIN_WINDOW_BYTES`] a window after its first one.
    #[must_use]
    pub fn can_end_by(&self, now: Duration, deadline: Duration) -> bool {
        let age = now.saturating_sub(self.started_at);
        let recent = self.recent.iter();
        let recent = recent.filter(|(at, _)| now.saturating_sub(*at) <= RATE_WINDOW);
        let recent: u64 = recent.map(|(_, bytes)| bytes).sum();
        let Some(length) = self.length else {
            return age < RATE_WINDOW * 2 || recent >= MIN_WINDOW_BYTES;
        };
        let left = length.saturating_sub(self.received);
        if age < RATE_WINDOW || left == 0 {
            return true;
        }
        let time_left = deadline.saturating_sub(now);
        u128::from(left) * RATE_WINDOW.as_nanos() <= u128::from(recent) * time_left.as_nanos()
    }
}
