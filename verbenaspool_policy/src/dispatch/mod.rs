//! Placement of requests that an entry sends directly to upstreams.
//!
//! A [`Dispatcher`] decides for one service at one entry. It tracks the requests that this
//! entry has in flight at each upstream, the load that peers and agents report, and how
//! long engine passes take. A request is placed immediately, queued for a short time, or
//! rejected with a time to retry.
//!
//! Under sustained overload the number of streams has to be limited by pass time, not by
//! the engine's slots. Every stream gets one event per pass, and a pass takes longer the
//! more streams there are. Without that limit all streams are late, and the work done for
//! them is worth only half as much.

mod availability;
mod backoff;
pub mod balance;
pub mod capacity;
pub mod circuit;
pub mod customer_rate;
mod diagnostics;
mod failure_domain;
pub mod health;
mod load;
pub mod outage;
pub mod pass_pace;
mod passes;
mod placement;
pub mod probation;
mod rate_limit;
mod request;
pub mod retry_budget;
pub mod retry_detection;
pub mod service_time;
pub mod share;
pub mod slow;
pub mod speed;
mod upstream;
pub mod wait_queue;
mod warm_up;
pub mod zone_room;

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use verbenaspool_state::{backoff::Backoffs, engine::Engine, replica, route::WarmUp};

use self::{
    balance::Balancing,
    circuit::Circuit,
    outage::Outage,
    pass_pace::PassPace,
    service_time::ServiceTime,
    share::Shares,
    upstream::Upstream,
    wait_queue::{QueuedRequest, Ticket, WaitQueue},
};
pub use self::{
    diagnostics::{Diagnostics, Snapshot},
    request::{AttemptOutcome, PlacementRequest, RejectReason, Rejection, Resumption, Verdict},
};

/// The longest wait in the queue for a request that can be on time, as a share of its time
/// to the first event. The rest is needed for reading the prompt and two passes.
const ON_TIME_WAIT_RATIO: f64 = 0.35;

/// 2^53, the number of values that [`Dispatcher::random`] draws from.
const RANDOM_RANGE: f64 = 9_007_199_254_740_992.0;

/// Places the requests of one service at one entry.
#[derive(Debug)]
pub struct Dispatcher {
    /// The entry's availability zone.
    zone: Rc<str>,
    /// The service's model engine, if it has one.
    engine: Option<Engine>,
    /// The service's limits on its upstreams that warm up.
    warm_up: Option<WarmUp>,
    /// The entry's name.
    entry: String,
    /// Number of entries among which limits of upstreams are divided, including this one;
    /// `None` while some may be unknown.
    sharing_entries: Option<usize>,
    /// Upstreams by id.
    upstreams: BTreeMap<Rc<str>, Upstream>,
    /// Until when upstreams want no requests, also those that aren't listed for now.
    backoffs: Backoffs<Rc<str>>,
    /// Availability zones whose upstreams get no requests, by the operator's order.
    evacuated_zones: BTreeSet<String>,
    /// Requests waiting for an upstream.
    queue: WaitQueue,
    /// Pass pace of each group.
    group_paces: BTreeMap<u32, PassPace>,
    /// Pass pace over all groups, used for groups without recent samples.
    overall_pace: PassPace,
    /// How long answers of the service take.
    service_time: ServiceTime,
    /// Whether any upstream is available, and since when.
    outage: Outage,
    /// Number of entries that share the upstreams, including this one.
    entry_count: u32,
    /// When a request that could have been on time last found no capacity or no upstream.
    last_shortage: Option<Duration>,
    /// When a stream of each group last got an event.
    last_events: BTreeMap<u32, Duration>,
    /// Circuit breaker of each group.
    circuits: BTreeMap<u32, Circuit>,
    /// What is learned of upstreams by their responses, where the settings enable it.
    balancing: Option<Balancing>,
    /// The shares of customers, if capacity is divided among them.
    shares: Option<Box<Shares>>,
    /// State of the random number generator for tie breaking and jitter.
    random_state: u64,
}

