//! Detects that the rank's group has stopped making passes.
//!
//! Load: a group whose passes stop although it reports itself complete, for example
//! because a pass is held at a rank on an unreachable instance, or because a rank has
//! crashed and isn't detected yet. Requests sent to it would wait until their callers
//! leave, so the group is reported to entries as incomplete.

use std::time::Duration;

/// Number of recent pass times without a pass after which a group counts as stalled.
const MAX_MISSED_PASSES: u32 = 5;

/// Minimum time without a pass after which a group counts as stalled. Map changes hold
/// passes for less than that.
const MIN_STALL_TIME: Duration = Duration::from_millis(400);

/// Weight of the newest measurement in the moving average of the pass time.
const NEWEST_WEIGHT: f64 = 0.3;

/// Passes of the rank's group, according to the rank's reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    /// The latest pass that the rank has begun.
    step: u64,
    /// When `step` last changed, or when the rank last was idle.
    step_changed_at: Duration,
    /// Moving average of the time between passes.
    pass_time: Duration,
}

impl Progress {
    /// Records the latest pass that the rank has begun, and whether the rank has requests.
    /// An idle group makes no passes.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_agent::direct::progress::Progress;
    ///
    /// let mut progress = Progress::default();
    /// progress.observe(Duration::from_secs(1), 7, true);
    /// assert!(!progress.is_stalled(Duration::from_millis(1_200)));
    /// assert!(progress.is_stalled(Duration::from_millis(1_500)));
    /// ```
    pub fn observe(&mut self, now: Duration, step: u64, busy: bool) {
        if step == self.step && busy {
            return;
        }
        let passes = step.saturating_sub(self.step);
        // The first report, a report of an idle rank and a restarted rank don't yield a pass
        // time.
        if busy && self.step > 0 && passes > 0 {
            let passes = u32::try_from(passes).unwrap_or(u32::MAX);
            // Limited, so that a stall doesn't count as a pass time. Below the limit a
            // long pass is taken into account, since it may be the first of many.
            let pass_time = self.time_without_pass(now).min(self.stall_time() * 2) / passes;
            self.pass_time =
                self.pass_time.mul_f64(1.0 - NEWEST_WEIGHT) + pass_time.mul_f64(NEWEST_WEIGHT);
        }
        self.step = step;
        self.step_changed_at = now;
    }

    /// Time for which the group has begun no pass although the rank has requests.
    #[must_use]
    pub fn time_without_pass(&self, now: Duration) -> Duration {
        now.saturating_sub(self.step_changed_at)
    }

    /// Whether the group counts as stalled.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.time_without_pass(now) >= self.stall_time()
    }

    /// Time without a pass after which the group counts as stalled.
    fn stall_time(&self) -> Duration {
        (self.pass_time * MAX_MISSED_PASSES).max(MIN_STALL_TIME)
    }
}

#[cfg(test)]
mod tests;
