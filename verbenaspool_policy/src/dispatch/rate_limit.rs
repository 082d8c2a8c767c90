//! Limits that upstreams name in their answers.

use verbenaspool_state::rate_limit::RateLimit;

use super::Dispatcher;

impl Dispatcher {
    /// Records the limit of an upstream as of one of its answers. Returns whether it changed.
    pub fn record_rate_limit(&mut self, id: &str, limit: RateLimit) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream.is_some_and(|upstream| upstream.rate_limit.update(limit))
    }

    /// The limit on requests per second of an upstream, if it names one.
    #[must_use]
    pub fn rate_limit(&self, id: &str) -> Option<f64> {
        self.upstreams.get(id)?.rate_limit.per_second
    }
}
