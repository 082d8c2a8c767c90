//! How the dispatcher applies shares to its queue.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use super::{PeerId, SHORTAGE_TIME, ShareStatus, Shares, Usage, Weights, customer_id, id_of};
use crate::dispatch::{
    Dispatcher, Resumption, Verdict, capacity,
    upstream::Upstream,
    wait_queue::{QueuedRequest, Ticket, sort_key},
};

/// Whether a request can be held back for its customer's share. A stream that has started was
/// admitted before.
fn is_shared(waiting: &QueuedRequest) -> bool {
    waiting.request.resumption == Resumption::None
}

/// The customers and the work of queued requests.
fn waiting_work(waiting: &[QueuedRequest]) -> impl Iterator<Item = (u32, f64)> {
    let waiting = waiting.iter().map(|waiting| &waiting.request);
    waiting.map(|request| (id_of(request.customer.as_ref()), request.work))
}

/// The priorities of requests that can be on time, among those not over their share or among all.
fn priorities(waiting: &[(bool, QueuedRequest)], over: bool) -> BTreeSet<u8> {
    let waiting = waiting.iter();
    let waiting = waiting.filter(|(is_over, waiting)| !waiting.late && (over || !is_over));
    waiting
        .map(|(_, waiting)| waiting.request.priority)
        .collect()
}

impl Dispatcher {
    /// Sets the weights of customers, or `None` if capacity isn't divided among them.
    pub fn set_shares(&mut self, weights: Option<&Weights>) {
        match (weights, &mut self.shares) {
            (None, shares) => *shares = None,
            (Some(weights), Some(shares)) => {
                if shares.weights != *weights {
                    shares.weights = weights.clone();
                }
            }
            (Some(weights), shares) => {
                *shares = Some(Box::new(Shares {
                    weights: weights.clone(),
                    ..Shares::default()
                }));
            }
        }
    }

    /// Records a request that arrived, once however often it is queued.
    pub fn record_arrival(&mut self, now: Duration, customer: Option<&Rc<str>>, work: f64) {
        let service_time = self.service_time.estimate();
        if let Some(shares) = &mut self.shares {
            shares.record_arrival(now, id_of(customer), work, service_time);
        }
    }

    /// Ends the work in service of a request that was sent, if it hasn't ended before.
    pub fn finish_work(&mut self, ticket: Ticket) {
        if let Some(shares) = &mut self.shares {
            shares.record_finish(ticket);
        }
    }

    /// Whether a request that could be on time recently found no capacity at this entry.
    fn has_shortage(&self, now: Duration) -> bool {
        let last = self.last_shortage;
        last.is_some_and(|at| now.saturating_sub(at) < SHORTAGE_TIME)
    }

    /// Whether capacity is divided among customers now.
    #[must_use]
    pub fn shares_apply(&self, now: Duration) -> bool {
        let shares = self.shares.as_ref();
        shares.is_some_and(|shares| self.has_shortage(now) || shares.peer_shortage(now))
    }

    /// The usage to report to other entries; `None` without a shortage here or at a peer.
    ///
    /// Must be called a few times a second, also to end a shortage.
    pub fn usage(&mut self, now: Duration) -> Option<Usage> {
        if !self.shares_apply(now) {
            if let Some(shares) = &mut self.shares {
                shares.end_shortage();
            }
            return None;
        }
        let service_time = self.service_time.estimate();
        let shortage = self.has_shortage(now);
        let waiting = waiting_work(self.queue.as_slice());
        let shares = self.shares.as_ref()?;
        Some(shares.own.report(now, service_time, waiting, shortage))
    }

    /// Records the usage that another entry reports. Reports of one entry are ordered by its
    /// incarnation and their sequence numbers. Returns whether the report was accepted.
    pub fn record_usage(
        &mut self,
        now: Duration,
        peer: PeerId,
        order: (u64, u64),
        usage: Usage,
    ) -> bool {
        let shares = self.shares.as_mut();
        shares.is_some_and(|shares| shares.record_peer(now, peer, order, usage))
    }

    /// Ends the usage of entries that are no longer live.
    pub fn retain_usage(&mut self, is_live: impl Fn(PeerId) -> bool) {
        if let Some(shares) = &mut self.shares {
            shares.peers.retain(|peer, _| is_live(*peer));
        }
    }

    /// Whether a customer is at or over its share; `None` if shares don't apply.
    #[must_use]
    pub fn is_over_share(&self, now: Duration, customer: Option<&str>) -> Option<bool> {
        let shares = self.shares.as_ref().filter(|_| self.shares_apply(now))?;
        Some(shares.is_over(customer_id(customer)))
    }

    /// A summary of the shares; `None` if they aren't enabled.
    #[must_use]
    pub fn share_status(&self, now: Duration) -> Option<ShareStatus> {
        let shares = self.shares.as_ref()?;
        Some(ShareStatus {
            active: self.shares_apply(now),
            level: shares.level.level,
            over: shares.level.over,
            tracked: shares.own.tracked(),
            peers: shares.peers.len(),
        })
    }