impl Dispatcher {
    /// Creates a dispatcher without upstreams.
    ///
    /// ```
    /// use verbenaspool_policy::dispatch::Dispatcher;
    ///
    /// let dispatcher = Dispatcher::new("a".into(), 1);
    /// assert_eq!(dispatcher.upstream_ids().count(), 0);
    /// ```
    #[must_use]
    pub fn new(zone: Rc<str>, seed: u64) -> Self {
        Self {
            zone,
            engine: None,
            warm_up: None,
            entry: String::new(),
            sharing_entries: None,
            upstreams: BTreeMap::new(),
            backoffs: Backoffs::default(),
            evacuated_zones: BTreeSet::new(),
            queue: WaitQueue::default(),
            group_paces: BTreeMap::new(),
            overall_pace: PassPace::default(),
            service_time: ServiceTime::default(),
            outage: Outage::default(),
            entry_count: 1,
            last_shortage: None,
            last_events: BTreeMap::new(),
            circuits: BTreeMap::new(),
            balancing: None,
            shares: None,
            random_state: seed | 1,
        }
    }

    /// Sets the configured engine of the service.
    pub fn set_engine(&mut self, engine: Option<&Engine>) {
        self.engine = engine.cloned();
    }

    /// The configured engine of the service.
    #[must_use]
    pub fn engine(&self) -> Option<&Engine> {
        self.engine.as_ref()
    }

    /// Sets how many entries share the service's upstreams, including this one, and checks
    /// whether any upstream is available.
    ///
    /// Must be called many times a second, even while no request is queued: otherwise an
    /// outage would appear to end with the first request after it.
    pub fn update_entry_count(&mut self, now: Duration, entries: u32) {
        self.entry_count = entries.max(1);
        for upstream in self.upstreams.values_mut() {
            upstream.added_at.get_or_insert(now);
        }
        self.outage.observe(now, self.is_available(now));
    }

    /// Sets this entry's name, and the number of entries among which limits of upstreams are
    /// divided. As long as that is unknown, this entry takes no share.
    pub fn set_sharing_entries(&mut self, entry: &str, entries: Option<usize>) {
        if self.entry != entry {
            entry.clone_into(&mut self.entry);
        }
        self.sharing_entries = entries;
    }

