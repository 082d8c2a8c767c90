//! The queued requests of all customers.

use std::{cmp::Reverse, collections::BinaryHeap, rc::Rc, time::Duration};

use verbenaspool_state::{decisions::Decisions, name::Name};

use crate::{
    customers::Customers,
    decision::Ticket,
    estimate::Size,
    hash::Map,
    mechanism::{Mechanism, Set},
    queue::{DrainRate, QueuedRequest},
    round_robin::Ring,
    route::Query,
    share::Table,
};

/// The customer number whose queue holds all requests when [`Mechanism::Shares`] is
/// disabled.
const SHARED_QUEUE: u32 = 0;
/// Time constant of the average of offered work. With 2 s, random variation at 1.5
/// times the capacity ended the overload every few seconds; 4 s smooths it and is still
/// well below [`SUSTAINED_OVERLOAD`].
const OFFERED_WINDOW_SECONDS: f64 = 4.0;
/// Offered work above this multiple of the capacity is an overload. Below it the queue
/// drains or hardly grows.
const OVERLOAD_RATIO: f64 = 1.1;
/// How long an overload lasts before the shortest requests start first. A burst is over
/// by then, and its backlog can still be done in order of deadline. In a sustained
/// overload that order starts every request at its latest start, so that an answer
/// slightly longer than estimated is late; shortest first leaves slack.
const SUSTAINED_OVERLOAD: Duration = Duration::from_secs(10);
/// Requests over which the mean work of a request is averaged.
const MEAN_WINDOW_REQUESTS: f64 = 64.0;

/// Caps the work of a request in the mean at this multiple of it, so that one extreme
/// request can't make every turn as long as itself.
const MAX_MEAN_MULTIPLE: f64 = 16.0;

/// A request and its estimated work, kept until it starts.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// The customer's number.
    pub customer: u32,
    /// The estimated work.
    pub work: f64,
    /// The prompt tokens and the most answer tokens of the request.
    pub requested: Size,
    /// The hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Upstreams where earlier attempts failed.
    pub tried: Vec<Name>,
}

impl PendingRequest {
    /// Returns the query that finds an upstream for this request.
    #[must_use]
    pub fn query<'a>(&'a self, now: Duration, settings: &'a Decisions) -> Query<'a> {
        Query {
            now,
            settings,
            prefixes: &self.prefixes,
            tried: &self.tried,
        }
    }
}

/// The queued requests, one queue per customer.
#[derive(Debug)]
pub struct Queues {
    /// The customers and their queues.
    pub customers: Customers,
    /// The order in which customers start requests.
    round_robin: Ring,
    /// The mean work of a request, credited per turn and share.
    quantum: f64,
    /// The average offered work per second.
    offered_rate: f64,
    /// When the current overload began.
    overloaded_since: Option<Duration>,
    /// When the last request was offered.
    last_offer: Duration,
    /// The work of all queued requests.
    backlog: f64,
    /// The queued requests by ticket.
    pending: Map<Ticket, PendingRequest>,
    /// The latest starts of queued requests, and of some that have left the queue.
    expiries: BinaryHeap<Reverse<(Duration, Ticket)>>,
    /// The enabled mechanisms.
    mechanisms: Set,
}

impl Queues {
    /// Creates empty queues.
    #[must_use]
    pub fn new(mechanisms: Set) -> Self {
        Self {
            customers: Customers::default(),
            round_robin: Ring::default(),
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

    /// The number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The work of all queued requests.
    #[must_use]
    pub fn backlog(&self) -> f64 {
        self.backlog
    }

    /// Sets the customers' shares; a customer that isn't named has share 1.
    pub fn set_shares(&mut self, shares: &Rc<Table>) {
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

    /// Records the work of an offered request, for the offered rate and the size of a
    /// turn.
    pub fn observe(&mut self, now: Duration, work: f64) {
        let passed = now.saturating_sub(self.last_offer).as_secs_f64();
        self.offered_rate = self.offered_rate * (-passed / OFFERED_WINDOW_SECONDS).exp()
            + work / OFFERED_WINDOW_SECONDS;
        self.last_offer = now;
        let work = work.min(MAX_MEAN_MULTIPLE * self.quantum);
        self.quantum += (work - self.quantum) / MEAN_WINDOW_REQUESTS;
    }

    /// The number of requests in a customer's queue.
    #[must_use]
    pub fn queued(&self, customer: u32) -> usize {
        self.customers.get(self.queue_owner(customer)).queue.len()
    }

    /// Queues a request.
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

    /// The queued request of a ticket.
    #[must_use]
    pub fn get(&self, ticket: Ticket) -> Option<&PendingRequest> {
        self.pending.get(&ticket)
    }

    /// Removes a request from its queue.
    pub fn remove(&mut self, ticket: Ticket) -> Option<PendingRequest> {
        let pending = self.pending.remove(&ticket)?;
        let queue_owner = self.queue_owner(pending.customer);
        let customer = self.customers.get_mut(queue_owner);
        customer.queue.remove(ticket);
        if customer.queue.is_empty() {
            self.round_robin
                .deactivate(queue_owner, customer.share, &mut customer.deficit);
        }
        // Resetting to 0 keeps rounding errors from adding up.
        self.backlog = if self.pending.is_empty() {
            0.0
        } else {
            self.backlog - pending.work
        };
        Some(pending)
    }

    /// The next request to start, with `capacity` work done per second for all customers.
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

    /// Whether the offered work has exceeded the capacity for [`SUSTAINED_OVERLOAD`].
    fn is_overloaded(&mut self, capacity: f64) -> bool {
        if self.offered_rate < OVERLOAD_RATIO * capacity {
            self.overloaded_since = None;
            return false;
        }
        let since = *self.overloaded_since.get_or_insert(self.last_offer);
        self.last_offer >= since + SUSTAINED_OVERLOAD
    }

    /// Charges a customer for started work; negative work is a refund.
    pub fn charge(&mut self, customer: u32, work: f64) {
        let queue_owner = self.queue_owner(customer);
        let customer = self.customers.get_mut(queue_owner);
        customer.deficit.charge(work, self.quantum, customer.share);
    }

    /// Returns a queued request whose latest start has passed.
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

    /// When the next request expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        let Reverse((latest_start, _)) = self.expiries.peek()?;
        Some(latest_start.saturating_add(Duration::from_nanos(1)))
    }

    /// The request that must be dropped from a customer's queue for the rest to start in
    /// time, with `capacity` work done per second for all customers.
    #[must_use]
    pub fn find_excess(&self, now: Duration, customer: u32, capacity: f64) -> Option<Ticket> {
        let queue_owner = self.queue_owner(customer);
        self.customers
            .get(queue_owner)
            .queue
            .find_excess(now, &self.drain_rate(queue_owner, capacity))
    }

    /// The time until a customer's queued work is done, in seconds.
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

    /// The customer number whose queue holds a customer's requests.
    fn queue_owner(&self, customer: u32) -> u32 {
        if self.mechanisms.has(Mechanism::Shares) {
            customer
        } else {
            SHARED_QUEUE
        }
    }
}
