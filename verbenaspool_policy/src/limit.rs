//! Limits the attempts that this entry has in flight at an upstream.
//!
//! Without a limit, offered work beyond an upstream's capacity slows all attempts down
//! together, and none meets its deadline. A fixed limit wastes capacity or overloads
//! the upstream as soon as conditions differ from what the setting assumed.
//!
//! The limit grows while it is in use and the pace stays near the best one seen,
//! exponentially at first, and shrinks when the pace exceeds [`SHRINK_PACE_RATIO`]
//! times the best. A batching engine doesn't slow down until its batch is full, so the
//! pace shows the batch size; further attempts only slow the others down, while
//! requests queued here can still be rejected in time or sent elsewhere.

use std::time::Duration;

/// The limit may grow while the pace is below this multiple of the best pace.
const GROW_PACE_RATIO: f64 = 1.1;
/// The limit shrinks when the pace is above this multiple of the best pace, to where
/// the pace would equal it if the pace is proportional to the attempts in flight.
const SHRINK_PACE_RATIO: f64 = 1.3;
/// Seconds by which an attempt may take longer for reasons other than the upstream:
/// timer resolution, other work in the event loop, the network. A service that answers
/// in 1 ms often takes twice its best time without being busier; without this allowance
/// its limit fell to 1, and 64 callers got 1,312 answers per second where direct calls
/// got 25,010. Engine steps and token generation take far longer, so that for them the
/// ratios decide.
const NOISE_SECONDS: f64 = 0.005;
/// The least factor by which the limit shrinks for a slow pace.
const MIN_SHRINK_FACTOR: f64 = 0.5;
/// The factor by which the limit shrinks when requests wait in front of the engine.
const ENGINE_QUEUE_FACTOR: f64 = 0.9;
/// The length of a best-pace window. Two windows are kept, so the best pace covers at
/// least one and at most two windows: longer than a burst, shorter than drift over an
/// hour.
const BEST_PACE_WINDOW: Duration = Duration::from_mins(1);

/// The adaptive concurrency limit of one upstream.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// The limit; its integer part applies.
    value: f64,
    /// The best pace of the current and of the previous window.
    best_pace: [f64; 2],
    /// When the current window ends.
    window_end: Duration,
    /// Attempts that must end before the limit may shrink again: those that were in
    /// flight when it shrank don't reflect the new limit.
    cooldown_attempts: u32,
    /// Whether the limit has not yet reached the batch size: it then grows by one per
    /// attempt, which doubles it per round.
    slow_start: bool,
}

impl Limit {
    /// Creates a limit without measurements.
    #[must_use]
    pub fn new(initial: u32) -> Self {
        Self {
            value: f64::from(initial),
            best_pace: [f64::INFINITY; 2],
            window_end: Duration::ZERO,
            cooldown_attempts: 0,
            slow_start: true,
        }
    }

    /// The current limit.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.value
    }

    /// Records an attempt that ran: the mean pace now, the attempt's work, and the
    /// attempts in flight with it.
    pub fn record(&mut self, now: Duration, pace: f64, work: f64, in_flight: u32, max_limit: u32) {
        self.record_best_pace(now, pace);
        let best_pace = self.best_pace[0].min(self.best_pace[1]);
        let noise_bound = best_pace + NOISE_SECONDS / work.max(f64::MIN_POSITIVE);
        let grow_below = (GROW_PACE_RATIO * best_pace).max(noise_bound);
        let shrink_above = (SHRINK_PACE_RATIO * best_pace).max(noise_bound);
        self.cooldown_attempts = self.cooldown_attempts.saturating_sub(1);
        self.slow_start &= pace < grow_below;
        if pace > shrink_above {
            if self.cooldown_attempts == 0 {
                let factor = (shrink_above / pace).max(MIN_SHRINK_FACTOR);
                self.value = (self.value * factor).max(1.0);
                self.cooldown_attempts = in_flight;
            }
        } else if pace < grow_below && f64::from(in_flight) + 1.0 > self.value {
            let increment = if self.slow_start {
                1.0
            } else {
                1.0 / self.value
            };
            self.value = (self.value + increment).min(f64::from(max_limit));
        }
    }

    /// Restarts at one attempt, for an upstream that returns from ejection. The best pace
    /// is kept and bounds the growth.
    pub fn restart(&mut self) {
        self.value = 1.0;
        self.cooldown_attempts = 0;
        self.slow_start = true;
    }

    /// Shrinks the limit because a load report shows requests waiting in front of the
    /// engine: its batch is full, and attempts beyond it only wait there instead of here.
    pub fn shrink_for_engine_queue(&mut self) {
        self.value = (self.value * ENGINE_QUEUE_FACTOR).max(1.0);
    }

    /// Records the best pace of the current window, and starts a new one when it ends.
    fn record_best_pace(&mut self, now: Duration, pace: f64) {
        // A clock that jumped back would leave a window that never ends.
        if now >= self.window_end || self.window_end.saturating_sub(now) > BEST_PACE_WINDOW {
            self.best_pace = [f64::INFINITY, self.best_pace[0]];
            self.window_end = now.saturating_add(BEST_PACE_WINDOW);
        }
        self.best_pace[0] = self.best_pace[0].min(pace);
    }
}
