//! The balancer of one service at one entry instance.

mod admission;
mod signals;
mod start;

use std::{rc::Rc, time::Duration};

use verbenaspool_state::{decisions::Decisions, name::Name};

use crate::{
    attempt::{Ending, Id, Outcome},
    budget::Budget,
    decision::{Decision, Reason, Resolution, Ticket},
    estimate::{Profile, Size},
    hash::Map,
    in_flight::Attempt,
    mechanism::Set,
    member::{Member, Peer},
    pool::Pool,
    queues::Queues,
    request::Request,
    route::Router,
    share::Table,
    snapshot::Snapshot,
};

/// Retries that the service's budget holds at most: as many as those of three
/// customers.
const MAX_SERVICE_RETRIES: f64 = 30.0;

/// Decides which requests of one service are admitted, queued or rejected at one entry
/// instance, and which upstream each goes to.
///
/// The entry calls `offer` for each request, `finish` when an attempt ends, and `poll`
/// after every other call and at [`Balancer::next_wake`].
///
/// ```
/// use std::time::Duration;
/// use verbenaspool_policy::{balancer::Balancer, decision::Decision, member::Member, request::Request};
/// use verbenaspool_state::decisions::Decisions;
///
/// let zone = "bowen-a".parse()?;
/// let mut balancer = Balancer::new(&Decisions::default(), "entry-1".parse()?, "bowen-a".parse()?, 1);
/// let member = Member {
///     name: "loft-1".parse()?,
///     zone,
///     group: None,
///     incarnation: 1,
///     speed: 1.0,
///     leaving: false,
/// };
/// balancer.set_members(Duration::ZERO, &[member]);
/// let customer = "bowen-loft".parse()?;
/// let request = Request {
///     customer: &customer,
///     priority: 0,
///     deadline: Duration::from_secs(30),
///     idempotent: true,
///     prompt_tokens: 100,
///     max_tokens: 200,
///     prefixes: &[],
/// };
/// assert!(matches!(balancer.offer(Duration::ZERO, &request), Decision::Admit(_)));
/// # Ok::<(), verbenaspool_state::name::Error>(())
/// ```
#[derive(Debug)]
pub struct Balancer {
    settings: Decisions,
    /// The enabled mechanisms.
    mechanisms: Set,
    /// The name of this entry instance.
    entry: Name,
    /// The entry instances that serve the service.
    peers: Vec<Peer>,
    /// The upstreams of the service, without those that are leaving.
    members: Vec<Member>,
    /// Chooses among the upstreams of this entry's subset.
    router: Router,
    /// The queued requests of all customers.
    queues: Queues,
    /// Token usage over the requests of all customers.
    usage: Profile,
    /// The retry budget of the service.
    retry_budget: Budget,
    /// Queued requests that expired or were displaced since the last poll.
    evicted: Vec<Resolution>,
    /// Attempts in flight.
    in_flight: Map<Id, Attempt>,
    /// The last ticket or attempt number assigned.
    last_id: u64,
    /// Counters for metrics; the fields that `snapshot` computes are unused.
    counters: Snapshot,
}

impl Balancer {
    /// Creates a balancer without upstreams. `seed` must differ between entry instances,
    /// so that they don't all make the same random choices.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// assert_eq!(balancer.snapshot(now).upstreams.len(), 1);
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    #[must_use]
    pub fn new(settings: &Decisions, entry: Name, zone: Name, seed: u64) -> Self {
        Self::with_mechanisms(settings, entry, zone, seed, Set::all())
    }

    /// Creates a balancer with only some mechanisms enabled, to measure the effect of
    /// each.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// use verbenaspool_policy::mechanism::{Mechanism, Set};
    ///
    /// let mechanisms = Set::all().without(Mechanism::Affinity);
    /// let mut balancer = Balancer::with_mechanisms(&one, "entry-1".parse()?, zone, 1, mechanisms);
    /// assert!(matches!(balancer.offer(now, &request), Decision::Reject(_)));
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    #[must_use]
    pub fn with_mechanisms(
        settings: &Decisions,
        entry: Name,
        zone: Name,
        seed: u64,
        mechanisms: Set,
    ) -> Self {
        Self {
            settings: settings.clone(),
            mechanisms,
            entry,
            peers: Vec::new(),
            members: Vec::new(),
            router: Router::new(Pool::new(zone, mechanisms), seed),
            queues: Queues::new(mechanisms),
            usage: Profile::default(),
            retry_budget: Budget::new(MAX_SERVICE_RETRIES),
            evicted: Vec::new(),
            in_flight: Map::default(),
            last_id: 0,
            counters: Snapshot::default(),
        }
    }

    /// Applies new settings and customers' shares. A customer that isn't named has share
    /// 1.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// let shares = std::rc::Rc::new([(customer.clone(), 3)].into_iter().collect());
    /// balancer.configure(now, &Decisions::default(), &shares);
    /// assert_eq!(balancer.snapshot(now).upstreams.len(), 1);
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    pub fn configure(&mut self, now: Duration, settings: &Decisions, shares: &Rc<Table>) {
        self.settings = settings.clone();
        self.queues.set_shares(shares);
        self.choose_subset(now);
    }

    /// Replaces the list of upstreams. An upstream that is missing from it gets no new
    /// work.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// balancer.set_members(now, &[]);
    /// assert!(balancer.snapshot(now).upstreams.is_empty());
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    pub fn set_members(&mut self, now: Duration, members: &[Member]) {
        self.members = members
            .iter()
            .filter(|member| !member.leaving)
            .cloned()
            .collect();
        self.choose_subset(now);
    }

