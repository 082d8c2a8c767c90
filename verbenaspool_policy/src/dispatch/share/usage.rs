//! What customers use of a service: at this entry, and as entries report it to each other.

use std::{collections::HashMap, ops::AddAssign, time::Duration};

use super::{CustomerId, Ticket, UNTRACKED_CUSTOMERS, WORK_TOLERANCE};

/// The most customers that are tracked for a service at an entry.
pub const MAX_TRACKED_CUSTOMERS: usize = 4_096;

/// The most customers in a report, which has to fit in a datagram.
pub const MAX_REPORTED_CUSTOMERS: usize = 64;

/// The time constant of demand, as a share of the service time. Arrivals then have the same mean
/// age as those of exactly the last service time.
const DEMAND_WINDOW_RATIO: f64 = 0.5;

/// The shortest time constant of demand. A plain service may answer in 15 ms, in which an entry
/// gets a fraction of one request.
const MIN_DEMAND_WINDOW: Duration = Duration::from_millis(250);

/// The time constant of demand.
fn demand_window(service_time: Duration) -> Duration {
    service_time
        .mul_f64(DEMAND_WINDOW_RATIO)
        .max(MIN_DEMAND_WINDOW)
}

/// Demand below this work is forgotten.
const MIN_DEMAND: f64 = 1e-3;

/// The largest plausible work of one entry in a report.
const MAX_WORK: f64 = 1e9;

/// The work of a customer's requests, or of several customers'.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Work that was sent and has not finished.
    pub in_service: f64,
    /// Work that waits for an upstream.
    pub waiting: f64,
    /// Work that arrived in the last service time.
    pub arrived: f64,
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        self.in_service += other.in_service;
        self.waiting += other.waiting;
        self.arrived += other.arrived;
    }
}

impl Work {
    /// The work that would be in service if nothing limited it. Arrivals include requests that
    /// were rejected; the requests that are still here count at least.
    #[must_use]
    pub fn demand(&self) -> f64 {
        self.arrived.max(self.in_service + self.waiting)
    }

    /// The work times a factor.
    pub(super) fn scaled(self, factor: f64) -> Self {
        Self {
            in_service: self.in_service * factor,
            waiting: self.waiting * factor,
            arrived: self.arrived * factor,
        }
    }

    fn is_plausible(&self) -> bool {
        [self.in_service, self.waiting, self.arrived]
            .iter()
            .all(|work| (0.0..MAX_WORK).contains(work))
    }
}

/// The usage of a service at one entry, as it is reported to others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Usage {
    /// Whether a request that could be on time found no capacity there in the last second.
    pub shortage: bool,
    /// Number of customers with work.
    pub customers: u32,
    /// The sum over all customers.
    pub total: Work,
    /// The customers with the most work.
    pub largest: Vec<(CustomerId, Work)>,
}

impl Usage {
    pub(super) fn is_plausible(&self) -> bool {
        let works = self.largest.iter().map(|(_, work)| work);
        self.largest.len() <= MAX_REPORTED_CUSTOMERS
            && works.chain([&self.total]).all(Work::is_plausible)
    }

    /// The number of customers that aren't named, and their work.
    pub(super) fn rest(&self) -> (u32, Work) {
        let mut named = Work::default();
        for (_, work) in &self.largest {
            named += *work;
        }
        let count = u32::try_from(self.largest.len()).unwrap_or(u32::MAX);
        let rest = Work {
            in_service: (self.total.in_service - named.in_service).max(0.0),
            waiting: (self.total.waiting - named.waiting).max(0.0),
            arrived: (self.total.arrived - named.arrived).max(0.0),
        };
        let count = self.customers.saturating_sub(count);
        if count == 0 {
            (0, Work::default())
        } else {
            (count, rest)
        }
    }
}

/// What a customer uses at this entry.
#[derive(Debug, Default)]
struct Tracked {
    in_service: f64,
    /// Number of requests in service.
    requests: u32,
    /// Work that arrived, with older work weighing less, as of `arrived_at`.
    arrived: f64,
    arrived_at: Duration,
    /// The time constant of `arrived`.
    window: Duration,
    last_active: Duration,
}

impl Tracked {
    /// Work that arrived in the last window.
    fn arrived(&self, now: Duration) -> f64 {
        if self.arrived <= 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.arrived_at).as_secs_f64();
        self.arrived * (-age / self.window.as_secs_f64()).exp()
    }

    fn is_idle(&self) -> bool {
        self.requests == 0
    }
}

/// What customers use at this entry.
#[derive(Debug, Default)]
pub(super) struct OwnUsage {
    customers: HashMap<CustomerId, Tracked>,
    /// Requests in service: the customer they count for, and their work.
    placed: HashMap<Ticket, (CustomerId, f64)>,
    in_service: f64,
}

impl OwnUsage {
    /// The number of customers that are tracked by themselves.
    pub(super) fn tracked(&self) -> usize {
        let untracked = usize::from(self.customers.contains_key(&UNTRACKED_CUSTOMERS));
        self.customers.len() - untracked
    }

