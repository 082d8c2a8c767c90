//! Limits that upstreams name in their answers.
//!
//! A limit applies to the requests of all entries together: first ones, those that are sent
//! again and those that resume a stream. The agent of a rank counts the requests that it grants;
//! entries tell it the limit. To an upstream without an agent, or whose agent doesn't answer,
//! each entry sends its share.

use std::time::Duration;

use verbenaspool_state::rate_limit::RateLimit;

use super::{Dispatcher, upstream::Upstream};
use crate::rate_limit::Pacer;

/// How long an upstream with a limit gets nothing if the number of entries is unknown: about
/// as long as it takes to find them.
const UNKNOWN_SHARE_WAIT: Duration = Duration::from_secs(1);

/// The part of its share that an entry takes if it doesn't reach a rank's agent, which goes on to
/// grant the whole limit to others.
const UNGRANTED_SHARE_RATIO: f64 = 0.5;

/// How long an agent that granted nothing because of a limit isn't asked at most. Another entry
/// may have learned meanwhile that the limit has ended.
const MAX_PAUSE: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Records the limit of an upstream. Returns whether it changed.
    pub fn record_rate_limit(&mut self, now: Duration, id: &str, limit: RateLimit) -> bool {
        let random = [self.random(), self.random()];
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        let was_limited = upstream.max_rate().is_some();
        let changed = upstream.rate_limit.get_or_insert_default().update(limit);
        if changed && !was_limited {
            upstream.pacer = Pacer::start(now, random);
        }
        changed
    }

    /// The limit of an upstream by its last answer, if there was one.
    #[must_use]
    pub fn rate_limit(&self, id: &str) -> Option<RateLimit> {
        self.upstreams.get(id)?.rate_limit
    }

    /// Records for how long an upstream's agent grants nothing because of a limit; `None` if the
    /// agent doesn't keep to the limits that answers name.
    pub fn record_agent_wait(&mut self, now: Duration, id: &str, wait: Option<Duration>) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.agent_paces = wait.is_some();
            upstream.paused_until = now + wait.unwrap_or_default().min(MAX_PAUSE);
        }
    }

    /// How long an upstream takes no request of this entry because of its limit.
    pub(super) fn rate_limit_wait(&self, now: Duration, upstream: &Upstream) -> Duration {
        let Some(limit) = upstream.max_rate() else {
            return upstream.paused_until.saturating_sub(now);
        };
        let asks_agent = upstream.has_fresh_load(now) && !upstream.is_agent_unresponsive(now);
        if asks_agent && upstream.agent_paces {
            return upstream.paused_until.saturating_sub(now);
        }
        let limit = if self.has_agents() {
            limit * UNGRANTED_SHARE_RATIO
        } else {
            limit
        };
        let wait = |entries| upstream.pacer.wait(now, limit, entries);
        self.sharing_entries.map_or(UNKNOWN_SHARE_WAIT, wait)
    }
}

impl Upstream {
    /// The limit on its requests per second, if it names one.
    pub(super) fn max_rate(&self) -> Option<f64> {
        self.rate_limit?.per_second
    }

    /// Records a request, if the upstream limits them. `random` is in [0, 1).
    pub(super) fn record_rate_limited_request(&mut self, now: Duration, random: f64) {
        if self.max_rate().is_some() {
            self.pacer.record_share(now, random);
        }
    }
}
