//! What is known of the load of upstreams: requests of this entry, what agents report, and what
//! other entries tell.

use std::{rc::Rc, time::Duration};

use super::{Dispatcher, upstream::Upstream};

/// How long an agent that didn't answer isn't asked again.
const AGENT_BACKOFF: Duration = Duration::from_millis(500);

/// The longest delay before a slot that another entry freed is used. It spreads the
/// reaction of the entries over several digests, which arrive about every 40 ms.
const SLOT_REUSE_DELAY: Duration = Duration::from_millis(160);

impl Dispatcher {
    /// Records how many requests an upstream has, as reported by its agent. Returns whether
    /// the report was accepted.
    ///
    /// Outdated and implausible reports are ignored.
    pub fn record_load(&mut self, now: Duration, id: &str, sequence: u64, requests: u32) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream.is_some_and(|upstream| upstream.record_load(now, sequence, requests))
    }

    /// Whether a slot must be reserved with the upstream's agent before a request is sent.
    #[must_use]
    pub fn needs_reservation(&self, now: Duration, id: &str) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| {
            upstream.has_fresh_load(now) && !upstream.is_agent_unresponsive(now)
        })
    }

    /// Ends a pending reservation: the upstream's agent kept a slot for a request of this
    /// entry, denied it, didn't answer, or wasn't asked.
    pub fn finish_reservation(&mut self, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.reserving = upstream.reserving.saturating_sub(1);
        }
    }

    /// Records that the upstream's agent didn't answer a reservation.
    pub fn record_agent_timeout(&mut self, now: Duration, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.agent_backoff_until = now + AGENT_BACKOFF;
        }
    }

    /// Sets how many requests other entries have in flight at an upstream, by their
    /// digests. Ignored while the upstream's agent reports its load, and set aside while the upstream
    /// itself has just told it.
    ///
    /// Every entry has requests queued and sees a freed slot at the same time. If all of
    /// them used it, four entries would place nine streams on an upstream that serves six
    /// on time. A decrease therefore takes effect after a random delay, different at each
    /// entry. The entry that freed the slot can use it immediately.
    pub fn set_peer_load(&mut self, now: Duration, id: &str, requests: u32) {
        let delay = SLOT_REUSE_DELAY.mul_f64(self.random());
        let upstream = self.upstreams.get_mut(id);
        let Some(upstream) = upstream.filter(|upstream| !upstream.has_fresh_load(now)) else {
            return;
        };
        if let Some((_, by_digests)) = &mut upstream.told_load {
            *by_digests = requests;
            return;
        }
        if requests >= upstream.peer_requests {
            upstream.peer_requests = requests;
            upstream.pending_decrease = None;
            return;
        }
        let until = upstream
            .pending_decrease
            .map_or(now + delay, |(_, until)| until);
        if now < until {
            upstream.pending_decrease = Some((requests, until));
        } else {
            upstream.peer_requests = requests;
            upstream.pending_decrease = None;
        }
    }

    /// Applies decreases of peer load whose delay has passed.
    pub(super) fn apply_pending_decreases(&mut self, now: Duration) {
        for upstream in self.upstreams.values_mut() {
            if let Some((requests, until)) = upstream.pending_decrease
                && now >= until
            {
                upstream.peer_requests = requests;
                upstream.pending_decrease = None;
            }
        }
    }

    /// Records an upstream's group, whether the group runs and the upstream's pace. Returns
    /// whether the group started or stopped running since the last report.
    pub fn record_status(
        &mut self,
        now: Duration,
        id: &str,
        group: u32,
        running: bool,
        pace: f64,
    ) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        upstream.group = group;
        upstream.pace = pace;
        upstream.status_at = now;
        let was_running = upstream.group_down_at.is_none();
        upstream.group_down_at = (!running).then_some(now);
        if running && !was_running {
            // Failures while the group was down say nothing about the upstream.
            upstream.health.forget();
            if let Some(circuit) = self.circuits.get_mut(&group) {
                circuit.close();
            }
        }
        was_running != running
    }

    /// Requests of this entry at each upstream whose load isn't reported by its agent.
    pub fn in_flight(&self, now: Duration) -> impl Iterator<Item = (&Rc<str>, u32)> {
        let unreported = move |u: &Upstream| u.own_requests > 0 && !u.has_fresh_load(now);
        let sending = self.upstreams.iter().filter(move |(_, u)| unreported(u));
        sending.map(|(id, upstream)| (id, upstream.own_requests))
    }
}
