//! How many attempts an upstream takes at once from this entry.
//!
//! Load: offered work beyond what an upstream can do. Without a limit every
//! attempt is sent, all of them slow down together, and none meets its deadline;
//! with a fixed one capacity lies idle or is overrun as soon as it differs from
//! what the setting assumed.
//!
//! The limit grows while it is used and the pace stays near the best one seen,
//! doubling at first, and shrinks when the pace is worse than [`SHRINK_PACE_RATIO`] times
//! that. A batching engine is no slower until its batch is full, so the pace
//! tells where that is; beyond it a further attempt only slows the others down,
//! and what waits here can still be refused in time or sent elsewhere.

use std::time::Duration;

/// Below this multiple of the best pace the limit may grow.
const GROW_PACE_RATIO: f64 = 1.1;
/// Above this multiple of the best pace the limit shrinks, to where the pace is
/// this multiple if it follows the number in flight.
const SHRINK_PACE_RATIO: f64 = 1.3;
/// Seconds by which an attempt may take longer for reasons that are not the
/// upstream's: the loop's timer, other work in the loop, the network. A service
/// that answers in 1 ms is often twice as slow as its best without being any
/// fuller; without this its limit fell to 1, and 64 callers of it got 1,312
/// answers a second where direct calls got 25,010. Steps of engines and answers
/// of tokens take far longer, so that for them the ratios decide.
const NOISE_SECONDS: f64 = 0.005;
/// What a limit keeps at least when it shrinks for the pace.
const MIN_SHRINK_FACTOR: f64 = 0.5;
/// What a limit keeps when work waits in front of the engine.
const ENGINE_QUEUE_FACTOR: f64 = 0.9;
/// How long a best pace counts. Two windows are kept, so the best is at least
/// this and at most twice this old: longer than a burst, shorter than an hour's drift.
const BEST_PACE_WINDOW: Duration = Duration::from_mins(1);

/// The adaptive limit of one upstream.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// The limit, of which the whole part counts.
    value: f64,
    /// The best pace of the window now and of the one before.
    best_pace: [f64; 2],
    /// When the window now ends.
    window_end: Duration,
    /// Attempts that must end before the limit may shrink again: those in flight
    /// when it shrank tell nothing about the new limit.
    cooldown_attempts: u32,
    /// Whether no sign of the batch's size was seen yet: the limit doubles then.
    slow_start: bool,
}

impl Limit {
    /// A limit that nothing is known about yet.
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

    /// The most attempts in flight.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.value
    }

    /// Learns from an attempt that ran: the mean pace now, the attempt's work, and
    /// how many were in flight with it.
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

    /// Starts over from one attempt, for an upstream that comes back. What was
    /// its best pace still holds, so it grows no further than that allows.
    pub fn restart(&mut self) {
        self.value = 1.0;
        self.cooldown_attempts = 0;
        self.slow_start = true;
    }

    /// Learns from a load report that work waits in front of the engine: its
    /// batch is full, so what is above it only waits there instead of here.
    pub fn shrink_for_engine_queue(&mut self) {
        self.value = (self.value * ENGINE_QUEUE_FACTOR).max(1.0);
    }

    /// Keeps the best pace of the last two windows.
    fn record_best_pace(&mut self, now: Duration, pace: f64) {
        // A clock that jumped back would leave a window that never ends.
        if now >= self.window_end || self.window_end.saturating_sub(now) > BEST_PACE_WINDOW {
            self.best_pace = [f64::INFINITY, self.best_pace[0]];
            self.window_end = now.saturating_add(BEST_PACE_WINDOW);
        }
        self.best_pace[0] = self.best_pace[0].min(pace);
    }
}
