//! Estimates how long passes of a group take, from the time between events.
//!
//! The configuration gives the pass time for evenly loaded ranks. The actual pass time also
//! depends on slow ranks, and on which experts are in demand and where they are placed,
//! which changes within seconds. The ratio of the time between two events to the configured
//! pass time is called the pace.

use std::time::Duration;

/// The pace assumed for a group without samples. With experts placed round-robin, passes
/// take several times longer than with evenly loaded ranks.
pub const INITIAL_PACE: f64 = 2.5;

/// Time constant of the mean pace, well below the time between shifts of expert popularity.
const PACE_WINDOW: Duration = Duration::from_secs(1);

/// The minimum weight of a sample, so that the first ones count.
const MIN_SAMPLE_WEIGHT: f64 = 0.04;

/// Higher samples are stalls, which say nothing about the next pass. They are capped.
const MAX_PACE: f64 = 12.0;

/// Time constant of the recent pace, from which the peak is taken. It covers a few passes,
/// so that a shift of expert popularity shows but a single pass with many prompts doesn't.
const RECENT_PACE_WINDOW: Duration = Duration::from_millis(200);

/// How long the peak pace applies in full. Popularity can be expected to shift again within
/// this time.
const PEAK_HOLD_TIME: Duration = Duration::from_secs(5);

/// A pace of at least this share of the peak renews it.
const PEAK_RENEWAL_RATIO: f64 = 0.9;

/// Time constant by which the peak decays after [`PEAK_HOLD_TIME`].
const PEAK_DECAY_TIME: Duration = Duration::from_secs(2);

/// The highest pace caused by a shift of popularity. Experts placed round-robin make passes
/// three times longer; anything above is a stall.
const MAX_SHIFT_PACE: f64 = 4.0;

/// The pace of one group, or of all groups.
#[derive(Debug, Clone, Copy, Default)]
pub struct PassPace {
    /// The mean pace, and when it was last updated.
    mean: Option<(f64, Duration)>,
    /// The pace of the last few passes, and when it was last updated.
    recent: Option<(f64, Duration)>,
    /// The recent peak of that pace, and when it was last reached or renewed.
    peak: (f64, Duration),
}

/// Updates an exponentially weighted mean with a new sample.
#[must_use]
fn blend(pace: f64, recorded_at: Duration, now: Duration, ratio: f64, window: Duration) -> f64 {
    let ratio = ratio.min(MAX_PACE);
    let age = now.saturating_sub(recorded_at).as_secs_f64() / window.as_secs_f64();
    let weight = (1.0 - (-age).exp()).max(MIN_SAMPLE_WEIGHT);
    pace + (ratio - pace) * weight
}

impl PassPace {
    /// Records a sample: the time between two events, divided by the configured pass time.
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

    /// The peak pace of the last few seconds; 0 without samples.
    ///
    /// Near saturation, expert popularity may shift every few seconds. Until the group's
    /// expert map follows, passes take nearly twice as long, and every stream that runs in
    /// that second has a late event. A group filled to the capacity of its usual passes has
    /// no answer on time then, whereas with slightly fewer streams all of them are.
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

    /// The pace of the last few passes, if one was seen at or after `since`.
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

    /// The mean pace, or `fallback` without a recent sample.
    #[must_use]
    pub fn pace(&self, now: Duration, fallback: f64) -> f64 {
        match self.mean {
            Some((pace, at)) if now.saturating_sub(at) < PACE_WINDOW => pace,
            _ => fallback,
        }
    }
}