    /// Replaces the list of entry instances that serve the service, which includes this
    /// one.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// balancer.set_peers(now, &[Peer { name: "entry-1".parse()?, zone }]);
    /// assert_eq!(balancer.snapshot(now).upstreams.len(), 1);
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    pub fn set_peers(&mut self, now: Duration, peers: &[Peer]) {
        self.peers = peers.to_vec();
        self.choose_subset(now);
    }

    /// Admits, queues or rejects a request.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// assert!(matches!(balancer.offer(now, &request), Decision::Admit(_)));
    /// assert!(matches!(balancer.offer(now, &request), Decision::Wait(_)));
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    pub fn offer(&mut self, now: Duration, request: &Request<'_>) -> Decision {
        self.counters.offered += 1;
        let pending = self.pending_request(request, &[]);
        self.queues.observe(now, pending.work);
        self.admit(now, request, pending)
    }

    /// Returns the queued requests that start now or are dropped.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// let Decision::Admit(start) = balancer.offer(now, &request) else { unreachable!() };
    /// let Decision::Wait(ticket) = balancer.offer(now, &request) else { unreachable!() };
    /// let outcome = Outcome { ending: Ending::Ran, took: now, prompt_tokens: 100, tokens: 80 };
    /// balancer.finish(2 * now, start.attempt, &outcome);
    /// let resolved = balancer.poll(2 * now);
    /// assert!(resolved[0].ticket == ticket && resolved[0].result.is_ok());
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    pub fn poll(&mut self, now: Duration) -> Vec<Resolution> {
        self.refresh(now);
        while let Some(ticket) = self.queues.expired(now) {
            self.evict(ticket, Reason::Expired);
        }
        let mut resolved = std::mem::take(&mut self.evicted);
        while let Some(resolution) = self.start_next(now) {
            resolved.push(resolution);
        }
        resolved
    }

    /// Removes a queued request whose caller left.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// balancer.offer(now, &request);
    /// if let Decision::Wait(ticket) = balancer.offer(now, &request) {
    ///     balancer.cancel(now, ticket);
    /// }
    /// assert_eq!(balancer.snapshot(now).waiting, 0);
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    pub fn cancel(&mut self, _now: Duration, ticket: Ticket) {
        self.queues.remove(ticket);
    }

    /// Records the end of an attempt. An unknown attempt, or one that was finished
    /// before, is ignored.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// if let Decision::Admit(start) = balancer.offer(now, &request) {
    ///     let outcome = Outcome { ending: Ending::Ran, took: now, prompt_tokens: 100, tokens: 80 };
    ///     balancer.finish(2 * now, start.attempt, &outcome);
    /// }
    /// assert_eq!(balancer.snapshot(2 * now).upstreams[0].in_flight, 0);
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    pub fn finish(&mut self, now: Duration, attempt: Id, outcome: &Outcome) {
        let Some(attempt_record) = self.in_flight.remove(&attempt) else {
            return;
        };
        self.router.clear_full();
        let used_tokens = Size {
            prompt_tokens: outcome.prompt_tokens,
            tokens: outcome.tokens,
        };
        let used_tokens = used_tokens.capped_at(attempt_record.requested);
        let used_work = used_tokens.work(self.settings.prefill_weight);
        if let Some(index) = self
            .router
            .pool
            .index_of_serial(&attempt_record.upstream, attempt_record.serial)
        {
            let seconds = outcome.took.as_secs_f64();
            self.router.pool.finish(
                now,
                index,
                outcome.ending,
                seconds,
                used_work,
                self.settings.max_limit,
            );
            self.correct_cache(index, &attempt_record, outcome);
        }
        match outcome.ending {
            Ending::Ran => self.record_usage(&attempt_record, used_tokens, used_work),
            Ending::NotRun => self
                .queues
                .charge(attempt_record.customer, -attempt_record.charged),
            Ending::Unknown | Ending::Cancelled => {}
        }
    }

    /// Decides whether to retry a request whose attempt ended without an answer, on an
    /// upstream that isn't in `tried`. A request that isn't idempotent is retried only
    /// after [`Ending::NotRun`].
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// let booking = Request { idempotent: false, ..request };
    /// let decision = balancer.retry(now, &booking, Ending::Unknown, &[]);
    /// assert!(matches!(decision, Decision::Reject(rejection) if rejection.reason == Reason::NoRetry));
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    pub fn retry(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        ending: Ending,
        tried: &[Name],
    ) -> Decision {
        let safe = match ending {
            Ending::NotRun => true,
            Ending::Unknown => request.idempotent,
            Ending::Ran | Ending::Cancelled => false,
        };
        let pending = self.pending_request(request, tried);
        let late = self.latest_start(request.deadline, pending.work) < now;
        if !safe || late || !self.try_spend_retry(pending.customer) {
            return Decision::Reject(self.reject(Reason::NoRetry, pending.customer));
        }
        self.counters.retried += 1;
        self.admit(now, request, pending)
    }

    /// Returns when `poll` must be called next if nothing else happens before.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// assert_eq!(balancer.next_wake(), None);
    /// balancer.offer(now, &request);
    /// balancer.offer(now, &request);
    /// assert!(balancer.next_wake().is_some());
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        if self.evicted.is_empty() {
            self.queues.next_expiry()
        } else {
            Some(Duration::ZERO)
        }
    }
}
