//! Where requests go that an entry sends straight to upstreams, and when.
//!
//! One [`Dispatcher`] decides for one service at one entry. It knows what the
//! entry itself has in flight at each upstream, what its peers said that they
//! have, and how long passes of the engines take. A request is placed at once,
//! waits in line for a short while, or is refused with a time to come back.
//!
//! Load: engines that are asked for more than they can do from morning to night.
//! Every stream of an engine gets one event a pass, and a pass takes longer the
//! more streams there are. Without a bound on streams each of them is late,
//! and all the work is done for half of its worth. So the bound on streams, not
//! the engine's slots, is what makes answers come in time.

mod availability;
pub mod capacity;
pub mod circuit;
pub mod customer_rate;
mod diagnostics;
mod failure_domain;
pub mod health;
pub mod outage;
pub mod pass_pace;
mod placement;
mod request;
pub mod retry_budget;
pub mod retry_detection;
pub mod service_time;
pub mod slow;
mod upstream;
pub mod wait_queue;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use verbenaspool_state::{engine::Engine, replica};

use self::{
    circuit::Circuit,
    health::UpstreamHealth,
    outage::Outage,
    pass_pace::PassPace,
    service_time::ServiceTime,
    slow::StallScope,
    upstream::Upstream,
    wait_queue::{QueuedRequest, Ticket, WaitQueue},
};
pub use self::{
    diagnostics::{ServiceDiagnostics, Snapshot},
    request::{AttemptOutcome, PlacementRequest, RejectReason, Rejection, Resumption, Verdict},
};

/// How long an agent isn't asked again that was silent.
const AGENT_BACKOFF: Duration = Duration::from_millis(500);

/// How long a place that another entry freed is left at most. It spreads what
/// entries do over several digests, which come each 40 ms or so.
const SLOT_REUSE_DELAY: Duration = Duration::from_millis(160);

/// How long a request may wait in line, as a part of the time in which its
/// answer must begin: what is left goes for reading the prompt and two passes.
const ON_TIME_WAIT_RATIO: f64 = 0.35;

/// Two to the 53rd, the numbers that a draw is taken from.
const RANDOM_RANGE: f64 = 9_007_199_254_740_992.0;

/// Decides for one service at one entry.
#[derive(Debug)]
pub struct Dispatcher {
    /// The entry's zone.
    zone: Rc<str>,
    /// The model engine of the service, where it has one.
    engine: Option<Engine>,
    /// The upstreams by identity.
    upstreams: BTreeMap<Rc<str>, Upstream>,
    /// Requests that wait.
    queue: WaitQueue,
    /// The pace of each group's passes.
    group_paces: BTreeMap<u32, PassPace>,
    /// The pace of all groups, for those of which nothing is known.
    overall_pace: PassPace,
    /// How long answers last.
    service_time: ServiceTime,
    /// Whether any upstream takes requests.
    outage: Outage,
    /// How many entries share the upstreams, this one included.
    entry_count: u32,
    /// When a request that could have been in time found no room, or no upstream, last.
    last_shortage: Option<Duration>,
    /// When each group's streams had an event last.
    last_events: BTreeMap<u32, Duration>,
    /// Whether each group takes requests.
    circuits: BTreeMap<u32, Circuit>,
    /// Spreads choices that are as good as each other.
    random_state: u64,
}

