//! How many retries are allowed.
//!
//! Load: upstreams that fail because they are overloaded. Without a budget each
//! failure adds a request, the load grows with the failures, and the service
//! stays down after the cause is gone.

/// Retries that may be saved up. Ten cover one upstream's loss at today's size;
/// more would be a burst of their own.
const MOST: f64 = 10.0;

/// Retries allowed, earned as a part of first attempts.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Retries that may be made now.
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: MOST }
    }
}

impl Budget {
    /// Earns the part of a retry that one first attempt allows.
    pub fn earn(&mut self, ratio: f64) {
        self.saved = (self.saved + ratio).min(MOST);
    }

    /// Takes one retry, if there is one.
    ///
    /// ```
    /// let mut budget = verbenaspool_policy::budget::Budget::default();
    /// assert!((0..10).all(|_| budget.spend()) && !budget.spend());
    /// ```
    pub fn spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
