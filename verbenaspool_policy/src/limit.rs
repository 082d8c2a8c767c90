//! How many attempts an upstream takes at once from this entry.
//!
//! Load: offered work beyond what an upstream can do. Without a limit every
//! attempt is sent, all of them slow down together, and none meets its deadline;
//! with a fixed one capacity lies idle or is overrun as soon as it differs from
//! what the setting assumed.
//!
//! The limit grows while it is used and the pace stays near the best one seen,
//! doubling at first, and shrinks when the pace is worse than [`WORSE`] times
//! that. A batching engine is no slower until its batch is full, so the pace
//! tells where that is; beyond it a further attempt only slows the others down,
//! and what waits here can still be refused in time or sent elsewhere.

use std::time::Duration;

/// Below this multiple of the best pace the limit may grow.
const NEAR: f64 = 1.1;
/// Above this multiple of the best pace the limit shrinks, to where the pace is
/// this multiple if it follows the number in flight.
const WORSE: f64 = 1.3;
/// Seconds by which an attempt may take longer for reasons that are not the
/// upstream's: the loop's timer, other work in the loop, the network. A service
/// that answers in 1 ms is often twice as slow as its best without being any
/// fuller; without this its limit fell to 1, and 64 callers of it got 1,312
/// answers a second where direct calls got 25,010. Steps of engines and answers
/// of tokens take far longer, so that for them the ratios decide.
const NOISE: f64 = 0.005;
/// What a limit keeps at least when it shrinks for the pace.
const HALF: f64 = 0.5;
/// What a limit keeps when work waits in front of the engine.
const CROWDED: f64 = 0.9;
/// How long a best pace counts. Two windows are kept, so the best is at least
/// this and at most twice this old: longer than a burst, shorter than an hour's drift.
const WINDOW: Duration = Duration::from_mins(1);

/// The adaptive limit of one upstream.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// The limit, of which the whole part counts.
    value: f64,
    /// The best pace of the window now and of the one before.
    best: [f64; 2],
    /// When the window now ends.
    until: Duration,
    /// Attempts that must end before the limit may shrink again: those in flight
    /// when it shrank tell nothing about the new limit.
    settle: u32,
    /// Whether no sign of the batch's size was seen yet: the limit doubles then.
    doubling: bool,
}

impl Limit {
    /// A limit that nothing is known about yet.
    #[must_use]
    pub fn new(initial: u32) -> Self {
        Self {
            value: f64::from(initial),
            best: [f64::INFINITY; 2],
            until: Duration::ZERO,
            settle: 0,
            doubling: true,
        }
    }

    /// The most attempts in flight.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.value
    }

    /// Learns from an attempt that ran: the mean pace now, the attempt's work, and
    /// how many were in flight with it.
    pub fn learn(&mut self, now: Duration, pace: f64, work: f64, in_flight: u32, most: u32) {
        self.remember(now, pace);
        let best = self.best[0].min(self.best[1]);
        let noise = best + NOISE / work.max(f64::MIN_POSITIVE);
        let near = (NEAR * best).max(noise);
        let worse = (WORSE * best).max(noise);
        self.settle = self.settle.saturating_sub(1);
        self.doubling &= pace < near;
        if pace > worse {
            if self.settle == 0 {
                let keep = (worse / pace).max(HALF);
                self.value = (self.value * keep).max(1.0);
                self.settle = in_flight;
            }
        } else if pace < near && f64::from(in_flight) + 1.0 > self.value {
            let more = if self.doubling { 1.0 } else { 1.0 / self.value };
            self.value = (self.value + more).min(f64::from(most));
        }
    }

    /// Starts over from one attempt, for an upstream that comes back. What was
    /// its best pace still holds, so it grows no further than that allows.
    pub fn restart(&mut self) {
        self.value = 1.0;
        self.settle = 0;
        self.doubling = true;
    }

    /// Learns from a load report that work waits in front of the engine: its
    /// batch is full, so what is above it only waits there instead of here.
    pub fn crowd(&mut self) {
        self.value = (self.value * CROWDED).max(1.0);
    }

    /// Keeps the best pace of the last two windows.
    fn remember(&mut self, now: Duration, pace: f64) {
        // A clock that jumped back would leave a window that never ends.
        if now >= self.until || self.until.saturating_sub(now) > WINDOW {
            self.best = [f64::INFINITY, self.best[0]];
            self.until = now.saturating_add(WINDOW);
        }
        self.best[0] = self.best[0].min(pace);
    }
}
