//! Limits the number of retries.
//!
//! When upstreams fail because they are overloaded, unlimited retries add a request for
//! each failure: the load grows with the failures, and the service stays down after the
//! cause is gone.

/// The most retries that a customer's budget holds. Ten cover the loss of one upstream
/// at the present size of deployments; more would be a burst in itself.
const MAX_CUSTOMER_RETRIES: f64 = 10.0;

/// A budget of retries that grows by a fraction of first attempts.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Retries available now.
    available: f64,
    /// The most retries that may be available.
    max: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(MAX_CUSTOMER_RETRIES)
    }
}

impl Budget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(max: f64) -> Self {
        Self {
            available: max,
            max,
        }
    }

    /// Adds the fraction of a retry that one first attempt earns.
    pub fn earn(&mut self, ratio: f64) {
        self.available = (self.available + ratio).min(self.max);
    }
}

/// Takes one retry from both budgets if both have one.
pub fn try_spend(customer: &mut Budget, service: &mut Budget) -> bool {
    let allowed = customer.available >= 1.0 && service.available >= 1.0;
    if allowed {
        customer.available -= 1.0;
        service.available -= 1.0;
    }
    allowed
}

#[cfg(test)]
mod tests;
