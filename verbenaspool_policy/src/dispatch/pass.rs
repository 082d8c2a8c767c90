//! How long passes of a group take, learnt from the events that pass through.
//!
//! The configuration tells what a pass takes on even ranks. What it takes in
//! truth depends on which experts are in demand and how they are placed, which
//! changes within seconds, and on slow ranks. All of that shows in the pauses
//! between events: their ratio to the pass by the configuration is the pace.

use std::time::Duration;

/// The pace of engines of which nothing is known: experts in turn on the ranks,
/// with the popularity that was measured, make passes nearly three times longer.
pub const UNKNOWN: f64 = 2.5;

/// How fast older pauses are forgotten. Popularity shifts every 3 to 5 s and
/// must be followed well within that; a second holds some ten passes.
const MEMORY: Duration = Duration::from_secs(1);

/// The weight of one pause at least, so that the first ones count.
const LEAST: f64 = 0.04;

/// Pauses this many times longer than usual are stalls, which say nothing of
/// the next pass.
const STALL: f64 = 12.0;

/// The pace of one group.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pass {
    /// The pace, where it is known, and when it was last learnt.
    learnt: Option<(f64, Duration)>,
}

/// Blends a new ratio into a pace that was learnt at some time.
#[must_use]
fn blend(pace: f64, learnt: Duration, now: Duration, ratio: f64) -> f64 {
    let ratio = ratio.min(STALL);
    let age = now.saturating_sub(learnt).as_secs_f64() / MEMORY.as_secs_f64();
    let weight = (1.0 - (-age).exp()).max(LEAST);
    pace + (ratio - pace) * weight
}

impl Pass {
    /// Learns from a pause, given as a ratio to the pass by the configuration.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::pass::Pass;
    ///
    /// let mut pass = Pass::default();
    /// pass.learn(Duration::ZERO, 2.0);
    /// assert!((pass.pace(Duration::ZERO, 1.0) - 2.0).abs() < 1e-9);
    /// ```
    pub fn learn(&mut self, now: Duration, ratio: f64) {
        let (pace, at) = self.learnt.unwrap_or((ratio.min(STALL), now));
        self.learnt = Some((blend(pace, at, now, ratio), now));
    }

    /// The pace to reckon with; that of all groups where this one's is old.
    #[must_use]
    pub fn pace(&self, now: Duration, all: f64) -> f64 {
        match self.learnt {
            Some((pace, at)) if now.saturating_sub(at) < MEMORY => pace,
            _ => all,
        }
    }
}
