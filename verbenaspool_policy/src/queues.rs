//! The requests that wait, of every customer.

use std::{cmp::Reverse, collections::BinaryHeap, rc::Rc, time::Duration};

use verbenaspool_state::{decisions::Decisions, name::Name};

use crate::{
    customers::Customers,
    decision::Ticket,
    estimate::TokenCounts,
    hash::Map,
    mechanism::{Mechanism, Mechanisms},
    queue::{DrainRate, QueuedRequest},
    round_robin::DeficitRoundRobin,
    route::RouteQuery,
    share::Shares,
};

/// The customer whose queue everybody shares where shares are switched off.
const SHARED_QUEUE: u32 = 0;
/// Seconds over which the offered work is averaged. Over two, chance at 1.5 times
/// the capacity ended the overload every few seconds; four ride that out and are
/// still well below [`SUSTAINED_OVERLOAD`].
const OFFERED_WINDOW_SECONDS: f64 = 4.0;
/// Above this multiple of the capacity the offered work is an overload. Below it
/// the queue drains or hardly grows.
const OVERLOAD_RATIO: f64 = 1.1;
/// How long an overload lasts before it counts as standing. A burst is over by
/// then, and what it left can still be done in the order of deadlines. In a
/// standing overload that order starts everything at the last moment, where an
/// answer a little longer than estimated comes too late; the shortest first
/// leaves room for that.
const SUSTAINED_OVERLOAD: Duration = Duration::from_secs(10);
/// Requests over which the mean work of one is taken.
const MEAN_WINDOW_REQUESTS: f64 = 64.0;

/// Multiples of the mean that one request counts for in it, so that an absurd one
/// can't make all turns as long as itself.
const MAX_MEAN_MULTIPLE: f64 = 16.0;

/// What is kept of a request until it starts.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// Its customer's number.
    pub customer: u32,
    /// Its estimated work.
    pub work: f64,
    /// What it asks for.
    pub requested: TokenCounts,
    /// The hashes of its prompt's prefixes.
    pub prefixes: Vec<u64>,
    /// Upstreams to stay away from.
    pub tried: Vec<Name>,
}

impl PendingRequest {
    /// What an upstream is sought for.
    #[must_use]
    pub fn route_query<'a>(&'a self, now: Duration, settings: &'a Decisions) -> RouteQuery<'a> {
        RouteQuery {
            now,
            settings,
            prefixes: &self.prefixes,
            tried: &self.tried,
        }
    }
}

/// The waiting requests.
#[derive(Debug)]
pub struct Queues {
    /// The customers and their queues.
    pub customers: Customers,
    /// Whose turn it is.
    round_robin: DeficitRoundRobin,
    /// The mean work of a request.
    quantum: f64,
    /// The work offered a second, lately.
    offered_rate: f64,
    /// Since when more was offered than can be done.
    overloaded_since: Option<Duration>,
    /// When a request was offered last.
    last_offer: Duration,
    /// The work of all waiting requests.
    backlog: f64,
    /// Waiting requests.
    pending: Map<Ticket, PendingRequest>,
    /// The latest starts of waiting requests, and of some that wait no more.
    expiries: BinaryHeap<Reverse<(Duration, Ticket)>>,
    /// The mechanisms in use.
    mechanisms: Mechanisms,
}

impl Queues {
    /// A room where nobody waits.
    #[must_use]
    pub fn new(mechanisms: Mechanisms) -> Self {
        Self {
            customers: Customers::default(),
            round_robin: DeficitRoundRobin::default(),
            quantum: 1.0,
            offered_rate: 0.0,
            overloaded_since: None,
            last_offer: Duration::ZERO,
            backlog: 0.0,
            pending: Map::default(),
            expiries: BinaryHeap::new(),
            mechanisms,
        }
    }

    /// The number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The work of all waiting requests.
    #[must_use]
    pub fn backlog(&self) -> f64 {
        self.backlog
    }

    /// Takes the customers' shares; those not named get share 1.
    pub fn set_shares(&mut self, shares: &Rc<Shares>) {
        for (number, share) in self.customers.set_shares(shares) {
            let customer = self.customers.get_mut(number);
            self.round_robin
                .deactivate(number, customer.share, &mut customer.deficit);
            customer.share = share;
            if !customer.queue.is_empty() {
                self.round_robin
                    .activate(number, share, self.quantum, &mut customer.deficit);
            }
        }
    }

    /// Learns what a request's work is, for the size of a turn.
    pub fn observe(&mut self, now: Duration, work: f64) {
        let passed = now.saturating_sub(self.last_offer).as_secs_f64();
        self.offered_rate = self.offered_rate * (-passed / OFFERED_WINDOW_SECONDS).exp()
            + work / OFFERED_WINDOW_SECONDS;
        self.last_offer = now;
        let work = work.min(MAX_MEAN_MULTIPLE * self.quantum);
        self.quantum += (work - self.quantum) / MEAN_WINDOW_REQUESTS;
    }

