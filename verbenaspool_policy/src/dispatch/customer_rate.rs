//! Whether a customer sends far more than it usually does.
//!
//! Load: one customer of forty sends many times its usual for some seconds. Without this
//! it takes the slots of all, and everybody's requests are refused alike, those of
//! customers who do as always too. So what a customer sends beyond half more than its
//! usual is placed only as long as upstreams have room to spare, once the others are
//! placed; its usual part is served as before. Where all customers send more, each is as
//! far beyond its usual as the others, and none is held back.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

/// How fast it is forgotten what a customer usually sends.
const USUAL_RATE_WINDOW: Duration = Duration::from_secs(30);

/// Over which time it is counted what a customer sends now.
const CURRENT_RATE_WINDOW: Duration = Duration::from_secs(2);

/// How many times its usual a customer may send and be served like the others.
const EXCESS_RATIO: f64 = 1.5;

/// Requests in that time that anybody may send: those of small customers come by chance,
/// and an entry sees a part of them only.
const MIN_ALLOWED_REQUESTS: f64 = 2.0;

/// CustomerRates that are remembered at most.
const MAX_TRACKED_CUSTOMERS: usize = 4_096;

/// Requests to one service that come to one entry, of one customer or of all.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    /// Over a long time, older ones weighing less.
    long_term: f64,
    /// Lately: all, and those that were taken as usual ones.
    recent: f64,
    within_limit: f64,
    updated_at: Duration,
}

impl Rate {
    /// Counts a request; tells how many usually come in the short time, given how much of
    /// the long one was seen.
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

/// What customers send.
#[derive(Debug, Default)]
pub struct CustomerRates {
    rates: BTreeMap<Rc<str>, Rate>,
    all: Rate,
    /// When the first request came.
    started_at: Option<Duration>,
}

impl CustomerRates {
    /// Takes in a request; tells whether it is beyond what its customer usually sends.
    ///
    /// Callers come to other entries where one stops or a zone is left, so that all
    /// customers of an entry send more at once. What the others send more, each may.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::customer_rate::CustomerRates;
    ///
    /// let mut rates = CustomerRates::default();
    /// let mut observe = |ms, name: &str| rates.observe(Duration::from_millis(ms), &name.into());
    /// for number in 0..100 {
    ///     assert!(!observe(number * 200, "a") && !observe(number * 200, "b"), "five a second");
    /// }
    /// assert!((0..100).any(|number| observe(20_000 + number * 10, "a")), "a hundred a second");
    /// ```
    pub fn observe(&mut self, now: Duration, customer: &Rc<str>) -> bool {
        let started_at = *self.started_at.get_or_insert(now);
        // An entry that has just started has seen a part of the long time only.
        let observed_secs = now
            .saturating_sub(started_at)
            .max(CURRENT_RATE_WINDOW)
            .as_secs_f64();
        let observed_secs = USUAL_RATE_WINDOW.as_secs_f64()
            * (1.0 - (-observed_secs / USUAL_RATE_WINDOW.as_secs_f64()).exp());
        let all_usual = self.all.count(now, observed_secs);
        if self.rates.len() >= MAX_TRACKED_CUSTOMERS && !self.rates.contains_key(customer) {
            self.evict_oldest();
        }
        let rate = self.rates.entry(customer.clone()).or_default();
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

    /// Forgets the customer that was silent for longest.
    fn evict_oldest(&mut self) {
        let oldest = self.rates.iter().min_by_key(|(_, rate)| rate.updated_at);
        if let Some(customer) = oldest.map(|(customer, _)| customer.clone()) {
            self.rates.remove(&customer);
        }
    }
}
