//! Divides capacity among customers while there isn't enough for all requests.
//!
//! The load: 24 customers of which three send six times as much as the others, bursts of 2.4
//! times the usual traffic with a hot key, callers that repeat at once, and callers that are
//! spread unevenly over entries. Each entry alone ordered its queue, so that the customers with
//! most callers took most slots.
//!
//! Entries exchange what each customer has in service, and compute the same max-min fair share
//! from it. Requests of customers at or over their share come after all others. Everything here
//! is measured in work, where an average request has a work of about 1.

mod dispatcher;
pub mod level;
pub mod turns;
mod usage;
pub mod work;

use std::{collections::HashMap, rc::Rc, time::Duration};

use self::usage::OwnUsage;
pub use self::usage::{MAX_REPORTED_CUSTOMERS, MAX_TRACKED_CUSTOMERS, Usage, Work};
use super::wait_queue::Ticket;

/// Identifies a customer in the usage of all entries.
pub type CustomerId = u32;

/// Identifies another entry.
pub type PeerId = u32;

/// The customers beyond the limit on tracked ones, which share a weight of 1.
const UNTRACKED_CUSTOMERS: CustomerId = 0;

/// The weight of customers that the settings don't name.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Minimum interval between two computations of the share level.
const LEVEL_INTERVAL: Duration = Duration::from_millis(200);

/// How long a shortage counts after a request last found no capacity at this entry.
const SHORTAGE_TIME: Duration = Duration::from_secs(1);

/// How long a shortage counts that a peer reported. With 43 peers and two services in shortage, a
/// peer's reports are 1.2 s apart, and one may be lost. Shorter, an entry without a shortage of its
/// own would forget the usage of all peers between two reports.
const PEER_SHORTAGE_TIME: Duration = Duration::from_secs(3);

/// How long it takes until another entry uses a freed slot: digests take up to 0.1 s, and a
/// decrease of load is used 0.08 s later on average. Requests over their customer's share leave
/// room for the requests that arrive at other entries meanwhile.
const RESERVE_TIME: Duration = Duration::from_millis(200);

/// Reports may arrive out of order for this long. After that any report is accepted, as a
/// restarted peer may have a lower incarnation.
const REORDER_WINDOW: Duration = Duration::from_secs(1);

/// The weight of the newest computation in the mean work in service: about the last second
/// counts. Streams of lock-stepped ranks end together, and the level of a few large customers
/// follows what the small ones leave, so it went from 6 to 16 and back within a second.
const NEWEST_IN_SERVICE_WEIGHT: f64 = 0.2;

/// Tolerance for sums of work, which are rounded.
const WORK_TOLERANCE: f64 = 1e-6;

/// The identifier of a customer; `None` stands for all callers without an API key.
///
/// ```
/// use verbenaspool_policy::dispatch::share::customer_id;
///
/// assert_ne!(customer_id(Some("a")), customer_id(Some("b")));
/// assert_ne!(customer_id(None), 0);
/// ```
#[must_use]
pub fn customer_id(name: Option<&str>) -> CustomerId {
    let hash = xxhash_rust::xxh3::xxh3_64(name.unwrap_or_default().as_bytes());
    #[allow(clippy::cast_possible_truncation)] // Half of the hash is enough.
    let short = hash as u32;
    short.max(UNTRACKED_CUSTOMERS + 1)
}

/// The weights of customers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Weights(HashMap<CustomerId, f64>);

impl Weights {
    /// The weights of the named customers. Others have weight 1.
    pub fn new<'a>(weights: impl Iterator<Item = (&'a str, f64)>) -> Self {
        Self(
            weights
                .map(|(name, weight)| (customer_id(Some(name)), weight))
                .collect(),
        )
    }

    fn of(&self, customer: CustomerId) -> f64 {
        self.0.get(&customer).copied().unwrap_or(DEFAULT_WEIGHT)
    }
}

/// The last report of another entry.
#[derive(Debug)]
struct PeerUsage {
    /// The sender's incarnation and the report's sequence number.
    order: (u64, u64),
    received_at: Duration,
    usage: Usage,
}

/// The share level, and what it was computed from.
#[derive(Debug, Default)]
struct ShareLevel {
    computed_at: Option<Duration>,
    /// Number of peers that have reported, and the mean work in service.
    in_service: Option<(usize, f64)>,
    /// The work in service of a customer with weight 1 at its share; `None` if all demand fits.
    level: Option<f64>,
    /// The work that each customer may have in service at this entry.
    own_shares: HashMap<CustomerId, f64>,
    /// The work for which requests over their customer's share leave room.
    reserve: f64,
    /// Number of customers at or over their share.
    over: usize,
}

/// A summary of the shares of a service, for logs and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShareStatus {
    /// Whether shares apply now.
    pub active: bool,
    /// The work in service of a customer with weight 1 at its share, unless all demand fits.
    pub level: Option<f64>,
    /// Number of customers at or over their share.
    pub over: usize,
    /// Number of customers that this entry tracks.
    pub tracked: usize,
    /// Number of other entries whose usage counts.
    pub peers: usize,
}

/// What customers use of one service, and the share that each has of it.
#[derive(Debug, Default)]
pub struct Shares {
    weights: Weights,
    own: OwnUsage,
    peers: HashMap<PeerId, PeerUsage>,
    level: ShareLevel,
    turns: turns::Turns,
}

impl Shares {
    /// Records a request that arrived, once however often it is queued.
    fn record_arrival(&mut self, now: Duration, customer: CustomerId, work: f64, window: Duration) {
        self.own.record_arrival(now, customer, work, window);
    }

