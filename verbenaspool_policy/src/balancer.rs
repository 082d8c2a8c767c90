//! The decisions for one service at one entry instance, joined.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use verbenaspool_state::{decisions::Decisions, name::Name};

use crate::{
    affinity::Affinity,
    attempt::{Ending, Id, Outcome},
    decision::{Decision, Reason, Refusal, Resolution, Start, Ticket},
    estimate::{self, Ratio},
    flight::Flight,
    load::{Cache, Load},
    mechanism::{Mechanism, Set},
    member::{Member, Peer},
    pool::{Pool, Upstream},
    queue::Waiting,
    request::Request,
    room::{Held, Room},
    route::{Choice, Route},
    snapshot::{Snapshot, Upstream as Shown},
    subset,
};

/// The least time a refused caller stays away, so that a refusal is never an
/// invitation to ask again at once.
const SOONEST: f64 = 0.1;
/// The most time a refused caller is told to stay away. What is known about the
/// load says nothing about a time beyond a minute.
const LATEST: f64 = 60.0;
/// How much longer than estimated a caller may be told to stay away, at random,
/// so that callers refused together don't come back together.
const JITTER: f64 = 0.5;
/// How long a caller stays away where no upstream is known: about the time a
/// list of members takes to arrive.
const NO_UPSTREAM: f64 = 2.0;

/// Decides for one service at one entry instance.
///
/// The entry calls `offer` for each request, `finish` for each attempt's end, and
/// `poll` after every other call and at [`Balancer::next_wake`].
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
/// balancer.members(Duration::ZERO, &[member]);
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
    /// The settings in force.
    settings: Decisions,
    /// The mechanisms in use.
    mechanisms: Set,
    /// The entry's own name.
    entry: Name,
    /// The entry's own zone.
    zone: Name,
    /// The service's entry instances.
    peers: Vec<Peer>,
    /// The service's upstreams that take work.
    members: Vec<Member>,
    /// The upstreams worked with.
    pool: Pool,
    /// The requests that wait.
    room: Room,
    /// What the answers of all customers have of `max_tokens`.
    ratio: Ratio,
    /// What is known about prefixes.
    affinity: Affinity,
    /// Requests given up since the last poll.
    given_up: Vec<Resolution>,
    /// Attempts in flight.
    flights: HashMap<Id, Flight>,
    /// The number of the next ticket or attempt.
    next: u64,
    /// Chooses among equals; seeded, so that runs repeat.
    random: SmallRng,
    /// Counts for metrics.
    counts: Snapshot,
}

impl Balancer {
    /// A balancer without members. `seed` differs between entry instances, so
    /// that they don't all choose alike.
    #[must_use]
    pub fn new(settings: &Decisions, entry: Name, zone: Name, seed: u64) -> Self {
        Self::with(settings, entry, zone, seed, Set::all())
    }

    /// A balancer with only some mechanisms, to measure what each is for.
    #[must_use]
    pub fn with(settings: &Decisions, entry: Name, zone: Name, seed: u64, mechanisms: Set) -> Self {
        Self {
            settings: settings.clone(),
            mechanisms,
            entry,
            zone,
            peers: Vec::new(),
            members: Vec::new(),
            pool: Pool::new(mechanisms),
            room: Room::new(mechanisms),
            ratio: Ratio::default(),
            affinity: Affinity::default(),
            given_up: Vec::new(),
            flights: HashMap::new(),
            next: 0,
            random: SmallRng::seed_from_u64(seed),
            counts: Snapshot::default(),
        }
    }

    /// Takes new settings and the customers' shares; a customer not named has share 1.
    pub fn configure(&mut self, now: Duration, settings: &Decisions, shares: &[(Name, u32)]) {
        self.settings = settings.clone();
        self.room.set_shares(shares);
        self.choose_subset(now);
    }

    /// Takes the service's whole list of upstreams; what it no longer names gets no new work.
    pub fn members(&mut self, now: Duration, members: &[Member]) {
        self.members = members
            .iter()
            .filter(|member| !member.leaving)
            .cloned()
            .collect();
        self.choose_subset(now);
    }

