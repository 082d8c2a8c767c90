//! The decisions for one service at one entry instance, joined.

use std::time::Duration;

use verbenaspool_state::{decisions::Decisions, name::Name};

use crate::{
    attempt::{Ending, Id, Outcome},
    budget::{self, Budget},
    decision::{Decision, Reason, Refusal, Resolution, Start, Ticket},
    estimate::{Habit, Size},
    flight::Flight,
    hash::Map,
    load::{Cache, Load},
    mechanism::{Mechanism, Set},
    member::{Member, Peer},
    pool::{Pool, Upstream},
    queue::Waiting,
    refusal,
    request::Request,
    room::{Held, Room},
    route::{Choice, Router},
    snapshot::{Snapshot, Upstream as Shown},
    subset,
};

/// Retries saved up for the service: what three customers may save.
const SERVICE_RETRIES: f64 = 30.0;
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
    /// The service's entry instances.
    peers: Vec<Peer>,
    /// The service's upstreams that take work.
    members: Vec<Member>,
    /// The upstreams worked with, and which is chosen.
    router: Router,
    /// The requests that wait.
    room: Room,
    /// What the requests of all customers turn out to be.
    habit: Habit,
    /// The service's retries.
    budget: Budget,
    /// Requests given up since the last poll.
    given_up: Vec<Resolution>,
    /// Attempts in flight.
    flights: Map<Id, Flight>,
    /// The number of the next ticket or attempt.
    next: u64,
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
            peers: Vec::new(),
            members: Vec::new(),
            router: Router::new(Pool::new(zone, mechanisms), seed),
            room: Room::new(mechanisms),
            habit: Habit::default(),
            budget: Budget::new(SERVICE_RETRIES),
            given_up: Vec::new(),
            flights: Map::default(),
            next: 0,
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
        self.refresh(now);
        while let Some(ticket) = self.room.expired(now) {
            self.give_up(ticket, Reason::Expired);
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
        self.router.free();
        let size = Size {
            prompt_tokens: outcome.prompt_tokens,
            tokens: outcome.tokens,
        };
        let size = size.within(flight.asked);
        let done = size.work(self.settings.prefill_weight);
        if let Some(place) = self.router.pool.find(&flight.upstream, flight.serial) {
            let seconds = outcome.took.as_secs_f64();
            self.router.pool.finish(
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
            Ending::Ran => self.learn(&flight, size, done),
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
            return Decision::Refuse(self.refuse(Reason::NoRetry, held.customer));
        }
        self.counts.retried += 1;
        self.admit(now, request, held)
    }

    /// Learns from a load report, however late. Reports of another incarnation,
    /// and reordered ones, are ignored.
    pub fn report(&mut self, now: Duration, upstream: &Name, load: &Load) {
        self.router.free();
        self.router.pool.report(now, upstream, load);
    }

    /// Learns from a cache event, however late.
    pub fn cache(&mut self, _now: Duration, upstream: &Name, event: Cache) {
        let Some(place) = self.router.pool.place(upstream) else {
            return;
        };
        let key = self.router.pool.list()[place].cache;
        match event {
            Cache::Held(prefix) => self.router.affinity.hold(prefix, key),
            Cache::Dropped(prefix) => self.router.affinity.drop(prefix, key),
            Cache::Reset => self.router.pool.reset_cache(place),
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
        let wait = self.room.backlog() / self.capacity();
        let list = self.router.pool.list();
        Snapshot {
            ejections: self.router.pool.ejections,
            ignored_reports: self.router.pool.ignored,
            waiting: self.room.len(),
            wait: Duration::try_from_secs_f64(wait).unwrap_or_default(),
            upstreams: list
                .iter()
                .map(|upstream| self.show(now, upstream))
                .collect(),
            ..self.counts.clone()
        }
    }

    /// Looks at what changes with time.
    fn refresh(&mut self, now: Duration) {
        if self.router.pool.refresh(now, &self.settings) {
            self.router.free();
        }
    }

    /// Chooses the upstreams to work with.
    fn choose_subset(&mut self, now: Duration) {
        let size = self.settings.subset as usize;
        let places = subset::choose(
            &self.entry,
            self.router.pool.zone(),
            &self.peers,
            &self.members,
            size,
        );
        let members: Vec<&Member> = places.iter().map(|&place| &self.members[place]).collect();
        self.router.free();
        self.router.pool.set(now, &members, &self.settings);
    }

    /// What is kept of a request.
    fn hold(&mut self, request: &Request<'_>, tried: &[Name]) -> Held {
        let customer = self.room.customers.number(request.customer);
        let asked = Size {
            prompt_tokens: request.prompt_tokens,
            tokens: request.max_tokens,
        };
        let weight = self.settings.prefill_weight;
        let work = if self.mechanisms.has(Mechanism::Learning) {
            let own = &self.room.customers.get(customer).habit;
            own.work(&self.habit, asked, weight)
        } else {
            asked.work(weight)
        };
        Held {
            customer,
            work,
            deadline: request.deadline,
            asked,
            prefixes: request.prefixes.to_vec(),
            tried: tried.to_vec(),
        }
    }

    /// Starts a request, or lets it wait, or refuses it.
    fn admit(&mut self, now: Duration, request: &Request<'_>, held: Held) -> Decision {
        self.refresh(now);
        if !self.router.pool.is_open() {
            return Decision::Refuse(self.refuse(Reason::NoUpstream, held.customer));
        }
        if request.deadline <= now {
            return Decision::Refuse(self.refuse(Reason::Late, held.customer));
        }
        if self.room.is_empty()
            && let Some(choice) = self.choose(now, &held)
        {
            // Capacity that nobody waits for isn't charged.
            return Decision::Admit(self.start(&held, choice, 0.0));
        }
        if self.latest(request.deadline, held.work) < now {
            return Decision::Refuse(self.refuse(Reason::Late, held.customer));
        }
        if self.room.queued(held.customer) >= self.settings.queue as usize {
            return Decision::Refuse(self.refuse(Reason::QueueFull, held.customer));
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
            && let Some(excess) = self.room.excess(now, customer, self.capacity())
        {
            if excess == ticket || !self.mechanisms.has(Mechanism::Displacement) {
                let refusal = self.refuse(Reason::Late, customer);
                self.room.remove(ticket);
                return Decision::Refuse(refusal);
            }
            self.give_up(excess, Reason::Displaced);
        }
        self.counts.waited += 1;
        Decision::Wait(ticket)
    }

    /// Gives a waiting request up; the next poll says so.
    fn give_up(&mut self, ticket: Ticket, reason: Reason) {
        let Some(customer) = self.room.get(ticket).map(|held| held.customer) else {
            return;
        };
        let refusal = self.refuse(reason, customer);
        self.room.remove(ticket);
        self.given_up.push(Resolution {
            ticket,
            result: Err(refusal),
        });
    }

    /// The latest start that meets a deadline.
    fn latest(&self, deadline: Duration, work: f64) -> Duration {
        let service = work * self.router.pool.pace().unwrap_or(0.0);
        deadline.saturating_sub(Duration::try_from_secs_f64(service).unwrap_or(Duration::MAX))
    }

    /// The work a second that is done for this entry; without bound while unknown.
    fn capacity(&self) -> f64 {
        self.router.pool.capacity().unwrap_or(f64::INFINITY)
    }

    /// Starts the waiting request whose turn it is, if there is room for it.
    fn start_next(&mut self, now: Duration) -> Option<Resolution> {
        let ticket = self.room.turn(self.capacity())?;
        let search = self.room.get(ticket)?.search(now, &self.settings);
        let choice = self.router.choose(&search)?;
        let held = self.room.remove(ticket)?;
        let start = self.start(&held, choice, held.work);
        Some(Resolution {
            ticket,
            result: Ok(start),
        })
    }

    /// Chooses an upstream for a request.
    fn choose(&mut self, now: Duration, held: &Held) -> Option<Choice> {
        self.router.choose(&held.search(now, &self.settings))
    }

    /// Starts an attempt at the chosen upstream.
    fn start(&mut self, held: &Held, choice: Choice, charge: f64) -> Start {
        let attempt = Id(self.number());
        let upstream = &self.router.pool.list()[choice.place];
        let flight = Flight {
            customer: held.customer,
            upstream: upstream.member.name.clone(),
            serial: upstream.serial,
            charged: charge,
            asked: held.asked,
            prefix: choice.prefix.map(|place| held.prefixes[place]),
        };
        self.counts.started += 1;
        self.counts.spilled += u64::from(!upstream.local);
        self.counts.affine += u64::from(choice.prefix.is_some());
        self.router.affinity.learn(&held.prefixes, upstream.cache);
        self.router.pool.start(choice.place);
        self.room.charge(held.customer, charge);
        if held.tried.is_empty() {
            let ratio = self.settings.retry_ratio;
            self.budget.earn(ratio);
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

    /// Learns a customer's habit from an answer, which took `done` work.
    fn learn(&mut self, flight: &Flight, size: Size, done: f64) {
        let customer = self.room.customers.get_mut(flight.customer);
        customer.habit.learn(size, flight.asked);
        self.habit.learn(size, flight.asked);
        if flight.charged > 0.0 {
            self.room.charge(flight.customer, done - flight.charged);
        }
    }

    /// Forgets a prefix that the answer shows not to have been held.
    fn correct_cache(&mut self, place: usize, flight: &Flight, outcome: &Outcome) {
        let missed =
            outcome.ending == Ending::Ran && outcome.prompt_tokens >= flight.asked.prompt_tokens;
        if let Some(prefix) = flight.prefix.filter(|_| missed) {
            self.router
                .affinity
                .drop(prefix, self.router.pool.list()[place].cache);
        }
    }

    /// Takes one retry off the budgets of the customer and of the service.
    fn spend(&mut self, customer: u32) -> bool {
        let own = &mut self.room.customers.get_mut(customer).budget;
        !self.mechanisms.has(Mechanism::Budget) || budget::spend(own, &mut self.budget)
    }

    /// A refusal, counted, with the time until what the customer has waiting is done.
    fn refuse(&mut self, reason: Reason, customer: u32) -> Refusal {
        self.counts.refused[reason as usize] += 1;
        let wait = self.room.wait(customer, self.capacity());
        Refusal {
            reason,
            retry_after: refusal::retry_after(reason, wait, self.router.random()),
        }
    }

    /// One upstream's state.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // A limit is at most `max_limit`.
    fn show(&self, now: Duration, upstream: &Upstream) -> Shown {
        Shown {
            name: upstream.member.name.clone(),
            in_flight: upstream.in_flight,
            limit: self.router.pool.limit(now, upstream) as u32,
            ejected: self.router.pool.is_out(now, upstream),
        }
    }

    /// The next unused number.
    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