    /// The identifier under which a customer's work is counted.
    pub(super) fn key(&self, customer: CustomerId) -> CustomerId {
        let full = self.tracked() >= MAX_TRACKED_CUSTOMERS;
        if full && !self.customers.contains_key(&customer) {
            UNTRACKED_CUSTOMERS
        } else {
            customer
        }
    }

    /// Starts to track a customer if there is room, or if another one can be evicted. Returns the
    /// identifier under which its work is counted.
    fn track(&mut self, customer: CustomerId) -> CustomerId {
        if self.customers.contains_key(&customer) {
            return customer;
        }
        if self.tracked() >= MAX_TRACKED_CUSTOMERS && !self.evict_idle() {
            return UNTRACKED_CUSTOMERS;
        }
        customer
    }

    /// Evicts the least recently active customer without requests in service. Returns whether
    /// there was one.
    fn evict_idle(&mut self) -> bool {
        let idle = self.customers.iter();
        let idle = idle.filter(|(id, tracked)| **id != UNTRACKED_CUSTOMERS && tracked.is_idle());
        let oldest = idle.min_by_key(|(id, tracked)| (tracked.last_active, **id));
        let oldest = oldest.map(|(id, _)| *id);
        oldest.is_some_and(|id| self.customers.remove(&id).is_some())
    }

    /// Records a request that arrived. `service_time` is how long requests take.
    pub(super) fn record_arrival(
        &mut self,
        now: Duration,
        customer: CustomerId,
        work: f64,
        service_time: Duration,
    ) {
        let customer = self.track(customer);
        let tracked = self.customers.entry(customer).or_default();
        tracked.arrived = tracked.arrived(now) + work;
        tracked.arrived_at = now;
        tracked.window = demand_window(service_time);
        tracked.last_active = now;
    }

    /// Records that a request was sent.
    pub(super) fn record_placement(
        &mut self,
        now: Duration,
        ticket: Ticket,
        customer: CustomerId,
        work: f64,
    ) {
        let customer = self.track(customer);
        let tracked = self.customers.entry(customer).or_default();
        tracked.in_service += work;
        tracked.requests += 1;
        tracked.last_active = now;
        self.in_service += work;
        self.placed.insert(ticket, (customer, work));
    }

    /// Records that a request that was sent has finished.
    pub(super) fn record_finish(&mut self, ticket: Ticket) {
        let Some((customer, work)) = self.placed.remove(&ticket) else {
            return;
        };
        self.in_service -= work;
        if let Some(tracked) = self.customers.get_mut(&customer) {
            tracked.requests = tracked.requests.saturating_sub(1);
            tracked.in_service = if tracked.is_idle() {
                0.0
            } else {
                tracked.in_service - work
            };
        }
        if self.placed.is_empty() {
            self.in_service = 0.0;
        }
    }

    /// The work that a customer has in service.
    pub(super) fn in_service(&self, customer: CustomerId) -> f64 {
        self.customers.get(&customer).map_or(0.0, |t| t.in_service)
    }

    /// The mean work of a request in service.
    pub(super) fn mean_work(&self) -> f64 {
        if self.placed.is_empty() {
            return 1.0;
        }
        #[allow(clippy::cast_precision_loss)] // A few thousand at most.
        let count = self.placed.len() as f64;
        (self.in_service / count).max(WORK_TOLERANCE)
    }

    /// Forgets customers without work.
    pub(super) fn prune(&mut self, now: Duration) {
        self.customers
            .retain(|_, tracked| !tracked.is_idle() || tracked.arrived(now) >= MIN_DEMAND);
    }

    /// The work of each customer, given the work that waits.
    pub(super) fn by_customer(
        &self,
        now: Duration,
        service_time: Duration,
        waiting: impl Iterator<Item = (CustomerId, f64)>,
    ) -> HashMap<CustomerId, Work> {
        let work = |tracked: &Tracked| Work {
            in_service: tracked.in_service,
            waiting: 0.0,
            arrived: tracked.arrived(now) * service_time.as_secs_f64()
                / demand_window(service_time).as_secs_f64(),
        };
        let customers = self.customers.iter();
        let mut works: HashMap<CustomerId, Work> =
            customers.map(|(id, t)| (*id, work(t))).collect();
        for (customer, work) in waiting {
            works.entry(self.key(customer)).or_default().waiting += work;
        }
        works
    }

    /// The report for other entries.
    pub(super) fn report(
        &self,
        now: Duration,
        service_time: Duration,
        waiting: impl Iterator<Item = (CustomerId, f64)>,
        shortage: bool,
    ) -> Usage {
        let works = self.by_customer(now, service_time, waiting);
        let mut largest: Vec<(CustomerId, Work)> = works.into_iter().collect();
        largest.retain(|(_, work)| work.demand() >= MIN_DEMAND);
        let mut total = Work::default();
        for (_, work) in &largest {
            total += *work;
        }
        let customers = u32::try_from(largest.len()).unwrap_or(u32::MAX);
        largest.sort_unstable_by(|(a_id, a), (b_id, b)| {
            let by_work = b.demand().total_cmp(&a.demand());
            by_work.then(a_id.cmp(b_id))
        });
        largest.truncate(MAX_REPORTED_CUSTOMERS);
        Usage {
            shortage,
            customers,
            total,
            largest,
        }
    }
}