    /// Takes the list of entry instances that serve the service, this one among them.
    pub fn peers(&mut self, now: Duration, peers: &[Peer]) {
        self.peers = peers.to_vec();
        self.choose_subset(now);
    }

    /// Decides on a request.
    pub fn offer(&mut self, now: Duration, request: &Request<'_>) -> Decision {
        self.counts.offered += 1;
        let held = self.hold(request, &[]);
        self.room.observe(now, held.work);
        self.admit(now, request, held)
    }

    /// The waiting requests that start or are given up now.
    pub fn poll(&mut self, now: Duration) -> Vec<Resolution> {
        self.pool.refresh(now, &self.settings);
        while let Some(ticket) = self.room.expired(now) {
            self.give_up(now, ticket, Reason::Expired);
        }
        let mut resolved = std::mem::take(&mut self.given_up);
        while let Some(resolution) = self.start_next(now) {
            resolved.push(resolution);
        }
        resolved
    }

    /// Takes back a waiting request whose caller left.
    pub fn cancel(&mut self, _now: Duration, ticket: Ticket) {
        self.room.remove(ticket);
    }

    /// Learns from an attempt that ended. An unknown or repeated attempt changes nothing.
    pub fn finish(&mut self, now: Duration, attempt: Id, outcome: &Outcome) {
        let Some(flight) = self.flights.remove(&attempt) else {
            return;
        };
        let done = estimate::work(
            self.settings.prefill_weight,
            outcome.prompt_tokens.min(flight.prompt_tokens),
            f64::from(outcome.tokens.min(flight.max_tokens)),
        );
        if let Some(place) = self.pool.find(&flight.upstream, flight.serial) {
            let seconds = outcome.took.as_secs_f64();
            self.pool.finish(
                now,
                place,
                outcome.ending,
                seconds,
                done,
                self.settings.max_limit,
            );
            self.correct_cache(place, &flight, outcome);
        }
        match outcome.ending {
            Ending::Ran => self.learn(&flight, outcome.tokens, done),
            Ending::NotRun => self.room.charge(flight.customer, -flight.charged),
            Ending::Unknown | Ending::Cancelled => {}
        }
    }

