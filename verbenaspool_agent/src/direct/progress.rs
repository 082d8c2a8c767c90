//! Whether the rank's group makes passes.
//!
//! Load: a group whose passes stop while it counts as open, as when a pass is held at a rank
//! whose instance doesn't answer, or until a rank that crashed is found missing. What is
//! sent there meanwhile waits until its caller leaves, so entries hear of it like of a group
//! that is broken.

use std::time::Duration;

/// Passes, as long as they were lately, without which a group counts as stalled.
const MAX_MISSED_PASSES: u32 = 5;

/// The least time without a pass after which a group counts as stalled. Changes of map hold
/// passes for less.
const MIN_STALL_TIME: Duration = Duration::from_millis(400);

/// The weight of the last pass in the mean time that passes take.
const NEWEST_WEIGHT: f64 = 0.3;

/// The passes of the rank's group, as the rank reports them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    /// The last pass that the rank began.
    step: u64,
    /// Since when that is the last, while the rank has requests.
    step_changed_at: Duration,
    /// How long passes take lately.
    pass_time: Duration,
}

impl Progress {
    /// Takes in the last pass that the rank began, and whether it has requests. An idle group
    /// makes no passes.
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
        // The first reading, an idle time and a rank that started anew tell of no pass.
        if busy && self.step > 0 && passes > 0 {
            let passes = u32::try_from(passes).unwrap_or(u32::MAX);
            // A stall is no pass; one long pass may be the first of many.
            let pass_time = self.time_without_pass(now).min(self.stall_time() * 2) / passes;
            self.pass_time =
                self.pass_time.mul_f64(1.0 - NEWEST_WEIGHT) + pass_time.mul_f64(NEWEST_WEIGHT);
        }
        self.step = step;
        self.step_changed_at = now;
    }

    /// For how long the group has begun no pass though the rank has requests.
    #[must_use]
    pub fn time_without_pass(&self, now: Duration) -> Duration {
        now.saturating_sub(self.step_changed_at)
    }

    /// Whether the group has stopped, as far as passes tell.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.time_without_pass(now) >= self.stall_time()
    }

    /// How long no pass begins before the group counts as stalled.
    fn stall_time(&self) -> Duration {
        (self.pass_time * MAX_MISSED_PASSES).max(MIN_STALL_TIME)
    }
}

#[cfg(test)]
mod tests;
