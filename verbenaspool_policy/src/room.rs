//! The requests that wait, of every customer.

use std::{cmp::Reverse, collections::BinaryHeap, rc::Rc, time::Duration};

use verbenaspool_state::{decisions::Decisions, name::Name};

use crate::{
    customers::Customers,
    decision::Ticket,
    estimate::Size,
    fair::Ring,
    hash::Map,
    mechanism::{Mechanism, Set},
    queue::{Drain, Waiting},
    route::Search,
    share::Table,
};

/// The customer whose queue everybody shares where shares are switched off.
const EVERYBODY: u32 = 0;
/// Seconds over which the offered work is averaged. Over two, chance at 1.5 times
/// the capacity ended the overload every few seconds; four ride that out and are
/// still well below [`STANDING`].
const OFFERED: f64 = 4.0;
/// Above this multiple of the capacity the offered work is an overload. Below it
/// the queue drains or hardly grows.
const OVER: f64 = 1.1;
/// How long an overload lasts before it counts as standing. A burst is over by
/// then, and what it left can still be done in the order of deadlines. In a
/// standing overload that order starts everything at the last moment, where an
/// answer a little longer than estimated comes too late; the shortest first
/// leaves room for that.
const STANDING: Duration = Duration::from_secs(10);
/// Requests over which the mean work of one is taken.
const MEAN: f64 = 64.0;

/// Multiples of the mean that one request counts for in it, so that an absurd one
/// can't make all turns as long as itself.
const MOST: f64 = 16.0;

/// What is kept of a request until it starts.
#[derive(Debug, Clone)]
pub struct Held {
    /// Its customer's number.
    pub customer: u32,
    /// Its estimated work.
    pub work: f64,
    /// What it asks for.
    pub asked: Size,
    /// The hashes of its prompt's prefixes.
    pub prefixes: Vec<u64>,
    /// Upstreams to stay away from.
    pub tried: Vec<Name>,
}

impl Held {
    /// What an upstream is sought for.
    #[must_use]
    pub fn search<'a>(&'a self, now: Duration, settings: &'a Decisions) -> Search<'a> {
        Search {
            now,
            settings,
            prefixes: &self.prefixes,
            tried: &self.tried,
        }
    }
}

/// The waiting requests.
#[derive(Debug)]
pub struct Room {
    /// The customers and their queues.
    pub customers: Customers,
    /// Whose turn it is.
    ring: Ring,
    /// The mean work of a request.
    quantum: f64,
    /// The work offered a second, lately.
    offered: f64,
    /// Since when more was offered than can be done.
    over_since: Option<Duration>,
    /// When a request was offered last.
    offered_at: Duration,
    /// The work of all waiting requests.
    backlog: f64,
    /// Waiting requests.
    held: Map<Ticket, Held>,
    /// The latest starts of waiting requests, and of some that wait no more.
    expiries: BinaryHeap<Reverse<(Duration, Ticket)>>,
    /// The mechanisms in use.
    mechanisms: Set,
}

impl Room {
    /// A room where nobody waits.
    #[must_use]
    pub fn new(mechanisms: Set) -> Self {
        Self {
            customers: Customers::default(),
            ring: Ring::default(),
            quantum: 1.0,
            offered: 0.0,
            over_since: None,
            offered_at: Duration::ZERO,
            backlog: 0.0,
            held: Map::default(),
            expiries: BinaryHeap::new(),
            mechanisms,
        }
    }

    /// The number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The work of all waiting requests.
    #[must_use]
    pub fn backlog(&self) -> f64 {
        self.backlog
    }

    /// Takes the customers' shares; those not named get share 1.
    pub fn set_shares(&mut self, shares: &Rc<Table>) {
        for (number, share) in self.customers.reshare(shares) {
            let customer = self.customers.get_mut(number);
            self.ring.remove(number, customer.share, &mut customer.seat);
            customer.share = share;
            if !customer.queue.is_empty() {
                self.ring
                    .join(number, share, self.quantum, &mut customer.seat);
            }
        }
    }

    /// Learns what a request's work is, for the size of a turn.
    pub fn observe(&mut self, now: Duration, work: f64) {
        let passed = now.saturating_sub(self.offered_at).as_secs_f64();
        self.offered = self.offered * (-passed / OFFERED).exp() + work / OFFERED;
        self.offered_at = now;
        let work = work.min(MOST * self.quantum);
        self.quantum += (work - self.quantum) / MEAN;
    }