    /// Records that a request was sent.
    fn record_placement(&mut self, now: Duration, ticket: Ticket, customer: CustomerId, work: f64) {
        self.own.record_placement(now, ticket, customer, work);
    }

    /// Records that a request that was sent has finished.
    fn record_finish(&mut self, ticket: Ticket) {
        self.own.record_finish(ticket);
    }

    /// Records the usage that a peer reports. Returns whether the report was accepted; one that
    /// is older than the last is dropped.
    fn record_peer(
        &mut self,
        now: Duration,
        peer: PeerId,
        order: (u64, u64),
        usage: Usage,
    ) -> bool {
        if !usage.is_plausible() {
            return false;
        }
        let outdated = self.peers.get(&peer).is_some_and(|last| {
            order <= last.order && now.saturating_sub(last.received_at) < REORDER_WINDOW
        });
        if !outdated {
            let received_at = now;
            self.peers.insert(
                peer,
                PeerUsage {
                    order,
                    received_at,
                    usage,
                },
            );
        }
        !outdated
    }

    /// Whether a peer reported a shortage recently.
    fn peer_shortage(&self, now: Duration) -> bool {
        self.peers.values().any(|peer| {
            peer.usage.shortage && now.saturating_sub(peer.received_at) < PEER_SHORTAGE_TIME
        })
    }

    /// Whether a customer is at or over its share.
    fn is_over(&self, customer: CustomerId) -> bool {
        let Some(level) = self.level.level else {
            return false;
        };
        let customer = self.own.key(customer);
        let share = self.level.own_shares.get(&customer).copied();
        let share = share.unwrap_or_else(|| level * self.weights.of(customer));
        self.own.in_service(customer) + WORK_TOLERANCE >= share
    }

    /// The number of requests for which those over their share leave room.
    fn reserved_requests(&self) -> f64 {
        self.level.reserve / self.own.mean_work()
    }

    /// Computes the share level anew if the last computation is old enough.
    ///
    /// `entries` is the number of entries that share the upstreams. While none of the others has
    /// reported, this entry's usage times that number stands for the sum.
    ///
    /// What a customer has in service beyond its share, or has left of it, is divided among the
    /// entries that serve it. If each used all of what is left, they would exceed the share
    /// several times over before they hear of each other.
    fn update_level(
        &mut self,
        now: Duration,
        service_time: Duration,
        entries: usize,
        waiting: impl Iterator<Item = (CustomerId, f64)>,
    ) {
        let computed_at = self.level.computed_at;
        if computed_at.is_some_and(|at| now < at + LEVEL_INTERVAL) {
            return;
        }
        self.own.prune(now);
        #[allow(clippy::cast_precision_loss)] // A few thousand at most.
        let own_factor = if self.peers.is_empty() {
            entries.max(1) as f64
        } else {
            1.0
        };
        let mut customers: HashMap<CustomerId, Work> = self
            .own
            .by_customer(now, service_time, waiting)
            .into_iter()
            .map(|(customer, work)| (customer, work.scaled(own_factor)))
            .collect();
        let mut peers_with: HashMap<CustomerId, f64> = HashMap::new();
        let mut demands: Vec<level::Demand> = Vec::new();
        let mut in_service = 0.0;
        for peer in self.peers.values() {
            for (customer, work) in &peer.usage.largest {
                *customers.entry(*customer).or_default() += *work;
                *peers_with.entry(*customer).or_default() += 1.0;
            }
            // Customers that a report doesn't name use less than those it names. They count as
            // equal ones.
            let (count, rest) = peer.usage.rest();
            in_service += rest.in_service;
            if count > 0 {
                demands.push(level::Demand {
                    work: rest.demand(),
                    weight: f64::from(count),
                });
            }
        }
        in_service += customers.values().map(|work| work.in_service).sum::<f64>();
        let weights = &self.weights;
        demands.extend(customers.iter().map(|(customer, work)| level::Demand {
            work: work.demand(),
            weight: weights.of(*customer),
        }));
        let in_service = match self.level.in_service {
            Some((peers, mean)) if peers == self.peers.len() => {
                mean + (in_service - mean) * NEWEST_IN_SERVICE_WEIGHT
            }
            _ => in_service,
        };
        let level = level::max_min(&mut demands, in_service);
        // An entry alone knows of all requests that wait.
        let reserve_ratio = if entries > 1 || !self.peers.is_empty() {
            let service_time = service_time.max(Duration::from_millis(1));
            (RESERVE_TIME.as_secs_f64() / service_time.as_secs_f64()).min(1.0)
        } else {
            0.0
        };
        let (mut over, mut reserve) = (0, 0.0);
        let mut own_shares = HashMap::new();
        if let Some(level) = level {
            for (customer, work) in &customers {
                let share = level * weights.of(*customer);
                let entries_with = own_factor + peers_with.get(customer).copied().unwrap_or(0.0);
                let room = (share - work.in_service) / entries_with;
                own_shares.insert(*customer, self.own.in_service(*customer) + room);
                if work.in_service + WORK_TOLERANCE >= share {
                    over += 1;
                } else {
                    reserve += (work.demand() * reserve_ratio).min(share - work.in_service);
                }
            }
        }
        self.level = ShareLevel {
            computed_at: Some(now),
            in_service: Some((self.peers.len(), in_service)),
            level,
            own_shares,
            reserve,
            over,
        };
    }

    /// Forgets what was computed and reported during a shortage that has ended.
    fn end_shortage(&mut self) {
        self.level = ShareLevel::default();
        self.peers.clear();
        self.turns = turns::Turns::default();
    }
}

/// The identifier of a request's customer.
fn id_of(customer: Option<&Rc<str>>) -> CustomerId {
    customer_id(customer.map(|name| &**name))
}
