//! How long passes of a group take, learnt from the events that pass through.
//!
//! The configuration tells what a pass takes on even ranks. What it takes in
//! truth depends on which experts are in demand and how they are placed, which
//! changes within seconds, and on slow ranks. All of that shows in the pauses
//! between events: their ratio to the pass by the configuration is the pace.

use std::time::Duration;

/// The pace of engines of which nothing is known: with experts in turn on the ranks,
/// passes take several times longer than on even ranks.
pub const INITIAL_PACE: f64 = 2.5;

/// Time constant of the mean pace, well below the time between shifts of popularity.
const PACE_WINDOW: Duration = Duration::from_secs(1);

/// The weight of one pause at least, so that the first ones count.
const MIN_SAMPLE_WEIGHT: f64 = 0.04;

/// Pauses this many times longer than usual are stalls, which say nothing of
/// the next pass.
const MAX_PACE: f64 = 12.0;

/// How fast older pauses are forgotten for the highest pace: it lasts some passes behind a
/// shift, and a single pass with many prompts is none.
const SHORT_PACE_WINDOW: Duration = Duration::from_millis(200);

/// How long the highest pace is reckoned with in full: popularity shifts again by then.
const PEAK_HOLD_TIME: Duration = Duration::from_secs(5);

/// The part of the highest pace from which on another one counts as high as well.
const PEAK_RENEWAL_RATIO: f64 = 0.9;

/// How fast it is forgotten after that.
const PEAK_DECAY_TIME: Duration = Duration::from_secs(2);

/// The highest ratio that a shift of popularity brings about. Experts in turn on the
/// ranks make passes three times longer; what lasts longer is a stall.
const MAX_SHIFT_PACE: f64 = 4.0;

/// The pace of one group.
#[derive(Debug, Clone, Copy, Default)]
pub struct PassPace {
    /// The pace, where it is known, and when it was last learnt.
    learnt: Option<(f64, Duration)>,
    /// The same of the last few passes.
    quick: Option<(f64, Duration)>,
    /// The highest that this was lately, and when.
    highest: (f64, Duration),
}

/// Blends a new ratio into a pace that was learnt at some time.
#[must_use]
fn blend(pace: f64, learnt: Duration, now: Duration, ratio: f64, memory: Duration) -> f64 {
    let ratio = ratio.min(MAX_PACE);
    let age = now.saturating_sub(learnt).as_secs_f64() / memory.as_secs_f64();
    let weight = (1.0 - (-age).exp()).max(MIN_SAMPLE_WEIGHT);
    pace + (ratio - pace) * weight
}

impl PassPace {
    /// Learns from a pause, given as a ratio to the pass by the configuration.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::pass_pace::PassPace;
    ///
    /// let mut pass = PassPace::default();
    /// pass.learn(Duration::ZERO, 2.0);
    /// assert!((pass.pace(Duration::ZERO, 1.0) - 2.0).abs() < 1e-9);
    /// ```
    pub fn learn(&mut self, now: Duration, ratio: f64) {
        let (pace, at) = self.learnt.unwrap_or((ratio.min(MAX_PACE), now));
        self.learnt = Some((blend(pace, at, now, ratio, PACE_WINDOW), now));
        if ratio > MAX_SHIFT_PACE {
            return;
        }
        let (quick, at) = self.quick.unwrap_or((ratio, now));
        let quick = blend(quick, at, now, ratio, SHORT_PACE_WINDOW);
        self.quick = Some((quick, now));
        let highest = self.highest(now);
        if quick >= highest * PEAK_RENEWAL_RATIO {
            self.highest = (quick.max(highest * PEAK_RENEWAL_RATIO), now);
        }
    }

    /// The highest pace of the last few seconds; 0 where nothing is known.
    ///
    /// Load: popularity that shifts each few seconds, near saturation. Until the group's
    /// map follows, passes take nearly twice as long, and every stream that runs in that
    /// second has a pause out of time. A group that is filled up to what usual passes
    /// bear has no answer in time then; with a little less in it all of them are.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::pass_pace::PassPace;
    ///
    /// let mut pass = PassPace::default();
    /// pass.learn(Duration::ZERO, 2.0);
    /// pass.learn(Duration::from_secs(2), 1.0);
    /// assert!(pass.highest(Duration::from_secs(3)) > 1.9);
    /// assert!(pass.highest(Duration::from_secs(20)) < 1.1);
    /// ```
    #[must_use]
    pub fn highest(&self, now: Duration) -> f64 {
        let (highest, at) = self.highest;
        let over = now.saturating_sub(at).saturating_sub(PEAK_HOLD_TIME);
        let left = (-over.as_secs_f64() / PEAK_DECAY_TIME.as_secs_f64()).exp();
        let usual = self.quick.map_or(0.0, |(quick, _)| quick).min(highest);
        usual + (highest - usual) * left
    }

    /// The pace of the last few passes since a time; nothing where none was seen.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::pass_pace::PassPace;
    ///
    /// let mut pass = PassPace::default();
    /// pass.learn(Duration::from_secs(1), 2.0);
    /// assert_eq!(pass.since(Duration::from_secs(1)), Some(2.0));
    /// assert_eq!(pass.since(Duration::from_secs(2)), None);
    /// ```
    #[must_use]
    pub fn since(&self, since: Duration) -> Option<f64> {
        let (quick, at) = self.quick?;
        (at >= since).then_some(quick)
    }

    /// The pace to reckon with; that of all groups where this one's is old.
    #[must_use]
    pub fn pace(&self, now: Duration, all: f64) -> f64 {
        match self.learnt {
            Some((pace, at)) if now.saturating_sub(at) < PACE_WINDOW => pace,
            _ => all,
        }
    }
}
