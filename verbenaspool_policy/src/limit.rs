//! How many attempts an upstream takes at once from this entry.
//!
//! Load: offered work beyond what an upstream can do. Without a limit every
//! attempt is sent, all of them slow down together, and none meets its deadline;
//! with a fixed one capacity lies idle or is overrun as soon as it differs from
//! what the setting assumed.
//!
//! The limit grows while it is used and the pace stays near the best one seen,
//! and shrinks by a tenth when the pace is worse than [`WORSE`] times that. A
//! batching engine is no slower until its batch is full, so the pace tells where
//! that is; above [`WORSE`] a further attempt costs the others more than it gains.

use std::time::Duration;

/// Below this multiple of the best pace the limit may grow.
const NEAR: f64 = 1.3;
/// Above this multiple of the best pace the limit shrinks.
const WORSE: f64 = 1.6;
/// What a shrunk limit keeps.
const SHRINK: f64 = 0.9;
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
        }
    }

    /// The most attempts in flight.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.value
    }

    /// Learns from an attempt that ran: its own pace, the mean pace now, and how
    /// many were in flight with it.
    pub fn learn(&mut self, now: Duration, pace: f64, in_flight: u32, most: u32) {
        self.remember(now, pace);
        let best = self.best[0].min(self.best[1]);
        self.settle = self.settle.saturating_sub(1);
        if pace > WORSE * best {
            if self.settle == 0 {
                self.value = (self.value * SHRINK).max(1.0);
                self.settle = in_flight;
            }
        } else if pace < NEAR * best && f64::from(in_flight) + 1.0 > self.value {
            self.value = (self.value + 1.0 / self.value).min(f64::from(most));
        }
    }

    /// Keeps the best pace of the last two windows.
    fn remember(&mut self, now: Duration, pace: f64) {
        if now >= self.until {
            self.best = [f64::INFINITY, self.best[0]];
            self.until = now + WINDOW;
        }
        self.best[0] = self.best[0].min(pace);
    }
}