impl Dispatcher {
    /// A dispatcher that knows no upstream yet.
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
            upstreams: BTreeMap::new(),
            queue: WaitQueue::default(),
            group_paces: BTreeMap::new(),
            overall_pace: PassPace::default(),
            service_time: ServiceTime::default(),
            outage: Outage::default(),
            entry_count: 1,
            last_shortage: None,
            last_events: BTreeMap::new(),
            circuits: BTreeMap::new(),
            random_state: seed | 1,
        }
    }

    /// Takes over what the configuration says of the service's engines.
    pub fn set_engine(&mut self, engine: Option<&Engine>) {
        self.engine = engine.cloned();
    }

    /// Takes in how many entries share the service's upstreams, this one included, and
    /// looks whether any upstream runs. To be called many times a second, also while no
    /// request waits: an outage would seem to end with the first request after it.
    pub fn update_entry_count(&mut self, now: Duration, entries: u32) {
        self.entry_count = entries.max(1);
        self.outage.observe(now, self.is_available(now));
    }

    /// Takes over the list of the service's upstreams.
    pub fn set_upstreams<'a>(&mut self, list: impl Iterator<Item = &'a replica::Replica>) {
        let mut removed = std::mem::take(&mut self.upstreams);
        for replica in list {
            let existing = removed.remove(&replica.id);
            let mut upstream = existing.unwrap_or_else(|| Upstream::new(replica));
            upstream.ready = replica.state == replica::State::Ready;
            upstream.slots = replica.slots;
            self.upstreams.insert(replica.id.clone(), upstream);
        }
        // What still runs at those that are gone from the list is told by its end.
        let draining = removed
            .into_iter()
            .filter(|(_, upstream)| upstream.own_requests > 0);
        for (id, mut upstream) in draining {
            upstream.ready = false;
            self.upstreams.insert(id, upstream);
        }
    }

    /// Takes in how many requests an upstream has, by the word of the agent beside it;
    /// tells whether that can be believed.
    ///
    /// Messages that were overtaken, or that make no sense, say nothing.
    pub fn record_load(&mut self, now: Duration, id: &str, sequence: u64, requests: u32) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream.is_some_and(|upstream| upstream.record_load(now, sequence, requests))
    }

    /// Whether the agent beside an upstream is to be asked before a request is sent.
    #[must_use]
    pub fn needs_reservation(&self, now: Duration, id: &str) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| {
            upstream.has_fresh_load(now) && !upstream.is_agent_unresponsive(now)
        })
    }

    /// The agent beside an upstream kept a slot for a request of this entry, or won't say.
    pub fn finish_reservation(&mut self, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.reserving = upstream.reserving.saturating_sub(1);
        }
    }

    /// The agent beside an upstream didn't answer.
    pub fn record_agent_timeout(&mut self, now: Duration, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.agent_backoff_until = now + AGENT_BACKOFF;
        }
    }

    /// Takes over what other entries have in flight at an upstream, as they say.
    /// What the agent beside it says goes before that.
    ///
    /// Load: every entry has requests in line. A place that comes free is seen by
    /// all of them in the same moment, and each would take it: with four entries
    /// an upstream got nine streams where six were in time. So a place that
    /// another entry freed is left for a while, another one for each entry; the
    /// entry that freed it has it at once.
    pub fn set_peer_load(&mut self, now: Duration, id: &str, requests: u32) {
        let delay = SLOT_REUSE_DELAY.mul_f64(self.random());
        let upstream = self.upstreams.get_mut(id);
        let Some(upstream) = upstream.filter(|upstream| !upstream.has_fresh_load(now)) else {
            return;
        };
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

    /// Believes what was left to be believed for a while.
    fn apply_pending_decreases(&mut self, now: Duration) {
        for upstream in self.upstreams.values_mut() {
            if let Some((requests, until)) = upstream.pending_decrease
                && now >= until
            {
                upstream.peer_requests = requests;
                upstream.pending_decrease = None;
            }
        }
    }

    /// Takes in which group an upstream belongs to, whether that runs and how slow
    /// the upstream is; tells whether it runs now and didn't before, or the reverse.
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
            // What it didn't answer while its group was broken says nothing of it.
            upstream.health = UpstreamHealth::default();
            if let Some(circuit) = self.circuits.get_mut(&group) {
                circuit.close();
            }
        }
        was_running != running
    }

    /// The requests of this entry at each upstream that has any, as far as no agent
    /// tells the others.
    pub fn in_flight(&self, now: Duration) -> impl Iterator<Item = (&Rc<str>, u32)> {
        let unreported = move |u: &Upstream| u.own_requests > 0 && !u.has_fresh_load(now);
        let sending = self.upstreams.iter().filter(move |(_, u)| unreported(u));
        sending.map(|(id, upstream)| (id, upstream.own_requests))
    }

    /// The identities of all upstreams.
    pub fn upstream_ids(&self) -> impl Iterator<Item = &Rc<str>> {
        self.upstreams.keys()
    }

    /// Whether an upstream is slow beside others that run, so that its streams should
    /// go on elsewhere.
    #[must_use]
    pub fn is_slow(&self, now: Duration, id: &str) -> bool {
        let fastest = self.fastest_pace(now);
        let pace = self.upstreams.get(id).map_or(1.0, |upstream| upstream.pace);
        slow::is_slow(pace, fastest)
    }

    /// The pace of the quickest upstream that runs.
    fn fastest_pace(&self, now: Duration) -> f64 {
        let paces = self.available(now).map(|(_, upstream)| upstream.pace);
        paces.fold(f64::INFINITY, f64::min)
    }

    /// A stream at an upstream got an event.
    pub fn record_event(&mut self, now: Duration, id: &str) {
        if let Some(upstream) = self.upstreams.get(id) {
            self.last_events.insert(upstream.group, now);
        }
    }

    /// What it means that a stream at an upstream has been silent since some time.
    #[must_use]
    pub fn classify_stall(&self, now: Duration, id: &str, since: Duration) -> StallScope {
        let group = self.upstreams.get(id).map_or(0, |upstream| upstream.group);
        if group == 0 {
            // No agent told of a group: the upstream stands by itself.
            return StallScope::Stream;
        }
        let mut others = self.available(now).filter(|(_, u)| u.group != group);
        let other_groups_run = others.any(|(_, u)| self.circuit_closed(u.group));
        slow::classify(
            since,
            self.last_events.get(&group).copied(),
            other_groups_run,
        )
    }

    /// The upstreams of the same group as one.
    #[must_use]
    pub fn group_members(&self, id: &str) -> Vec<Rc<str>> {
        let Some(upstream) = self.upstreams.get(id) else {
            return Vec::new();
        };
        let members = self.upstreams.iter();
        let members = members.filter(|(_, other)| other.group == upstream.group);
        members.map(|(id, _)| id.clone()).collect()
    }

    /// How long a pass of an upstream's group takes now.
    #[must_use]
    pub fn pass_time(&self, now: Duration, id: &str) -> Option<Duration> {
        let (engine, upstream) = (self.engine.as_ref()?, self.upstreams.get(id)?);
        let pace = self.group_paces.get(&upstream.group)?.pace(now, 1.0);
        Some(
            engine
                .pass(self.mean_requests(upstream.group))
                .mul_f64(pace),
        )
    }

    /// Learns from a pause between two events of a stream.
    pub fn record_pause(&mut self, now: Duration, id: &str, pause: Duration) {
        let (Some(engine), Some(upstream)) = (&self.engine, self.upstreams.get(id)) else {
            return;
        };
        let group = upstream.group;
        let configured = engine.pass(self.mean_requests(group));
        let ratio = pause.as_secs_f64() / configured.as_secs_f64().max(1e-6);
        self.group_paces
            .entry(group)
            .or_default()
            .record(now, ratio);
        self.overall_pace.record(now, ratio);
    }

    /// Puts a request in line; [`Self::process_queue`] tells what becomes of it.
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

    /// Takes a request out of line whose caller has left.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// How many requests wait.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Places and refuses what can be by now. A request that is placed counts as
    /// in flight from here on.
    pub fn process_queue(&mut self, now: Duration) -> Vec<(Ticket, Verdict)> {
        self.apply_pending_decreases(now);
        self.outage.observe(now, self.is_available(now));
        let mut verdicts = Vec::new();
        let mut still_waiting = Vec::new();
        for waiting in self.queue.take_all() {
            match self.decide(now, &waiting) {
                Some(verdict) => verdicts.push((waiting.ticket, verdict)),
                None => still_waiting.push(waiting),
            }
        }
        self.queue.restore(still_waiting);
        verdicts
    }

    /// What becomes of one request; nothing, where it goes on waiting.
    fn decide(&mut self, now: Duration, waiting: &QueuedRequest) -> Option<Verdict> {
        let (late_wait, service_time) =
            (self.service_time.late_wait(), self.service_time.estimate());
        let timed_out = now
            >= self
                .outage
                .wait_until(now, waiting, late_wait, service_time);
        if let Some(id) = self.choose_upstream(now, waiting, timed_out) {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
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
        if !timed_out {
            return None;
        }
        let left = waiting.request.deadline.saturating_sub(now);
        Some(Verdict::Reject(self.rejection(now, left)))
    }

    /// Whether any upstream takes requests, as far as known.
    fn is_available(&self, now: Duration) -> bool {
        self.available(now)
            .any(|(_, u)| self.circuit_closed(u.group))
    }

    /// Whether a group takes requests, as far as its ranks' answers tell.
    fn circuit_closed(&self, group: u32) -> bool {
        self.circuits.get(&group).is_none_or(Circuit::is_closed)
    }

    /// Why a request is refused now, and when its caller should come back, who has so
    /// much time left.
    pub fn rejection(&mut self, now: Duration, left: Duration) -> Rejection {
        let (reason, [soonest, latest]) = if self.is_available(now) {
            (RejectReason::Full, self.service_time.retry_after_full(left))
        } else {
            (
                RejectReason::Unavailable,
                self.service_time.retry_after_outage(left),
            )
        };
        // Spread, so that those refused together don't come back together.
        let retry_after = soonest + latest.saturating_sub(soonest).mul_f64(self.random());
        Rejection {
            reason,
            retry_after,
        }
    }

    /// A number from 0 to 1, by Marsaglia's xorshift.
    fn random(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        #[allow(clippy::cast_precision_loss)] // 53 bits are left.
        let value = (self.random_state >> 11) as f64;
        value / RANDOM_RANGE
    }

    /// Learns how long an answer lasted that ended well.
    pub fn record_service_time(&mut self, duration: Duration) {
        self.service_time.record(duration);
    }

    /// An upstream took a request: it has begun to answer. Tells whether its group
    /// counted as taking none before.
    pub fn record_accepted(&mut self, id: &str) -> bool {
        let group = self.upstreams.get(id).map(|upstream| upstream.group);
        let Some(circuit) = group.and_then(|group| self.circuits.get_mut(&group)) else {
            return false;
        };
        let was_open = !circuit.is_closed();
        circuit.close();
        was_open
    }

    /// Records how a sending ended. Tells whether the upstream's group counts as taking
    /// none from now on, and didn't before.
    pub fn finish_attempt(&mut self, now: Duration, id: &str, outcome: AttemptOutcome) -> bool {
        let Some((id, upstream)) = self.upstreams.get_key_value(id) else {
            return false;
        };
        let (id, group) = (id.clone(), upstream.group);
        let busy = f64::from(upstream.own_requests + upstream.peer_requests);
        let idle = busy < f64::from(upstream.slots) * capacity::MIN_USED_SLOTS_RATIO;
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.own_requests = upstream.own_requests.saturating_sub(1);
            upstream.health.record(now, outcome);
        }
        // Only engines make groups; other upstreams speak for themselves.
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

    /// What is known of the service, for the line that a request leaves in the log.
    #[must_use]
    pub fn diagnostics(&self, now: Duration) -> ServiceDiagnostics {
        let mut diagnostics = ServiceDiagnostics::default();
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

    /// How the service stands, for logs and metrics.
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Snapshot {
        let mut snapshot = Snapshot {
            waiting: self.queue.len(),
            pace: self.overall_pace.pace(now, pass_pace::INITIAL_PACE),
            ..Snapshot::default()
        };
        for (_, upstream) in self.available(now) {
            snapshot.upstreams += 1;
            snapshot.in_flight += upstream.own_requests + upstream.peer_requests;
            snapshot.ejected += u32::from(upstream.health.cost(now).is_none());
        }
        snapshot
    }
}
