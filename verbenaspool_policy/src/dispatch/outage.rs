//! How long requests wait while no upstream of a service runs, or just after upstreams have
//! returned.
//!
//! During an outage of seconds, such as one where the groups of a service lose a zone, new
//! requests are rejected, because their callers do better to retry. Retries wait for the
//! service to return, because most callers retry only once. When upstreams return, every
//! entry has a backlog and doesn't know yet what the others place, so each entry only uses
//! its own share until the first answers have ended.

use std::time::Duration;

use super::{Resumption, wait_queue::QueuedRequest};

/// The shortest recovery: groups make their first passes on an unbalanced expert map, and
/// an entry that has just started knows no service time.
const MIN_RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Whether the upstreams of a service run, and when the last outage ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outage {
    /// Whether no upstream runs.
    active: bool,
    /// When the last outage ended.
    ended_at: Option<Duration>,
}

impl Outage {
    /// Records whether any upstream runs now.
    pub fn observe(&mut self, now: Duration, available: bool) {
        if available && self.active {
            self.ended_at = Some(now);
        }
        self.active = !available;
    }

    /// When upstreams returned, while the service still recovers. Recovery lasts for one
    /// `service_time`, but at least until passes have settled.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::outage::Outage;
    ///
    /// let (second, mut outage) = (Duration::from_secs(1), Outage::default());
    /// outage.observe(second, false);
    /// outage.observe(second * 3, true);
    /// assert_eq!(outage.recovering_since(second * 4, second * 2), Some(second * 3));
    /// assert_eq!(outage.recovering_since(second * 6, second * 2), None);
    /// ```
    #[must_use]
    pub fn recovering_since(&self, now: Duration, service_time: Duration) -> Option<Duration> {
        let ended = self.ended_at.filter(|_| !self.active);
        ended.filter(|ended| now < *ended + service_time.max(MIN_RECOVERY_TIME))
    }

    /// Until when a request waits. `late_wait` is how long a late one waits for upstreams
    /// that have been running for long.
    #[must_use]
    pub fn wait_until(
        &self,
        now: Duration,
        waiting: &QueuedRequest,
        late_wait: Duration,
        service_time: Duration,
    ) -> Duration {
        if waiting.request.resumption != Resumption::None {
            return waiting.until;
        }
        if self.active {
            return if waiting.late { waiting.until } else { now };
        }
        if !waiting.late {
            return waiting.until.min(waiting.on_time_until);
        }
        let arrived_before = self.ended_at.is_some_and(|ended| waiting.queued_at < ended);
        if arrived_before || self.recovering_since(now, service_time).is_some() {
            waiting.until
        } else {
            waiting.until.min(waiting.queued_at + late_wait)
        }
    }
}
