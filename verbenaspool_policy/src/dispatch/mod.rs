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
const IN_TIME_WAIT_RATIO: f64 = 0.35;

/// Two to the 53rd, the numbers that a draw is taken from.
const DRAW_RANGE: f64 = 9_007_199_254_740_992.0;

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
    line: WaitQueue,
    /// The pace of each group's passes.
    passes: BTreeMap<u32, PassPace>,
    /// The pace of all groups, for those of which nothing is known.
    all: PassPace,
    /// How long answers last.
    service_time: ServiceTime,
    /// Whether any upstream takes requests.
    outage: Outage,
    /// How many entries share the upstreams, this one included.
    entries: u32,
    /// When a request that could have been in time found no room, or no upstream, last.
    short: Option<Duration>,
    /// When each group's streams had an event last.
    heard: BTreeMap<u32, Duration>,
    /// Whether each group takes requests.
    circuits: BTreeMap<u32, Circuit>,
    /// Spreads choices that are as good as each other.
    draws: u64,
}

impl Dispatcher {
    /// A dispatcher that knows no upstream yet.
    ///
    /// ```
    /// use verbenaspool_policy::dispatch::Dispatcher;
    ///
    /// let dispatcher = Dispatcher::new("a".into(), 1);
    /// assert_eq!(dispatcher.ids().count(), 0);
    /// ```
    #[must_use]
    pub fn new(zone: Rc<str>, seed: u64) -> Self {
        Self {
            zone,
            engine: None,
            upstreams: BTreeMap::new(),
            line: WaitQueue::default(),
            passes: BTreeMap::new(),
            all: PassPace::default(),
            service_time: ServiceTime::default(),
            outage: Outage::default(),
            entries: 1,
            short: None,
            heard: BTreeMap::new(),
            circuits: BTreeMap::new(),
            draws: seed | 1,
        }
    }

    /// Takes over what the configuration says of the service's engines.
    pub fn engine(&mut self, engine: Option<&Engine>) {
        self.engine = engine.cloned();
    }

    /// Takes in how many entries share the service's upstreams, this one included, and
    /// looks whether any upstream runs. To be called many times a second, also while no
    /// request waits: an outage would seem to end with the first request after it.
    pub fn share_among(&mut self, now: Duration, entries: u32) {
        self.entries = entries.max(1);
        self.outage.observe(now, self.is_open(now));
    }