    /// Decides whether a request whose attempt ended without an answer is tried
    /// again, away from the upstreams that were `tried`. A request that isn't
    /// idempotent is tried again only after [`Ending::NotRun`].
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
        let held = self.hold(request, tried);
        let late = self.latest(request.deadline, held.work) < now;
        if !safe || late || !self.spend(held.customer) {
            return Decision::Refuse(self.refuse(now, Reason::NoRetry, held.customer));
        }
        self.counts.retried += 1;
        self.admit(now, request, held)
    }

    /// Learns from a load report, however late. Reports of another incarnation,
    /// and reordered ones, are ignored.
    pub fn report(&mut self, now: Duration, upstream: &Name, load: &Load) {
        self.pool.report(now, upstream, load);
    }

    /// Learns from a cache event, however late.
    pub fn cache(&mut self, _now: Duration, upstream: &Name, event: Cache) {
        let Some(place) = self.pool.place(upstream) else {
            return;
        };
        let key = self.pool.list()[place].cache;
        match event {
            Cache::Held(prefix) => self.affinity.hold(prefix, key),
            Cache::Dropped(prefix) => self.affinity.drop(prefix, key),
            Cache::Reset => self.pool.reset_cache(place),
        }
    }

    /// When `poll` has something to do if nothing else happens before.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        if self.given_up.is_empty() {
            self.room.next_expiry()
        } else {
            Some(Duration::ZERO)
        }
    }

    /// Counts and state for metrics and status.
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Snapshot {
        let wait = self.room.backlog() / self.capacity(now);
        let list = self.pool.list();
        Snapshot {
            ejections: self.pool.ejections,
            ignored_reports: self.pool.ignored,
            waiting: self.room.len(),
            wait: Duration::try_from_secs_f64(wait).unwrap_or_default(),
            upstreams: list
                .iter()
                .map(|upstream| self.show(now, upstream))
                .collect(),
            ..self.counts.clone()
        }
    }

    /// Chooses the upstreams to work with.
    fn choose_subset(&mut self, now: Duration) {
        let size = self.settings.subset as usize;
        let places = subset::choose(&self.entry, &self.zone, &self.peers, &self.members, size);
        let members: Vec<&Member> = places.iter().map(|&place| &self.members[place]).collect();
        self.pool.set(now, &members, &self.settings);
    }

    /// What is kept of a request.
    fn hold(&mut self, request: &Request<'_>, tried: &[Name]) -> Held {
        let customer = self.room.customers.number(request.customer);
        let ratio = if self.mechanisms.has(Mechanism::Learning) {
            self.room.customers.get(customer).ratio.within(&self.ratio)
        } else {
            1.0
        };
        let tokens = f64::from(request.max_tokens) * ratio;
        Held {
            customer,
            work: estimate::work(self.settings.prefill_weight, request.prompt_tokens, tokens),
            deadline: request.deadline,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            prefixes: request.prefixes.to_vec(),
            tried: tried.to_vec(),
        }
    }

    /// Starts a request, or lets it wait, or refuses it.
    fn admit(&mut self, now: Duration, request: &Request<'_>, held: Held) -> Decision {
        self.pool.refresh(now, &self.settings);
        if self.pool.list().is_empty() {
            return Decision::Refuse(self.refuse(now, Reason::NoUpstream, held.customer));
        }
        if request.deadline <= now {
            return Decision::Refuse(self.refuse(now, Reason::Late, held.customer));
        }
        if self.room.is_empty()
            && let Some(choice) = self.choose(now, &held)
        {
            // Capacity that nobody waits for isn't charged.
            return Decision::Admit(self.start(&held, choice, 0.0));
        }
        if self.room.queued(held.customer) >= self.settings.queue as usize {
            return Decision::Refuse(self.refuse(now, Reason::QueueFull, held.customer));
        }
        self.enqueue(now, request, held)
    }

    /// Lets a request wait, unless it or others must yield for the rest to be in time.
    fn enqueue(&mut self, now: Duration, request: &Request<'_>, held: Held) -> Decision {
        let ticket = Ticket(self.number());
        let customer = held.customer;
        let waiting = Waiting {
            ticket,
            priority: request.priority,
            latest: self.latest(request.deadline, held.work),
            work: held.work,
        };
        self.room.push(waiting, held);
        while self.mechanisms.has(Mechanism::Refusal)
            && let Some(excess) = self.room.excess(now, customer, self.capacity(now))
        {
            if excess == ticket || !self.mechanisms.has(Mechanism::Displacement) {
                let refusal = self.refuse(now, Reason::Late, customer);
                self.room.remove(ticket);
                return Decision::Refuse(refusal);
            }
            self.give_up(now, excess, Reason::Displaced);
        }
        self.counts.waited += 1;
        Decision::Wait(ticket)
    }

    /// Gives a waiting request up; the next poll says so.
    fn give_up(&mut self, now: Duration, ticket: Ticket, reason: Reason) {
        let Some(customer) = self.room.get(ticket).map(|held| held.customer) else {
            return;
        };
        let refusal = self.refuse(now, reason, customer);
        self.room.remove(ticket);
        self.given_up.push(Resolution {
            ticket,
            result: Err(refusal),
        });
    }

    /// The latest start that meets a deadline.
    fn latest(&self, deadline: Duration, work: f64) -> Duration {
        let service = work * self.pool.pace().unwrap_or(0.0);
        deadline.saturating_sub(Duration::try_from_secs_f64(service).unwrap_or(Duration::MAX))
    }

    /// The work a second that is done for this entry; without bound while unknown.
    fn capacity(&self, now: Duration) -> f64 {
        self.pool
            .capacity(now, &self.settings)
            .unwrap_or(f64::INFINITY)
    }

    /// Starts the waiting request whose turn it is, if there is room for it.
    fn start_next(&mut self, now: Duration) -> Option<Resolution> {
        let ticket = self.room.turn(self.capacity(now))?;
        let held = self.room.get(ticket)?.clone();
        let choice = self.choose(now, &held)?;
        self.room.remove(ticket);
        let start = self.start(&held, choice, held.work);
        Some(Resolution {
            ticket,
            result: Ok(start),
        })
    }

    /// Chooses an upstream for a request.
    fn choose(&mut self, now: Duration, held: &Held) -> Option<Choice> {
        let route = Route {
            now,
            pool: &self.pool,
            settings: &self.settings,
            zone: &self.zone,
            affinity: &self.affinity,
            tried: &held.tried,
        };
        route.choose(&held.prefixes, &mut self.random)
    }

    /// Starts an attempt at the chosen upstream.
    fn start(&mut self, held: &Held, choice: Choice, charge: f64) -> Start {
        let attempt = Id(self.number());
        let upstream = &self.pool.list()[choice.place];
        let flight = Flight {
            customer: held.customer,
            upstream: upstream.member.name.clone(),
            serial: upstream.serial,
            charged: charge,
            prompt_tokens: held.prompt_tokens,
            max_tokens: held.max_tokens,
            prefix: choice.prefix.map(|place| held.prefixes[place]),
        };
        self.counts.started += 1;
        self.counts.spilled += u64::from(upstream.member.zone != self.zone);
        self.counts.affine += u64::from(choice.prefix.is_some());
        self.affinity.learn(&held.prefixes, upstream.cache);
        self.pool.start(choice.place);
        self.room.charge(held.customer, charge);
        if held.tried.is_empty() {
            let ratio = self.settings.retry_ratio;
            self.room
                .customers
                .get_mut(held.customer)
                .budget
                .earn(ratio);
        }
        let name = flight.upstream.clone();
        self.flights.insert(attempt, flight);
        Start {
            attempt,
            upstream: name,
        }
    }

    /// Learns a customer's answers from one that ran and did `done` work.
    fn learn(&mut self, flight: &Flight, tokens: u32, done: f64) {
        let customer = self.room.customers.get_mut(flight.customer);
        customer.ratio.learn(tokens, flight.max_tokens);
        self.ratio.learn(tokens, flight.max_tokens);
        if flight.charged > 0.0 {
            self.room.charge(flight.customer, done - flight.charged);
        }
    }

    /// Forgets a prefix that the answer shows not to have been held.
    fn correct_cache(&mut self, place: usize, flight: &Flight, outcome: &Outcome) {
        let missed = outcome.ending == Ending::Ran && outcome.prompt_tokens >= flight.prompt_tokens;
        if let Some(prefix) = flight.prefix.filter(|_| missed) {
            self.affinity.drop(prefix, self.pool.list()[place].cache);
        }
    }

    /// Takes one retry off the customer's budget.
    fn spend(&mut self, customer: u32) -> bool {
        !self.mechanisms.has(Mechanism::Budget)
            || self.room.customers.get_mut(customer).budget.spend()
    }

    /// A refusal, counted, with the time until what the customer has waiting is done.
    fn refuse(&mut self, now: Duration, reason: Reason, customer: u32) -> Refusal {
        self.counts.refused[reason as usize] += 1;
        let wait = match reason {
            Reason::NoUpstream => NO_UPSTREAM,
            _ => self.room.wait(customer, self.capacity(now)),
        };
        let jitter = 1.0 + JITTER * self.random.random::<f64>();
        let seconds = (wait * jitter).clamp(SOONEST, LATEST);
        Refusal {
            reason,
            retry_after: Duration::from_secs_f64(seconds),
        }
    }

    /// One upstream's state.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // A limit is at most `max_limit`.
    fn show(&self, now: Duration, upstream: &Upstream) -> Shown {
        Shown {
            name: upstream.member.name.clone(),
            in_flight: upstream.in_flight,
            limit: self.pool.limit(now, upstream, &self.settings) as u32,
            ejected: self.pool.is_out(now, upstream),
        }
    }

    /// The next unused number.
    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