    /// Whether a queued request comes after those of customers under their share.
    fn is_held_back(&self, waiting: &QueuedRequest) -> bool {
        let shares = self.shares.as_ref();
        let customer = waiting.request.customer.as_ref();
        is_shared(waiting) && shares.is_some_and(|shares| shares.is_over(id_of(customer)))
    }

    /// The number of requests per upstream for which a request leaves room, which is zero unless
    /// its customer is over its share. `None` if there isn't as much room.
    pub(in crate::dispatch) fn reserved_per_upstream(
        &self,
        now: Duration,
        waiting: &QueuedRequest,
    ) -> Option<f64> {
        let Some(shares) = &self.shares else {
            return Some(0.0);
        };
        if !self.shares_apply(now) || !self.is_held_back(waiting) {
            return Some(0.0);
        }
        let reserved = shares.reserved_requests();
        if reserved <= 0.0 {
            return Some(0.0);
        }
        // Pass time limits only the streams of an engine; other requests may wait at it.
        let per_slot = if self.engine.is_some() && waiting.request.max_gap.is_some() {
            1.0
        } else {
            capacity::MAX_REQUESTS_PER_SLOT
        };
        let free = |upstream: &Upstream| {
            let busy = f64::from(upstream.own_requests + upstream.peer_requests);
            (f64::from(upstream.slots.max(1)) * per_slot - busy).max(0.0)
        };
        let ready = self.upstreams.values().filter(|u| u.is_available(now));
        let (free, count) = ready.fold((0.0, 0.0), |(sum, count), upstream| {
            (sum + free(upstream), count + 1.0)
        });
        // What is left must cover the reserve: another entry can't use a part of a slot.
        (free >= reserved + 1.0).then_some(reserved / f64::max(count, 1.0))
    }

    /// Records a queued request as in service if its verdict is to send it.
    pub(in crate::dispatch) fn record_if_sent(
        &mut self,
        now: Duration,
        waiting: &QueuedRequest,
        verdict: &Verdict,
    ) {
        let request = &waiting.request;
        if let (Some(shares), Verdict::Send(_)) = (&mut self.shares, verdict) {
            let customer = id_of(request.customer.as_ref());
            shares.record_placement(now, waiting.ticket, customer, request.work);
        }
    }

    /// Places or rejects queued requests as [`Self::process_queue`] does, those of customers
    /// over their share last.
    pub(in crate::dispatch) fn process_queue_by_share(
        &mut self,
        now: Duration,
    ) -> Vec<(Ticket, Verdict)> {
        let waiting = self.queue.take_all();
        let service_time = self.service_time.estimate();
        let entries = self.sharing_entries.unwrap_or(1);
        if let Some(shares) = &mut self.shares {
            shares.update_level(now, service_time, entries, waiting_work(&waiting));
        }
        let mut waiting: Vec<(bool, QueuedRequest)> = waiting
            .into_iter()
            .map(|waiting| (false, waiting))
            .collect();
        self.sort_by_share(&mut waiting);
        let (mut verdicts, mut still_waiting) = (Vec::new(), Vec::new());
        // Whether a request of a customer under its share waits, which could be on time.
        let mut under_waits = false;
        while let Some((over, next)) = waiting.pop() {
            let Some(verdict) = self.decide(now, &next, over && under_waits) else {
                under_waits |= !over && !next.late && next.request.excluded.is_empty();
                still_waiting.push(next);
                continue;
            };
            self.record_if_sent(now, &next, &verdict);
            if matches!(verdict, Verdict::Send(_)) {
                self.record_turn(&next, over, &waiting);
                self.sort_by_share(&mut waiting);
            }
            verdicts.push((next.ticket, verdict));
        }
        still_waiting.sort_by_key(|waiting| (sort_key(waiting), waiting.ticket));
        self.queue.restore(still_waiting);
        verdicts
    }

    /// Records whose turn a placement was.
    fn record_turn(&mut self, placed: &QueuedRequest, over: bool, left: &[(bool, QueuedRequest)]) {
        if placed.late || !is_shared(placed) {
            return;
        }
        let waiting = priorities(left, over);
        if let Some(shares) = &mut self.shares {
            shares
                .turns
                .record_placement(placed.request.priority, &waiting);
        }
    }

    /// Sorts queued requests by descending placement order, and determines which of them are of
    /// customers over their share.
    fn sort_by_share(&self, waiting: &mut [(bool, QueuedRequest)]) {
        for (over, waiting) in waiting.iter_mut() {
            *over = self.is_held_back(waiting);
        }
        let Some(shares) = &self.shares else {
            return;
        };
        let due = [false, true].map(|over| shares.turns.due(&priorities(waiting, over)));
        waiting.sort_by_key(|(over, waiting)| {
            let due = due[usize::from(*over)];
            let is_due = !waiting.late && due == Some(waiting.request.priority);
            std::cmp::Reverse((*over, !is_due, sort_key(waiting), waiting.ticket))
        });
    }
}
