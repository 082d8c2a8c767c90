//! Detects customers that send far more than they usually do.
//!
//! When one of forty customers sends many times its usual rate for some seconds, it would
//! take the slots of all, and requests of every customer would be rejected alike. Requests
//! beyond 1.5 times a customer's usual rate are therefore only placed if upstreams have
//! spare capacity after all others are placed. Its usual part is served as before. If all
//! customers send more, each exceeds its usual rate by as much as the others, and none is
//! held back.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

/// Time constant of a customer's usual rate.
const USUAL_RATE_WINDOW: Duration = Duration::from_secs(30);

/// Time constant of a customer's current rate.
const CURRENT_RATE_WINDOW: Duration = Duration::from_secs(2);

/// How many times its usual rate a customer may send without being held back.
const EXCESS_RATIO: f64 = 1.5;

/// Requests in [`CURRENT_RATE_WINDOW`] that are allowed in any case: those of small
/// customers arrive at random, and an entry only sees a part of them.
const MIN_ALLOWED_REQUESTS: f64 = 2.0;

/// The most customers that are tracked.
const MAX_TRACKED_CUSTOMERS: usize = 4_096;

/// Requests for one service at one entry, of one customer or of all.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    /// Requests over the long window, with older ones weighing less.
    long_term: f64,
    /// Requests over the short window: all of them, and those within the limit.
    recent: f64,
    within_limit: f64,
    updated_at: Duration,
}

impl Rate {
    /// Counts a request. Returns how many requests usually arrive in the short window.
    /// `observed_secs` is the part of the long window that was observed.
    fn count(&mut self, now: Duration, observed_secs: f64) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let decay = (-age / CURRENT_RATE_WINDOW.as_secs_f64()).exp();
        self.recent = self.recent * decay + 1.0;
        self.within_limit *= decay;
        self.long_term *= (-age / USUAL_RATE_WINDOW.as_secs_f64()).exp();
        let usual = self.long_term / observed_secs * CURRENT_RATE_WINDOW.as_secs_f64();
        self.long_term += 1.0;
        usual
    }
}

/// The request rates of a service's customers.
#[derive(Debug, Default)]
pub struct Rates {
    by_customer: BTreeMap<Rc<str>, Rate>,
    all: Rate,
    /// When the first request arrived.
    started_at: Option<Duration>,
}

impl Rates {
    /// Records a request. Returns whether it exceeds its customer's usual rate.
    ///
    /// When another entry stops or a zone is left, its callers come to this entry, and all
    /// customers send more at once. A customer's limit therefore grows with the rate of the
    /// others.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::customer_rate::Rates;
    ///
    /// let mut rates = Rates::default();
    /// let mut observe = |ms, name: &str| rates.observe(Duration::from_millis(ms), &name.into());
    /// for number in 0..100 {
    ///     assert!(!observe(number * 200, "a") && !observe(number * 200, "b"), "five a second");
    /// }
    /// assert!((0..100).any(|number| observe(20_000 + number * 10, "a")), "a hundred a second");
    /// ```
    pub fn observe(&mut self, now: Duration, customer: &Rc<str>) -> bool {
        let started_at = *self.started_at.get_or_insert(now);
        // An entry that has just started has only observed a part of the long window.
        let observed_secs = now
            .saturating_sub(started_at)
            .max(CURRENT_RATE_WINDOW)
            .as_secs_f64();
        let observed_secs = USUAL_RATE_WINDOW.as_secs_f64()
            * (1.0 - (-observed_secs / USUAL_RATE_WINDOW.as_secs_f64()).exp());
        let all_usual = self.all.count(now, observed_secs);
        if self.by_customer.len() >= MAX_TRACKED_CUSTOMERS
            && !self.by_customer.contains_key(customer)
        {
            self.evict_oldest();
        }
        let rate = self.by_customer.entry(customer.clone()).or_default();
        let usual = rate.count(now, observed_secs);
        let others = (all_usual - usual).max(1.0);
        let growth = ((self.all.recent - rate.recent) / others).max(1.0);
        let over_limit =
            rate.within_limit + 1.0 > EXCESS_RATIO * growth * usual + MIN_ALLOWED_REQUESTS;
        if !over_limit {
            rate.within_limit += 1.0;
        }
        over_limit
    }

    /// Forgets the customer that hasn't sent a request for the longest time.
    fn evict_oldest(&mut self) {
        let oldest = self
            .by_customer
            .iter()
            .min_by_key(|(_, rate)| rate.updated_at);
        if let Some(customer) = oldest.map(|(customer, _)| customer.clone()) {
            self.by_customer.remove(&customer);
        }
    }
}
