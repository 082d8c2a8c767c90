//! Limits that upstreams name in their answers.
//!
//! A limit applies to the requests of all entries together: first ones, those that are sent
//! again and those that resume a stream. Each entry keeps to its share.

use std::time::Duration;

use verbenaspool_state::rate_limit::RateLimit;

use super::{Dispatcher, upstream::Upstream};
use crate::rate_limit::Pacer;

/// How long an upstream with a limit gets nothing if the number of entries is unknown: about
/// as long as it takes to find them.
const UNKNOWN_SHARE_WAIT: Duration = Duration::from_secs(1);

/// How long an agent that granted nothing because of a limit isn't asked at most.
const MAX_PAUSE: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Records the limit of an upstream. Returns whether it changed.
    pub fn record_rate_limit(&mut self, now: Duration, id: &str, limit: RateLimit) -> bool {
        let random = [self.random(), self.random()];
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        let was_limited = upstream.rate_limit.per_second.is_some();
        let changed = upstream.rate_limit.update(limit);
        if changed && !was_limited {
            upstream.pacer = Pacer::start(now, random);
        }
        changed
    }

    /// The limit on requests per second of an upstream, if it names one.
    #[must_use]
    pub fn rate_limit(&self, id: &str) -> Option<f64> {
        self.upstreams.get(id)?.rate_limit.per_second
    }

    /// Records for how long an upstream's agent grants nothing because of a limit.
    pub fn record_agent_wait(&mut self, now: Duration, id: &str, wait: Option<Duration>) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.paused_until = now + wait.unwrap_or_default().min(MAX_PAUSE);
        }
    }

    /// How long an upstream takes no request of this entry because of its limit.
    pub(super) fn rate_limit_wait(&self, now: Duration, upstream: &Upstream) -> Duration {
        let pause = upstream.paused_until.saturating_sub(now);
        let Some(limit) = upstream.rate_limit.per_second else {
            return pause;
        };
        let wait = |entries| upstream.pacer.wait(now, limit, entries);
        self.sharing_entries
            .map_or(UNKNOWN_SHARE_WAIT, wait)
            .max(pause)
    }
}

impl Upstream {
    /// Records a request, if the upstream limits them. `random` is in [0, 1).
    pub(super) fn record_rate_limited_request(&mut self, now: Duration, random: f64) {
        if self.rate_limit.per_second.is_some() {
            self.pacer.record_share(now, random);
        }
    }
}