    /// Replaces the list of the service's upstreams.
    pub fn set_upstreams<'a>(&mut self, list: impl Iterator<Item = &'a replica::Replica>) {
        let mut removed = std::mem::take(&mut self.upstreams);
        for replica in list {
            let existing = removed.remove(&replica.id);
            let mut upstream = existing.unwrap_or_else(|| Upstream::new(replica));
            upstream.ready = replica.state == replica::State::Ready;
            upstream.slots = replica.slots;
            upstream.zone.clone_from(&replica.zone);
            upstream.evacuated = self.evacuated_zones.contains(&*upstream.zone);
            let max_requests = capacity::max_requests(upstream.slots);
            let learns_speed = self.balancing.is_some();
            upstream
                .health
                .set_probation(learns_speed.then_some(max_requests));
            self.upstreams.insert(replica.id.clone(), upstream);
        }
        // Removed upstreams are kept until their last request has finished.
        let draining = removed
            .into_iter()
            .filter(|(_, upstream)| upstream.own_requests > 0);
        for (id, mut upstream) in draining {
            upstream.ready = false;
            self.upstreams.insert(id, upstream);
        }
    }

    /// Replaces the availability zones whose upstreams get no requests. Requests that they
    /// have already finish there, and their ranks still take part in passes.
    pub fn set_evacuated_zones(&mut self, zones: &BTreeSet<String>) {
        self.evacuated_zones.clone_from(zones);
        for upstream in self.upstreams.values_mut() {
            upstream.evacuated = zones.contains(&*upstream.zone);
        }
    }

    /// Requests of this entry at the upstreams of an availability zone.
    #[must_use]
    pub fn requests_in_zone(&self, zone: &str) -> u32 {
        let upstreams = self.upstreams.values();
        let in_zone = upstreams.filter(|upstream| &*upstream.zone == zone);
        in_zone.map(|upstream| upstream.own_requests).sum()
    }

    /// Whether the operator has evacuated the zones of all upstreams that take requests. None
    /// of them returns by itself, so nothing is gained by waiting.
    fn is_evacuated(&self) -> bool {
        let mut ready = self.upstreams.values().filter(|u| u.ready).peekable();
        ready.peek().is_some() && ready.all(|upstream| upstream.evacuated)
    }

    /// Whether the service's upstreams are ranks of groups, each with an agent.
    #[must_use]
    pub fn has_agents(&self) -> bool {
        let engine = self.engine.as_ref();
        engine.is_some_and(|engine| engine.experts.is_some())
    }

    /// Ids of all upstreams.
    pub fn upstream_ids(&self) -> impl Iterator<Item = &Rc<str>> {
        self.upstreams.keys()
    }

    /// Ids of all upstreams in the group of `id`, including `id`.
    #[must_use]
    pub fn group_members(&self, id: &str) -> Vec<Rc<str>> {
        let Some(upstream) = self.upstreams.get(id) else {
            return Vec::new();
        };
        let members = self.upstreams.iter();
        let members = members.filter(|(_, other)| other.group == upstream.group);
        members.map(|(id, _)| id.clone()).collect()
    }

    /// Ids of the upstreams in the group of `id`; none while its group is unknown.
    #[must_use]
    pub fn known_group_members(&self, id: &str) -> Vec<Rc<str>> {
        let group = self.upstreams.get(id).map_or(0, |upstream| upstream.group);
        let members = self.upstreams.iter();
        let members = members.filter(|(_, other)| group != 0 && other.group == group);
        members.map(|(id, _)| id.clone()).collect()
    }

    /// Whether this is one of the upstreams.
    #[must_use]
    pub fn has_upstream(&self, id: &str) -> bool {
        self.upstreams.contains_key(id)
    }

    /// Queues a request. [`Self::process_queue`] returns the verdict.
    pub fn submit(&mut self, now: Duration, ticket: Ticket, request: PlacementRequest) {
        let queued_at = request.queued_at.min(now);
        let on_time_wait = request
            .target
            .saturating_sub(queued_at)
            .mul_f64(ON_TIME_WAIT_RATIO);
        let max_wait = self
            .service_time
            .max_wait(request.deadline.saturating_sub(queued_at));
        let until = queued_at + max_wait.max(on_time_wait);
        self.queue.push(QueuedRequest {
            ticket,
            late: request.target <= queued_at,
            queued_at,
            on_time_until: queued_at + on_time_wait,
            until: until.min(request.deadline).min(request.place_by),
            request,
        });
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// The number of queued requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Places or rejects every queued request that can be decided now. A placed request
    /// counts as in flight from here on.
    pub fn process_queue(&mut self, now: Duration) -> Vec<(Ticket, Verdict)> {
        self.apply_pending_decreases(now);
        self.outage.observe(now, self.is_available(now));
        if self.shares_apply(now) {
            return self.process_queue_by_share(now);
        }
        let mut verdicts = Vec::new();
        let mut still_waiting = Vec::new();
        for waiting in self.queue.take_all() {
            match self.decide(now, &waiting, false) {
                Some(verdict) => {
                    self.record_if_sent(now, &waiting, &verdict);
                    verdicts.push((waiting.ticket, verdict));
                }
                None => still_waiting.push(waiting),
            }
        }
        self.queue.restore(still_waiting);
        verdicts
    }

    /// Decides one request, or returns nothing if it continues to wait. A request that is held
    /// back gets no upstream.
    fn decide(
        &mut self,
        now: Duration,
        waiting: &QueuedRequest,
        held_back: bool,
    ) -> Option<Verdict> {
        let (late_wait, service_time) =
            (self.service_time.late_wait(), self.service_time.estimate());
        let until = self
            .outage
            .wait_until(now, waiting, late_wait, service_time);
        let timed_out = now >= until || self.is_evacuated();
        let chosen = if held_back {
            None
        } else {
            self.choose_upstream(now, waiting, timed_out)
        };
        if let Some(id) = chosen {
            let random = self.random();
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.record_warm_up_request(now);
                upstream.record_rate_limited_request(now, random);
                upstream.own_requests += 1;
                upstream.reserving += 1;
                if let Some(circuit) = self.circuits.get_mut(&upstream.group) {
                    circuit.record_sent(now);
                }
            }
            return Some(Verdict::Send(id));
        }
        if !waiting.late {
            self.last_shortage = Some(now);
        }
        let left = waiting.request.deadline.saturating_sub(now);
        let wait = self.upstreams_wait(now, &waiting.request.excluded);
        match wait.filter(|wait| timed_out || now + *wait >= until) {
            Some(wait) => Some(Verdict::Reject(self.rate_limit_rejection(left, wait))),
            None if timed_out => Some(Verdict::Reject(self.rejection(now, left))),
            None => None,
        }
    }

    /// Whether any upstream is known to take requests.
    fn is_available(&self, now: Duration) -> bool {
        self.available(now)
            .any(|(_, u)| self.circuit_closed(u.group))
    }

    /// Whether a group takes requests, judging by the responses of its ranks.
    fn circuit_closed(&self, group: u32) -> bool {
        self.circuits.get(&group).is_none_or(Circuit::is_closed)
    }

    /// Builds the rejection for a caller that has `left` of its time.
    pub fn rejection(&mut self, now: Duration, left: Duration) -> Rejection {
        let (reason, [soonest, latest]) = if self.is_available(now) {
            (RejectReason::Full, self.service_time.retry_after_full(left))
        } else {
            (
                RejectReason::Unavailable,
                self.service_time.retry_after_outage(left),
            )
        };
        // Jitter, so that requests rejected together aren't retried together.
        let retry_after = soonest + latest.saturating_sub(soonest).mul_f64(self.random());
        Rejection {
            reason,
            retry_after,
        }
    }

    /// The rejection if no upstream takes requests of this entry for `wait`, because of their
    /// limits or backoff. Callers rejected at different times would all return as that ends.
    fn rate_limit_rejection(&mut self, left: Duration, wait: Duration) -> Rejection {
        let [soonest, latest] = self.service_time.retry_after_full(left);
        let spread = latest.saturating_sub(soonest).mul_f64(self.random());
        Rejection {
            reason: RejectReason::RateLimited,
            retry_after: wait.max(soonest) + spread,
        }
    }

    /// A random number in [0, 1), by Marsaglia's xorshift.
    fn random(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        #[allow(clippy::cast_precision_loss)] // 53 bits are left.
        let value = (self.random_state >> 11) as f64;
        value / RANDOM_RANGE
    }

    /// Records how long a successful answer took.
    pub fn record_service_time(&mut self, duration: Duration) {
        self.service_time.record(duration);
    }

    /// Records that an upstream has started to answer. Returns whether this closed the
    /// circuit of its group.
    pub fn record_accepted(&mut self, id: &str) -> bool {
        let group = self.upstreams.get(id).map(|upstream| upstream.group);
        let Some(circuit) = group.and_then(|group| self.circuits.get_mut(&group)) else {
            return false;
        };
        let was_open = !circuit.is_closed();
        circuit.close();
        was_open
    }

    /// Records the outcome of an attempt. Returns whether this opened the circuit of the
    /// upstream's group.
    pub fn finish_attempt(&mut self, now: Duration, id: &str, outcome: AttemptOutcome) -> bool {
        let Some((id, upstream)) = self.upstreams.get_key_value(id) else {
            return false;
        };
        let (id, group) = (id.clone(), upstream.group);
        let busy = f64::from(upstream.own_requests + upstream.peer_requests);
        let idle = busy < f64::from(upstream.slots) * capacity::MIN_USED_SLOTS_RATIO;
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.own_requests = upstream.own_requests.saturating_sub(1);
        }
        self.record_outcome(now, &id, outcome);
        // Only engines form groups; other upstreams are judged one by one.
        if self.engine.is_none() {
            return false;
        }
        let circuit = self.circuits.entry(group).or_default();
        let was_closed = circuit.is_closed();
        match outcome {
            AttemptOutcome::Full if idle => circuit.open(now),
            AttemptOutcome::Unreached => circuit.record_unreachable(now, &id),
            _ => {}
        }
        was_closed && !circuit.is_closed()
    }

    /// The state of the service, for the log line of a request.
    #[must_use]
    pub fn diagnostics(&self, now: Duration) -> Diagnostics {
        let mut diagnostics = Diagnostics {
            balancing: self.balancing_state(),
            ..Diagnostics::default()
        };
        let down = self.down_groups(now);
        for (id, upstream) in &self.upstreams {
            diagnostics.longest_pass = diagnostics
                .longest_pass
                .max(self.pass_time(now, id).unwrap_or_default());
            if !upstream.is_available(now) || down.contains(&upstream.group) {
                diagnostics.unavailable += u32::from(upstream.ready);
            } else if upstream.pace > diagnostics.slowest_pace {
                diagnostics.slowest_pace = upstream.pace;
                diagnostics.slowest_upstream = Some(id.clone());
                diagnostics.status_age = now.saturating_sub(upstream.status_at);
            }
        }
        diagnostics
    }

    /// A summary of the service, for logs and metrics.
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Snapshot {
        let mut snapshot = Snapshot {
            waiting: self.queue.len(),
            pace: self.overall_pace.pace(now, pass_pace::INITIAL_PACE),
            ..Snapshot::default()
        };
        for (id, upstream) in self.available(now) {
            snapshot.upstreams += 1;
            snapshot.backing_off += u32::from(!self.backoff_left(now, id).is_zero());
            snapshot.in_flight += upstream.own_requests + upstream.peer_requests;
            snapshot.ejected += u32::from(upstream.health.cost(now).is_none());
            snapshot.rate_limited += u32::from(upstream.max_rate().is_some());
        }
        snapshot
    }
}
