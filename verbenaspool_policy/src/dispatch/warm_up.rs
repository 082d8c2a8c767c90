//! Requests to upstreams that warm up.
//!
//! The agent of a rank limits the requests that it grants, so an upstream with an agent gets
//! no others while it warms up. To an upstream without one, each entry sends its share.

use std::{rc::Rc, time::Duration};

use verbenaspool_state::route::WarmUp;

use super::{Dispatcher, upstream::Upstream};
use crate::warm_up::entry_share;

impl Dispatcher {
    /// Sets how the service's upstreams warm up.
    pub fn set_warm_up(&mut self, limits: Option<WarmUp>) {
        self.warm_up = limits;
    }

    /// Records at `reported_at` how much longer an upstream warms up. One that doesn't say is
    /// taken to have just started.
    pub fn record_warm_up(&mut self, reported_at: Duration, id: &str, left: Option<Duration>) {
        let duration = self.warm_up.map_or(Duration::ZERO, |w| w.duration);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.warm_up_until = reported_at + left.map_or(duration, |left| left.min(duration));
        }
    }

    /// How much longer an upstream warms up, and the limit on its requests per second, while
    /// it does.
    #[must_use]
    pub fn warm_up_left(&self, now: Duration, id: &str) -> Option<(Duration, f64)> {
        let upstream = self.upstreams.get(id)?;
        let limits = self.warm_up?;
        let left = upstream.warm_up_until.saturating_sub(now);
        (!left.is_zero()).then_some((left, limits.max_rate))
    }

    /// Whether a request may be sent to an upstream, as far as it warms up.
    pub(super) fn warm_up_allows(&self, now: Duration, id: &Rc<str>, upstream: &Upstream) -> bool {
        let Some(limits) = self.warm_up.filter(|_| now < upstream.warm_up_until) else {
            return true;
        };
        if self.has_agents() {
            return upstream.has_fresh_load(now) && !upstream.is_agent_unresponsive(now);
        }
        let share = self.sharing_entries.map_or(0, |entries| {
            entry_share(limits.max_rate, entries, &self.entry, id)
        });
        upstream.warm_up_window.allows(now, share)
    }
}

impl Upstream {
    /// Records a request, if the upstream warms up.
    pub(super) fn record_warm_up_request(&mut self, now: Duration) {
        if now < self.warm_up_until {
            self.warm_up_window.record(now);
        }
    }
}
