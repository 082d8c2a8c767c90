//! Upstreams that want no requests of this entry for a time that they name in a rejection.
//!
//! Load: an upstream in need rejects most requests. An ejection of a time of our own, which each
//! success ends, would go on sending it several requests a second, each of which costs its caller
//! an attempt. The time applies to this entry alone, so that entries don't exchange it.

use std::{rc::Rc, time::Duration};

use super::{Dispatcher, upstream::Upstream};

/// How much the clocks of an upstream and an entry may differ, and how much earlier than it says it
/// started an upstream may have answered. A backoff that was requested within this time before a
/// start may be that of the new start, whose entry in the registry came after its first answers.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Records when an upstream started, which ends the backoff that its predecessor under the same
    /// id requested.
    pub fn record_start(&mut self, id: &Rc<str>, started_at: Duration) {
        let before = started_at.saturating_sub(MAX_CLOCK_DIFFERENCE);
        self.backoffs.end_before(id, before);
    }

    /// Records that an upstream wants no requests of this entry for a time from now on.
    pub fn record_backoff(&mut self, now: Duration, id: &Rc<str>, time: Duration) {
        self.backoffs.record(now, id.clone(), time);
    }

    /// How much longer an upstream wants no requests of this entry.
    #[must_use]
    pub fn backoff_left(&self, now: Duration, id: &Rc<str>) -> Duration {
        self.backoffs.left(now, id)
    }

    /// How long an upstream takes no request of this entry, because of its limit or because it
    /// wants none.
    pub(super) fn upstream_wait(
        &self,
        now: Duration,
        id: &Rc<str>,
        upstream: &Upstream,
    ) -> Duration {
        self.rate_limit_wait(now, upstream)
            .max(self.backoff_left(now, id))
    }

    /// How long no upstream takes a request of this entry because of their limits or backoff;
    /// `None` if an upstream takes one as far as these matter, or none is available.
    pub(super) fn upstreams_wait(&self, now: Duration, excluded: &[Rc<str>]) -> Option<Duration> {
        // Most services have no such upstream, and the queue asks this for each request.
        let waits = |(id, upstream): (&Rc<str>, &Upstream)| {
            !self.upstream_wait(now, id, upstream).is_zero()
        };
        if !self.upstreams.iter().any(waits) {
            return None;
        }
        let usable = self.available(now).filter(|(id, _)| !excluded.contains(id));
        let waits = usable.map(|(id, upstream)| self.upstream_wait(now, id, upstream));
        waits.min().filter(|wait| !wait.is_zero())
    }
}
