//! How long an upstream takes for one unit of work.

/// Attempts that a mean pace remembers. Eight follow a burst within a second or
/// two at three attempts in flight; sixteen kept limits and waits behind it.
const WINDOW_ATTEMPTS: f64 = 8.0;

/// The mean time an upstream takes for one unit of work, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// Remembered seconds.
    seconds: f64,
    /// Remembered work.
    work: f64,
    /// Remembered attempts.
    attempts: f64,
}

impl Pace {
    /// Learns from an attempt. Weighing by work keeps the fixed part of short
    /// answers from passing for slowness.
    pub fn record(&mut self, seconds: f64, work: f64) {
        let keep = 1.0 - 1.0 / WINDOW_ATTEMPTS;
        self.seconds = self.seconds * keep + seconds;
        self.work = self.work * keep + work;
        self.attempts = self.attempts * keep + 1.0;
    }

    /// The pace in seconds a unit of work, once anything is known.
    #[must_use]
    pub fn mean(&self) -> Option<f64> {
        (self.work > 0.0).then(|| self.seconds / self.work)
    }

    /// About how many attempts the mean rests on, at most eight.
    #[must_use]
    pub fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Forgets all.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
