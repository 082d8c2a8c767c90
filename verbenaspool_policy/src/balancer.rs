//! The decisions for one service at one entry instance, joined.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use verbenaspool_state::{decisions::Decisions, name::Name};

use crate::{
    attempt::{Ending, Id, Outcome},
    decision::{Decision, Reason, Refusal, Resolution, Start, Ticket},
    load::{Cache, Load},
    member::{Member, Peer},
    request::Request,
    snapshot::{Snapshot, Upstream as Shown},
};

/// How long a refused caller stays away where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides for one service at one entry instance.
///
/// The entry calls `offer` for each request, `finish` for each attempt's end, and
/// `poll` after every call that may free room and at [`Balancer::next_wake`].
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
    /// The entry's own zone.
    zone: Name,
    /// The upstreams worked with.
    upstreams: Vec<Upstream>,
    /// Waiting requests, oldest first.
    waiting: VecDeque<Waiting>,
    /// Attempts in flight and the upstream of each.
    attempts: HashMap<Id, Name>,
    /// The number of the next ticket or attempt.
    next: u64,
    /// Chooses among equals; seeded, so that runs repeat.
    random: SmallRng,
    /// Counts for metrics.
    counts: Snapshot,
}

/// An upstream worked with.
#[derive(Debug)]
struct Upstream {
    /// What the list says of it.
    member: Member,
    /// Attempts in flight.
    in_flight: u32,
}

/// A waiting request.
#[derive(Debug)]
struct Waiting {
    /// Its ticket.
    ticket: Ticket,
    /// Its deadline.
    deadline: Duration,
}

impl Balancer {
    /// A balancer without members. `seed` differs between entry instances, so
    /// that they don't all choose alike.
    #[must_use]
    pub fn new(settings: &Decisions, _entry: Name, zone: Name, seed: u64) -> Self {
        Self {
            settings: settings.clone(),
            zone,
            upstreams: Vec::new(),
            waiting: VecDeque::new(),
            attempts: HashMap::new(),
            next: 0,
            random: SmallRng::seed_from_u64(seed),
            counts: Snapshot::default(),
        }
    }

    /// Takes new settings and the customers' shares; a customer not named has share 1.
    pub fn configure(&mut self, _now: Duration, settings: &Decisions, _shares: &[(Name, u32)]) {
        self.settings = settings.clone();
    }

    /// Takes the service's whole list of upstreams; what it no longer names gets no new work.
    pub fn members(&mut self, _now: Duration, members: &[Member]) {
        let mut before: HashMap<Name, Upstream> = self
            .upstreams
            .drain(..)
            .map(|upstream| (upstream.member.name.clone(), upstream))
            .collect();
        for member in members.iter().filter(|member| !member.leaving) {
            let in_flight = before
                .remove(&member.name)
                .filter(|upstream| upstream.member.incarnation == member.incarnation)
                .map_or(0, |upstream| upstream.in_flight);
            self.upstreams.push(Upstream {
                member: member.clone(),
                in_flight,
            });
        }
    }

    /// Takes the list of entry instances that serve the service, this one among them.
    pub fn peers(&mut self, _now: Duration, _peers: &[Peer]) {}

    /// Decides on a request.
    pub fn offer(&mut self, now: Duration, request: &Request<'_>) -> Decision {
        self.counts.offered += 1;
        if self.upstreams.is_empty() {
            return Decision::Refuse(self.refuse(Reason::NoUpstream));
        }
        if request.deadline <= now {
            return Decision::Refuse(self.refuse(Reason::Late));
        }
        if self.waiting.is_empty()
            && let Some(start) = self.start(&[])
        {
            return Decision::Admit(start);
        }
        if self.waiting.len() >= self.settings.queue as usize {
            return Decision::Refuse(self.refuse(Reason::QueueFull));
        }
        self.counts.waited += 1;
        let ticket = Ticket(self.number());
        self.waiting.push_back(Waiting {
            ticket,
            deadline: request.deadline,
        });
        Decision::Wait(ticket)
    }

    /// The waiting requests that start or are given up now.
    pub fn poll(&mut self, now: Duration) -> Vec<Resolution> {
        let mut resolved = Vec::new();
        while let Some(first) = self.waiting.front() {
            let ticket = first.ticket;
            let result = if first.deadline <= now {
                Err(self.refuse(Reason::Expired))
            } else if let Some(start) = self.start(&[]) {
                Ok(start)
            } else {
                break;
            };
            self.waiting.pop_front();
            resolved.push(Resolution { ticket, result });
        }
        resolved
    }

    /// Takes back a waiting request whose caller left.
    pub fn cancel(&mut self, _now: Duration, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Learns from an attempt that ended. An unknown or repeated attempt changes nothing.
    pub fn finish(&mut self, _now: Duration, attempt: Id, _outcome: &Outcome) {
        let Some(name) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Some(upstream) = self.upstreams.iter_mut().find(|u| u.member.name == name) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
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
        if !safe || request.deadline <= now {
            return Decision::Refuse(self.refuse(Reason::NoRetry));
        }
        match self.start(tried) {
            Some(start) => {
                self.counts.retried += 1;
                Decision::Admit(start)
            }
            None => Decision::Refuse(self.refuse(Reason::NoRetry)),
        }
    }

    /// Learns from a load report, however late. Reports of another incarnation,
    /// and reordered ones, are ignored.
    pub fn report(&mut self, _now: Duration, _upstream: &Name, _load: &Load) {}

    /// Learns from a cache event, however late.
    pub fn cache(&mut self, _now: Duration, _upstream: &Name, _event: Cache) {}

    /// When `poll` has something to do if nothing else happens before.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        self.waiting.iter().map(|waiting| waiting.deadline).min()
    }

    /// Counts and state for metrics and status.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let mut snapshot = self.counts.clone();
        snapshot.waiting = self.waiting.len();
        snapshot.upstreams = self
            .upstreams
            .iter()
            .map(|upstream| Shown {
                name: upstream.member.name.clone(),
                in_flight: upstream.in_flight,
                limit: self.settings.initial_limit,
                ejected: false,
            })
            .collect();
        snapshot
    }

    /// Starts an attempt at the less loaded of two random upstreams with room.
    fn start(&mut self, tried: &[Name]) -> Option<Start> {
        let limit = self.settings.initial_limit;
        let open: Vec<usize> = (0..self.upstreams.len())
            .filter(|&i| self.upstreams[i].in_flight < limit)
            .filter(|&i| !tried.contains(&self.upstreams[i].member.name))
            .collect();
        if open.is_empty() {
            return None;
        }
        let first = open[self.random.random_range(0..open.len())];
        let second = open[self.random.random_range(0..open.len())];
        let chosen = if self.upstreams[second].in_flight < self.upstreams[first].in_flight {
            second
        } else {
            first
        };
        let attempt = Id(self.number());
        let upstream = &mut self.upstreams[chosen];
        upstream.in_flight += 1;
        let name = upstream.member.name.clone();
        self.counts.spilled += u64::from(upstream.member.zone != self.zone);
        self.counts.started += 1;
        self.attempts.insert(attempt, name.clone());
        Some(Start {
            attempt,
            upstream: name,
        })
    }

    /// A refusal, counted.
    fn refuse(&mut self, reason: Reason) -> Refusal {
        self.counts.refused[reason as usize] += 1;
        Refusal {
            reason,
            retry_after: RETRY_AFTER,
        }
    }

    /// The next unused number.
    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
