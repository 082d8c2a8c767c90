//! How many retries are allowed.
//!
//! Load: upstreams that fail because they are overloaded. Without a budget each
//! failure adds a request, the load grows with the failures, and the service
//! stays down after the cause is gone.

/// Retries that a customer may save up. Ten cover one upstream's loss at today's
/// size; more would be a burst of their own.
const MAX_CUSTOMER_RETRIES: f64 = 10.0;

/// Retries allowed, earned as a part of first attempts.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// Retries that may be made now.
    available: f64,
    /// Retries that may be saved up.
    max: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(MAX_CUSTOMER_RETRIES)
    }
}

impl RetryBudget {
    /// A budget that has saved up all it may.
    #[must_use]
    pub fn new(max: f64) -> Self {
        Self {
            available: max,
            max,
        }
    }

    /// Earns the part of a retry that one first attempt allows.
    pub fn earn(&mut self, ratio: f64) {
        self.available = (self.available + ratio).min(self.max);
    }
}

/// Takes one retry off two budgets, if both have one.
pub fn try_spend(customer: &mut RetryBudget, service: &mut RetryBudget) -> bool {
    let allowed = customer.available >= 1.0 && service.available >= 1.0;
    if allowed {
        customer.available -= 1.0;
        service.available -= 1.0;
    }
    allowed
}

#[cfg(test)]
mod tests;