    /// How many requests wait in the queue of a customer.
    #[must_use]
    pub fn queued(&self, customer: u32) -> usize {
        self.customers.get(self.owner(customer)).queue.len()
    }

    /// Lets a request wait.
    pub fn push(&mut self, waiting: Waiting, held: Held) {
        let owner = self.owner(held.customer);
        let customer = self.customers.get_mut(owner);
        customer.queue.push(waiting);
        self.ring
            .join(owner, customer.share, self.quantum, &mut customer.seat);
        self.backlog += waiting.work;
        self.expiries
            .push(Reverse((waiting.latest, waiting.ticket)));
        self.held.insert(waiting.ticket, held);
    }

    /// What is kept of a waiting request.
    #[must_use]
    pub fn get(&self, ticket: Ticket) -> Option<&Held> {
        self.held.get(&ticket)
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Held> {
        let held = self.held.remove(&ticket)?;
        let owner = self.owner(held.customer);
        let customer = self.customers.get_mut(owner);
        customer.queue.remove(ticket);
        if customer.queue.is_empty() {
            self.ring.remove(owner, customer.share, &mut customer.seat);
        }
        // Starting from 0 again keeps rounding errors from adding up.
        self.backlog = if self.held.is_empty() {
            0.0
        } else {
            self.backlog - held.work
        };
        Some(held)
    }

    /// The request whose turn it is to start.
    pub fn turn(&mut self, capacity: f64) -> Option<Ticket> {
        let shortest = self.overloaded(capacity);
        loop {
            let owner = self.ring.first()?;
            let customer = self.customers.get_mut(owner);
            if self
                .ring
                .turn(customer.share, self.quantum, &mut customer.seat)
            {
                return customer.queue.first(shortest).map(|first| first.ticket);
            }
        }
    }

    /// Whether more has been offered than can be done for [`STANDING`].
    fn overloaded(&mut self, capacity: f64) -> bool {
        if self.offered < OVER * capacity {
            self.over_since = None;
            return false;
        }
        let since = *self.over_since.get_or_insert(self.offered_at);
        self.offered_at >= since + STANDING
    }

    /// Charges a customer for started work, or pays it back.
    pub fn charge(&mut self, customer: u32, work: f64) {
        let owner = self.owner(customer);
        let customer = self.customers.get_mut(owner);
        customer.seat.charge(work, self.quantum, customer.share);
    }

    /// A waiting request whose latest start has passed.
    pub fn expired(&mut self, now: Duration) -> Option<Ticket> {
        while let Some(&Reverse((latest, ticket))) = self.expiries.peek() {
            if latest >= now {
                return None;
            }
            self.expiries.pop();
            if self.held.contains_key(&ticket) {
                return Some(ticket);
            }
        }
        None
    }

    /// When the next request's latest start has passed.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        let Reverse((latest, _)) = self.expiries.peek()?;
        Some(latest.saturating_add(Duration::from_nanos(1)))
    }

    /// The request of a customer that must yield for the others to start in
    /// time, at `capacity` work a second for everybody.
    #[must_use]
    pub fn excess(&self, now: Duration, customer: u32, capacity: f64) -> Option<Ticket> {
        let owner = self.owner(customer);
        self.customers
            .get(owner)
            .queue
            .excess(now, &self.drain(owner, capacity))
    }

    /// The wait behind all that a customer has waiting, in seconds.
    #[must_use]
    pub fn wait(&self, customer: u32, capacity: f64) -> f64 {
        let owner = self.owner(customer);
        let ahead = self.customers.get(owner).queue.work();
        self.drain(owner, capacity).wait(ahead)
    }

    /// How fast a customer's queue drains.
    fn drain(&self, owner: u32, capacity: f64) -> Drain {
        let shares = self.ring.shares().max(1);
        let share = f64::from(self.customers.get(owner).share);
        #[allow(clippy::cast_precision_loss)] // Shares sum up far below 2^53.
        let rate = capacity * share / shares as f64;
        Drain {
            rate,
            whole: self.backlog / capacity,
        }
    }

    /// The customer whose queue a request waits in.
    fn owner(&self, customer: u32) -> u32 {
        if self.mechanisms.has(Mechanism::Shares) {
            customer
        } else {
            EVERYBODY
        }
    }
}
