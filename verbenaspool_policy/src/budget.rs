//! How many retries are allowed.
//!
//! Load: upstreams that fail because they are overloaded. Without a budget each
//! failure adds a request, the load grows with the failures, and the service
//! stays down after the cause is gone.

/// Retries that a customer may save up. Ten cover one upstream's loss at today's
/// size; more would be a burst of their own.
const CUSTOMER: f64 = 10.0;

/// Retries allowed, earned as a part of first attempts.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Retries that may be made now.
    saved: f64,
    /// Retries that may be saved up.
    most: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(CUSTOMER)
    }
}

impl Budget {
    /// A budget that has saved up all it may.
    #[must_use]
    pub fn new(most: f64) -> Self {
        Self { saved: most, most }
    }

    /// Earns the part of a retry that one first attempt allows.
    pub fn earn(&mut self, ratio: f64) {
        self.saved = (self.saved + ratio).min(self.most);
    }
}

/// Takes one retry off two budgets, if both have one.
pub fn spend(own: &mut Budget, common: &mut Budget) -> bool {
    let allowed = own.saved >= 1.0 && common.saved >= 1.0;
    if allowed {
        own.saved -= 1.0;
        common.saved -= 1.0;
    }
    allowed
}

#[cfg(test)]
mod tests;