    /// Takes over the list of the service's upstreams.
    pub fn members<'a>(&mut self, list: impl Iterator<Item = &'a replica::Replica>) {
        let mut before = std::mem::take(&mut self.upstreams);
        for replica in list {
            let kept = before.remove(&replica.id);
            let mut upstream = kept.unwrap_or_else(|| Upstream::new(replica));
            upstream.ready = replica.state == replica::State::Ready;
            upstream.slots = replica.slots;
            self.upstreams.insert(replica.id.clone(), upstream);
        }
        // What still runs at those that are gone from the list is told by its end.
        let busy = before.into_iter().filter(|(_, upstream)| upstream.own > 0);
        for (id, mut upstream) in busy {
            upstream.ready = false;
            self.upstreams.insert(id, upstream);
        }
    }

    /// Takes in how many requests an upstream has, by the word of the agent beside it;
    /// tells whether that can be believed.
    ///
    /// Messages that were overtaken, or that make no sense, say nothing.
    pub fn load(&mut self, now: Duration, id: &str, number: u64, requests: u32) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream.is_some_and(|upstream| upstream.load(now, number, requests))
    }

    /// Whether the agent beside an upstream is to be asked before a request is sent.
    #[must_use]
    pub fn asks(&self, now: Duration, id: &str) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| upstream.is_told(now) && !upstream.is_silent(now))
    }

    /// The agent beside an upstream kept a slot for a request of this entry, or won't say.
    pub fn reserved(&mut self, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.asking = upstream.asking.saturating_sub(1);
        }
    }

    /// The agent beside an upstream didn't answer.
    pub fn unanswered(&mut self, now: Duration, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.silent = now + AGENT_BACKOFF;
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
    pub fn others(&mut self, now: Duration, id: &str, requests: u32) {
        let wait = SLOT_REUSE_DELAY.mul_f64(self.draw());
        let upstream = self.upstreams.get_mut(id);
        let Some(upstream) = upstream.filter(|upstream| !upstream.is_told(now)) else {
            return;
        };
        if requests >= upstream.others {
            upstream.others = requests;
            upstream.fewer = None;
            return;
        }
        let until = upstream.fewer.map_or(now + wait, |(_, until)| until);
        if now < until {
            upstream.fewer = Some((requests, until));
        } else {
            upstream.others = requests;
            upstream.fewer = None;
        }
    }

    /// Believes what was left to be believed for a while.
    fn believe(&mut self, now: Duration) {
        for upstream in self.upstreams.values_mut() {
            if let Some((requests, until)) = upstream.fewer
                && now >= until
            {
                upstream.others = requests;
                upstream.fewer = None;
            }
        }
    }

    /// Takes in which group an upstream belongs to, whether that runs and how slow
    /// the upstream is; tells whether it runs now and didn't before, or the reverse.
    pub fn status(&mut self, now: Duration, id: &str, group: u32, open: bool, pace: f64) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        upstream.group = group;
        upstream.pace = pace;
        upstream.said = now;
        let before = upstream.closed.is_none();
        upstream.closed = (!open).then_some(now);
        if open && !before {
            // What it didn't answer while its group was broken says nothing of it.
            upstream.trust = UpstreamHealth::default();
            if let Some(circuit) = self.circuits.get_mut(&group) {
                circuit.taken();
            }
        }
        before != open
    }

    /// The requests of this entry at each upstream that has any, as far as no agent
    /// tells the others.
    pub fn flights(&self, now: Duration) -> impl Iterator<Item = (&Rc<str>, u32)> {
        let untold = move |u: &Upstream| u.own > 0 && !u.is_told(now);
        let busy = self.upstreams.iter().filter(move |(_, u)| untold(u));
        busy.map(|(id, upstream)| (id, upstream.own))
    }

    /// The identities of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &Rc<str>> {
        self.upstreams.keys()
    }

    /// Whether an upstream is slow beside others that run, so that its streams should
    /// go on elsewhere.
    #[must_use]
    pub fn is_slow(&self, now: Duration, id: &str) -> bool {
        let quickest = self.quickest(now);
        let pace = self.upstreams.get(id).map_or(1.0, |upstream| upstream.pace);
        slow::is_slow(pace, quickest)
    }

    /// The pace of the quickest upstream that runs.
    fn quickest(&self, now: Duration) -> f64 {
        let paces = self.open(now).map(|(_, upstream)| upstream.pace);
        paces.fold(f64::INFINITY, f64::min)
    }

    /// A stream at an upstream got an event.
    pub fn heard(&mut self, now: Duration, id: &str) {
        if let Some(upstream) = self.upstreams.get(id) {
            self.heard.insert(upstream.group, now);
        }
    }

    /// What it means that a stream at an upstream has been silent since some time.
    #[must_use]
    pub fn silence(&self, now: Duration, id: &str, since: Duration) -> StallScope {
        let group = self.upstreams.get(id).map_or(0, |upstream| upstream.group);
        if group == 0 {
            // No agent told of a group: the upstream stands by itself.
            return StallScope::Stream;
        }
        let mut others = self.open(now).filter(|(_, u)| u.group != group);
        let others_run = others.any(|(_, u)| self.takes(u.group));
        slow::judge(since, self.heard.get(&group).copied(), others_run)
    }

    /// The upstreams of the same group as one.
    #[must_use]
    pub fn group_members(&self, id: &str) -> Vec<Rc<str>> {
        let Some(upstream) = self.upstreams.get(id) else {
            return Vec::new();
        };
        let group_members = self.upstreams.iter();
        let group_members = group_members.filter(|(_, other)| other.group == upstream.group);
        group_members.map(|(id, _)| id.clone()).collect()
    }

    /// How long a pass of an upstream's group takes now.
    #[must_use]
    pub fn pass(&self, now: Duration, id: &str) -> Option<Duration> {
        let (engine, upstream) = (self.engine.as_ref()?, self.upstreams.get(id)?);
        let pace = self.passes.get(&upstream.group)?.pace(now, 1.0);
        Some(engine.pass(self.mean(upstream.group)).mul_f64(pace))
    }

    /// Learns from a pause between two events of a stream.
    pub fn pause(&mut self, now: Duration, id: &str, pause: Duration) {
        let (Some(engine), Some(upstream)) = (&self.engine, self.upstreams.get(id)) else {
            return;
        };
        let group = upstream.group;
        let usual = engine.pass(self.mean(group));
        let ratio = pause.as_secs_f64() / usual.as_secs_f64().max(1e-6);
        self.passes.entry(group).or_default().learn(now, ratio);
        self.all.learn(now, ratio);
    }

    /// Puts a request in line; [`Self::pump`] tells what becomes of it.
    pub fn submit(&mut self, now: Duration, ticket: Ticket, ask: PlacementRequest) {
        let since = ask.since.min(now);
        let in_time = ask.target.saturating_sub(since).mul_f64(IN_TIME_WAIT_RATIO);
        let longest = self.service_time.wait(ask.deadline.saturating_sub(since));
        let until = since + longest.max(in_time);
        self.line.join(QueuedRequest {
            ticket,
            late: ask.target <= since,
            since,
            in_time_until: since + in_time,
            until: until.min(ask.deadline).min(ask.place_by),
            ask,
        });
    }

    /// Takes a request out of line whose caller has left.
    pub fn leave(&mut self, ticket: Ticket) {
        self.line.leave(ticket);
    }

    /// How many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Places and refuses what can be by now. A request that is placed counts as
    /// in flight from here on.
    pub fn pump(&mut self, now: Duration) -> Vec<(Ticket, Verdict)> {
        self.believe(now);
        self.outage.observe(now, self.is_open(now));
        let mut verdicts = Vec::new();
        let mut kept = Vec::new();
        for waiting in self.line.take() {
            match self.decide(now, &waiting) {
                Some(verdict) => verdicts.push((waiting.ticket, verdict)),
                None => kept.push(waiting),
            }
        }
        self.line.restore(kept);
        verdicts
    }

    /// What becomes of one request; nothing, where it goes on waiting.
    fn decide(&mut self, now: Duration, waiting: &QueuedRequest) -> Option<Verdict> {
        let (turn, service_time) = (self.service_time.turn(), self.service_time.estimate());
        let over = now >= self.outage.wait_until(now, waiting, turn, service_time);
        if let Some(id) = self.choose(now, waiting, over) {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.own += 1;
                upstream.asking += 1;
                if let Some(circuit) = self.circuits.get_mut(&upstream.group) {
                    circuit.sent(now);
                }
            }
            return Some(Verdict::Send(id));
        }
        if !waiting.late {
            self.short = Some(now);
        }
        if !over {
            return None;
        }
        let left = waiting.ask.deadline.saturating_sub(now);
        Some(Verdict::Reject(self.refusal(now, left)))
    }

    /// Whether any upstream takes requests, as far as known.
    fn is_open(&self, now: Duration) -> bool {
        self.open(now).any(|(_, u)| self.takes(u.group))
    }

    /// Whether a group takes requests, as far as its ranks' answers tell.
    fn takes(&self, group: u32) -> bool {
        self.circuits.get(&group).is_none_or(Circuit::is_closed)
    }

    /// Why a request is refused now, and when its caller should come back, who has so
    /// much time left.
    pub fn refusal(&mut self, now: Duration, left: Duration) -> Rejection {
        let (reason, [soonest, latest]) = if self.is_open(now) {
            (RejectReason::Full, self.service_time.full(left))
        } else {
            (RejectReason::Unavailable, self.service_time.away(left))
        };
        // Spread, so that those refused together don't come back together.
        let after = soonest + latest.saturating_sub(soonest).mul_f64(self.draw());
        Rejection { reason, after }
    }

    /// A number from 0 to 1, by Marsaglia's xorshift.
    fn draw(&mut self) -> f64 {
        self.draws ^= self.draws << 13;
        self.draws ^= self.draws >> 7;
        self.draws ^= self.draws << 17;
        #[allow(clippy::cast_precision_loss)] // 53 bits are left.
        let part = (self.draws >> 11) as f64;
        part / DRAW_RANGE
    }

    /// Learns how long an answer lasted that ended well.
    pub fn lasted(&mut self, lasted: Duration) {
        self.service_time.learn(lasted);
    }

    /// An upstream took a request: it has begun to answer. Tells whether its group
    /// counted as taking none before.
    pub fn taken(&mut self, id: &str) -> bool {
        let group = self.upstreams.get(id).map(|upstream| upstream.group);
        let Some(circuit) = group.and_then(|group| self.circuits.get_mut(&group)) else {
            return false;
        };
        let was_open = !circuit.is_closed();
        circuit.taken();
        was_open
    }

    /// Records how a sending ended. Tells whether the upstream's group counts as taking
    /// none from now on, and didn't before.
    pub fn ended(&mut self, now: Duration, id: &str, ending: AttemptOutcome) -> bool {
        let Some((id, upstream)) = self.upstreams.get_key_value(id) else {
            return false;
        };
        let (id, group) = (id.clone(), upstream.group);
        let busy = f64::from(upstream.own + upstream.others);
        let idle = busy < f64::from(upstream.slots) * capacity::MIN_USED_SLOTS;
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.own = upstream.own.saturating_sub(1);
            upstream.trust.learn(now, ending);
        }
        // Only engines make groups; other upstreams speak for themselves.
        if self.engine.is_none() {
            return false;
        }
        let circuit = self.circuits.entry(group).or_default();
        let was_closed = circuit.is_closed();
        match ending {
            AttemptOutcome::Full if idle => circuit.turned_away(now),
            AttemptOutcome::Unreached => circuit.unreached(now, &id),
            _ => {}
        }
        was_closed && !circuit.is_closed()
    }

    /// What is known of the service, for the line that a request leaves in the log.
    #[must_use]
    pub fn known(&self, now: Duration) -> ServiceDiagnostics {
        let mut known = ServiceDiagnostics::default();
        let closed = self.closed_groups(now);
        for (id, upstream) in &self.upstreams {
            known.pass = known.pass.max(self.pass(now, id).unwrap_or_default());
            if !upstream.is_open(now) || closed.contains(&upstream.group) {
                known.closed += u32::from(upstream.ready);
            } else if upstream.pace > known.slowest {
                known.slowest = upstream.pace;
                known.upstream = Some(id.clone());
                known.age = now.saturating_sub(upstream.said);
            }
        }
        known
    }

    /// How the service stands, for logs and metrics.
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Snapshot {
        let mut snapshot = Snapshot {
            waiting: self.line.len(),
            pace: self.all.pace(now, pass_pace::INITIAL_PACE),
            ..Snapshot::default()
        };
        for (_, upstream) in self.open(now) {
            snapshot.upstreams += 1;
            snapshot.busy += upstream.own + upstream.others;
            snapshot.shunned += u32::from(upstream.trust.cost(now).is_none());
        }
        snapshot
    }
}
