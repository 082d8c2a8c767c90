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
const RECENT_PACE_WINDOW: Duration = Duration::from_millis(200);

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
    mean: Option<(f64, Duration)>,
    /// The same of the last few passes.
    recent: Option<(f64, Duration)>,
    /// The highest that this was lately, and when.
    peak: (f64, Duration),
}

/// Blends a new ratio into a pace that was learnt at some time.
#[must_use]
fn blend(pace: f64, recorded_at: Duration, now: Duration, ratio: f64, window: Duration) -> f64 {
    let ratio = ratio.min(MAX_PACE);
    let age = now.saturating_sub(recorded_at).as_secs_f64() / window.as_secs_f64();
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
    /// let mut pace = PassPace::default();
    /// pace.record(Duration::ZERO, 2.0);
    /// assert!((pace.pace(Duration::ZERO, 1.0) - 2.0).abs() < 1e-9);
    /// ```
    pub fn record(&mut self, now: Duration, ratio: f64) {
        let (pace, at) = self.mean.unwrap_or((ratio.min(MAX_PACE), now));
        self.mean = Some((blend(pace, at, now, ratio, PACE_WINDOW), now));
        if ratio > MAX_SHIFT_PACE {
            return;
        }
        let (recent, at) = self.recent.unwrap_or((ratio, now));
        let recent = blend(recent, at, now, ratio, RECENT_PACE_WINDOW);
        self.recent = Some((recent, now));
        let peak = self.peak(now);
        if recent >= peak * PEAK_RENEWAL_RATIO {
            self.peak = (recent.max(peak * PEAK_RENEWAL_RATIO), now);
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
    /// let mut pace = PassPace::default();
    /// pace.record(Duration::ZERO, 2.0);
    /// pace.record(Duration::from_secs(2), 1.0);
    /// assert!(pace.peak(Duration::from_secs(3)) > 1.9);
    /// assert!(pace.peak(Duration::from_secs(20)) < 1.1);
    /// ```
    #[must_use]
    pub fn peak(&self, now: Duration) -> f64 {
        let (peak, at) = self.peak;
        let expired = now.saturating_sub(at).saturating_sub(PEAK_HOLD_TIME);
        let remaining = (-expired.as_secs_f64() / PEAK_DECAY_TIME.as_secs_f64()).exp();
        let recent = self.recent.map_or(0.0, |(recent, _)| recent).min(peak);
        recent + (peak - recent) * remaining
    }

    /// The pace of the last few passes since a time; nothing where none was seen.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::pass_pace::PassPace;
    ///
    /// let mut pace = PassPace::default();
    /// pace.record(Duration::from_secs(1), 2.0);
    /// assert_eq!(pace.recent_since(Duration::from_secs(1)), Some(2.0));
    /// assert_eq!(pace.recent_since(Duration::from_secs(2)), None);
    /// ```
    #[must_use]
    pub fn recent_since(&self, since: Duration) -> Option<f64> {
        let (recent, at) = self.recent?;
        (at >= since).then_some(recent)
    }

    /// The pace to reckon with; that of all groups where this one's is old.
    #[must_use]
    pub fn pace(&self, now: Duration, fallback: f64) -> f64 {
        match self.mean {
            Some((pace, at)) if now.saturating_sub(at) < PACE_WINDOW => pace,
            _ => fallback,
        }
    }
}
