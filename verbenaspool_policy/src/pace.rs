//! An upstream's pace: the mean time it takes for one unit of work.

/// Attempts over which the mean is taken. Eight follow a burst within one or two
/// seconds at three attempts in flight; with 16, limits and queueing lagged behind it.
const WINDOW_ATTEMPTS: f64 = 8.0;

/// The mean time that an upstream takes for one unit of work, in seconds, with
/// exponential decay per attempt.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// The decayed sum of seconds.
    seconds: f64,
    /// The decayed sum of work.
    work: f64,
    /// The decayed number of attempts.
    attempts: f64,
}

impl Pace {
    /// Records an attempt. Weighting by work keeps the fixed part of short answers from
    /// counting as slowness.
    pub fn record(&mut self, seconds: f64, work: f64) {
        let keep = 1.0 - 1.0 / WINDOW_ATTEMPTS;
        self.seconds = self.seconds * keep + seconds;
        self.work = self.work * keep + work;
        self.attempts = self.attempts * keep + 1.0;
    }

    /// The pace in seconds per unit of work, once any work is recorded.
    #[must_use]
    pub fn mean(&self) -> Option<f64> {
        (self.work > 0.0).then(|| self.seconds / self.work)
    }

    /// The effective number of attempts in the mean, at most [`WINDOW_ATTEMPTS`].
    #[must_use]
    pub fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Discards all recorded attempts.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