    /// How many requests wait in the queue of a customer.
    #[must_use]
    pub fn queued(&self, customer: u32) -> usize {
        self.customers.get(self.queue_owner(customer)).queue.len()
    }

    /// Lets a request wait.
    pub fn push(&mut self, request: QueuedRequest, pending: PendingRequest) {
        let queue_owner = self.queue_owner(pending.customer);
        let customer = self.customers.get_mut(queue_owner);
        customer.queue.push(request);
        self.round_robin.activate(
            queue_owner,
            customer.share,
            self.quantum,
            &mut customer.deficit,
        );
        self.backlog += request.work;
        self.expiries
            .push(Reverse((request.latest_start, request.ticket)));
        self.pending.insert(request.ticket, pending);
    }

    /// What is kept of a waiting request.
    #[must_use]
    pub fn get(&self, ticket: Ticket) -> Option<&PendingRequest> {
        self.pending.get(&ticket)
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<PendingRequest> {
        let pending = self.pending.remove(&ticket)?;
        let queue_owner = self.queue_owner(pending.customer);
        let customer = self.customers.get_mut(queue_owner);
        customer.queue.remove(ticket);
        if customer.queue.is_empty() {
            self.round_robin
                .deactivate(queue_owner, customer.share, &mut customer.deficit);
        }
        // Starting from 0 again keeps rounding errors from adding up.
        self.backlog = if self.pending.is_empty() {
            0.0
        } else {
            self.backlog - pending.work
        };
        Some(pending)
    }

    /// The request whose turn it is to start.
    pub fn next_ticket(&mut self, capacity: f64) -> Option<Ticket> {
        let shortest_first = self.is_overloaded(capacity);
        loop {
            let queue_owner = self.round_robin.front()?;
            let customer = self.customers.get_mut(queue_owner);
            if self
                .round_robin
                .may_start(customer.share, self.quantum, &mut customer.deficit)
            {
                return customer
                    .queue
                    .next_request(shortest_first)
                    .map(|first| first.ticket);
            }
        }
    }

    /// Whether more has been offered than can be done for [`SUSTAINED_OVERLOAD`].
    fn is_overloaded(&mut self, capacity: f64) -> bool {
        if self.offered_rate < OVERLOAD_RATIO * capacity {
            self.overloaded_since = None;
            return false;
        }
        let since = *self.overloaded_since.get_or_insert(self.last_offer);
        self.last_offer >= since + SUSTAINED_OVERLOAD
    }

    /// Charges a customer for started work, or pays it back.
    pub fn charge(&mut self, customer: u32, work: f64) {
        let queue_owner = self.queue_owner(customer);
        let customer = self.customers.get_mut(queue_owner);
        customer.deficit.charge(work, self.quantum, customer.share);
    }

    /// A waiting request whose latest start has passed.
    pub fn expired(&mut self, now: Duration) -> Option<Ticket> {
        while let Some(&Reverse((latest_start, ticket))) = self.expiries.peek() {
            if latest_start >= now {
                return None;
            }
            self.expiries.pop();
            if self.pending.contains_key(&ticket) {
                return Some(ticket);
            }
        }
        None
    }

    /// When the next request's latest start has passed.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        let Reverse((latest_start, _)) = self.expiries.peek()?;
        Some(latest_start.saturating_add(Duration::from_nanos(1)))
    }

    /// The request of a customer that must yield for the others to start in
    /// time, at `capacity` work a second for everybody.
    #[must_use]
    pub fn find_excess(&self, now: Duration, customer: u32, capacity: f64) -> Option<Ticket> {
        let queue_owner = self.queue_owner(customer);
        self.customers
            .get(queue_owner)
            .queue
            .find_excess(now, &self.drain_rate(queue_owner, capacity))
    }

    /// The wait behind all that a customer has waiting, in seconds.
    #[must_use]
    pub fn wait_seconds(&self, customer: u32, capacity: f64) -> f64 {
        let queue_owner = self.queue_owner(customer);
        let ahead = self.customers.get(queue_owner).queue.work();
        self.drain_rate(queue_owner, capacity).wait_seconds(ahead)
    }

    /// How fast a customer's queue drains.
    fn drain_rate(&self, queue_owner: u32, capacity: f64) -> DrainRate {
        let shares = self.round_robin.total_share().max(1);
        let share = f64::from(self.customers.get(queue_owner).share);
        #[allow(clippy::cast_precision_loss)] // Shares sum up far below 2^53.
        let work_per_second = capacity * share / shares as f64;
        DrainRate {
            work_per_second,
            max_wait_seconds: self.backlog / capacity,
        }
    }

    /// The customer whose queue a request waits in.
    fn queue_owner(&self, customer: u32) -> u32 {
        if self.mechanisms.has(Mechanism::Shares) {
            customer
        } else {
            SHARED_QUEUE
        }
    }
}
