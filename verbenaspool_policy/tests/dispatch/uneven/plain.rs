//! Simulates the entries and the upstreams of a plain service, one upstream in each of three zones.
//! Times are in milliseconds.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use verbenaspool_policy::dispatch::{
    AttemptOutcome, Dispatcher, PlacementRequest, Verdict, balance::Change, share::Weights,
};
use verbenaspool_state::replica::Replica;

use crate::simulation::{ms, replica, stream};

pub const ZONES: usize = 3;
pub const SLOTS: u32 = 6;
pub const MAX_QUEUED: usize = 24;
pub const NETWORK_DELAY_MS: u64 = 1;
pub const DIGEST_INTERVAL_MS: u64 = 60;
pub const USAGE_INTERVAL_MS: u64 = 200;

/// What the callers of the service need, and how its entries place requests.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub learns_speed: bool,
    pub entries_per_zone: usize,
    pub work_ms: f64,
    pub target_ms: u64,
    pub deadline_ms: u64,
    /// Whether a request that failed is sent to another upstream.
    pub repeatable: bool,
}

/// Firm 2's unsafe requests, at so few entries that a run takes little time.
pub const SETUP: Setup = Setup {
    learns_speed: true,
    entries_per_zone: 2,
    work_ms: 60.0,
    target_ms: 200,
    deadline_ms: 600,
    repeatable: false,
};

/// The state of a simulated upstream.
#[derive(Debug, Default)]
pub struct Server {
    pub running: u32,
    pub queued: VecDeque<usize>,
    /// How many times longer than usual its work takes.
    pub slowness: f64,
    pub is_down: bool,
    /// The share of requests that it fails, by the zone of the entry.
    pub failure_ratios: [f64; ZONES],
    /// Requests that arrived.
    pub arrivals: u32,
}

#[derive(Debug, Clone)]
pub struct Job {
    pub entry: usize,
    pub arrived_at: u64,
    pub sent_at: u64,
    pub attempts: u32,
    pub upstream: Option<usize>,
    pub request: PlacementRequest,
}

/// What the callers of a zone got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Callers {
    pub sent: u32,
    pub in_time: u32,
    /// No good response before the deadline.
    pub failed: u32,
    pub rejected: u32,
}

impl Callers {
    pub fn share_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

pub enum Event {
    Arrive(u64, usize),
    /// A request ends at its upstream, well or not.
    End(u64, usize, AttemptOutcome),
    Leave(u64),
}

/// Random numbers, the same in each run.
pub struct Random(u64);

impl Random {
    /// A random number in [0, 1).
    pub fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        f64::from(u32::try_from(self.0 >> 32).expect("32 bits")) / 4_294_967_296.0
    }
}

pub struct Plain {
    pub setup: Setup,
    pub now: u64,
    pub replicas: Vec<Replica>,
    pub servers: Vec<Server>,
    pub entries: Vec<Dispatcher>,
    pub jobs: BTreeMap<u64, Job>,
    pub events: BTreeMap<u64, Vec<Event>>,
    pub last_ticket: u64,
    pub due: [f64; ZONES],
    /// For arrivals, which are thus the same however requests are placed.
    pub arrivals_random: Random,
    pub work_random: Random,
    pub callers: [Callers; ZONES],
    pub changes: Vec<Change>,
    /// The customers and the share of each in all requests, where shares are enabled.
    pub customers: Vec<(Rc<str>, f64)>,
    /// Requests of each customer: sent, and served.
    pub by_customer: BTreeMap<Rc<str>, [u32; 2]>,
    pub usage_sequence: u64,
}

pub fn zone_name(zone: usize) -> Rc<str> {
    format!("z{zone}").into()
}

impl Plain {
    pub fn new(setup: Setup) -> Self {
        let upstream = |zone: usize| Replica {
            zone: zone_name(zone),
            ..replica(&format!("u{zone}"), SLOTS)
        };
        let replicas: Vec<Replica> = (0..ZONES).map(upstream).collect();
        let servers = replicas.iter().map(|_| Server {
            slowness: 1.0,
            ..Server::default()
        });
        let mut plain = Self {
            setup,
            now: 0,
            servers: servers.collect(),
            replicas,
            entries: Vec::new(),
            jobs: BTreeMap::new(),
            events: BTreeMap::new(),
            last_ticket: 0,
            due: [0.0; ZONES],
            arrivals_random: Random(99),
            work_random: Random(98),
            callers: [Callers::default(); ZONES],
            changes: Vec::new(),
            customers: Vec::new(),
            by_customer: BTreeMap::new(),
            usage_sequence: 0,
        };
        for number in 0..ZONES * setup.entries_per_zone {
            let entry = plain.entry(number);
            plain.entries.push(entry);
        }
        plain
    }

    /// An entry that has just started.
    pub fn entry(&self, number: usize) -> Dispatcher {
        let mut entry = Dispatcher::new(zone_name(number % ZONES), 7 + number as u64);
        entry.update_balancing(ms(self.now), self.setup.learns_speed);
        entry.set_upstreams(self.replicas.iter());
        entry
    }

    /// Divides capacity among customers, of which each sends this share of all requests.
    pub fn enable_shares(&mut self, customers: Vec<(Rc<str>, f64)>) {
        self.customers = customers;
        let count = self.entries.len();
        for (number, entry) in self.entries.iter_mut().enumerate() {
            entry.set_shares(Some(&Weights::default()));
            entry.set_sharing_entries(&format!("e{number}"), Some(count));
        }
    }

    /// The customer of the next request.
    pub fn next_customer(&mut self) -> Option<Rc<str>> {
        if self.customers.is_empty() {
            return None;
        }
        let mut left = self.arrivals_random.next();
        let mut customers = self.customers.iter();
        let customer = customers.find(|(_, share)| {
            left -= share;
            left < 0.0
        });
        let customer = customer.or(self.customers.last());
        customer.map(|(name, _)| name.clone())
    }

    /// Passes the usage that entries report to the others.
    pub fn exchange_usage(&mut self) {
        let now = ms(self.now);
        self.usage_sequence += 1;
        let entries = self.entries.iter_mut();
        let reports: Vec<_> = entries.map(|entry| entry.usage(now)).collect();
        for (number, entry) in self.entries.iter_mut().enumerate() {
            for (peer, report) in reports.iter().enumerate() {
                let Some(usage) = report.clone().filter(|_| peer != number) else {
                    continue;
                };
                let peer = u32::try_from(peer).expect("few");
                entry.record_usage(now, peer, (1, self.usage_sequence), usage);
            }
        }
    }

    pub fn schedule(&mut self, after: u64, event: Event) {
        self.events.entry(self.now + after).or_default().push(event);
    }

    /// Sends requests at these rates per second to the entries of each zone, until the last
    /// caller has left. Returns what their callers got.
    pub fn run(&mut self, rates: [f64; ZONES], duration_ms: u64) -> [Callers; ZONES] {
        self.callers = [Callers::default(); ZONES];
        self.send(rates, duration_ms);
        for _ in 0..self.setup.deadline_ms + 10 {
            self.tick();
        }
        self.callers
    }

    /// Sends requests at these rates per second to the entries of each zone.
    pub fn send(&mut self, rates: [f64; ZONES], duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            for (zone, rate) in rates.into_iter().enumerate() {
                self.due[zone] -= rate / 1e3;
                while self.due[zone] <= 0.0 {
                    self.due[zone] -= (1.0 - self.arrivals_random.next()).ln();
                    let number = self.arrivals_random.next() * 1e6;
                    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                    let number = number as usize % self.setup.entries_per_zone;
                    self.arrive(number * ZONES + zone);
                }
            }
            self.tick();
        }
    }

    pub fn arrive(&mut self, entry: usize) {
        self.last_ticket += 1;
        let customer = self.next_customer();
        if let Some(customer) = &customer {
            self.by_customer.entry(customer.clone()).or_default()[0] += 1;
            self.entries[entry].record_arrival(ms(self.now), Some(customer), 1.0);
        }
        let request = PlacementRequest {
            customer,
            target: ms(self.now + self.setup.target_ms),
            deadline: ms(self.now + self.setup.deadline_ms),
            place_by: ms(self.now + self.setup.deadline_ms),
            max_gap: None,
            ..stream(self.now)
        };
        let job = Job {
            entry,
            arrived_at: self.now,
            sent_at: self.now,
            attempts: 0,
            upstream: None,
            request: request.clone(),
        };
        self.callers[entry % ZONES].sent += 1;
        self.jobs.insert(self.last_ticket, job);
        self.entries[entry].submit(ms(self.now), self.last_ticket, request);
        self.schedule(self.setup.deadline_ms, Event::Leave(self.last_ticket));
    }

    pub fn tick(&mut self) {
        self.now += 1;
        let now = ms(self.now);
        for event in self.events.remove(&self.now).unwrap_or_default() {
            match event {
                Event::Arrive(ticket, upstream) => self.reach(ticket, upstream),
                Event::End(ticket, upstream, outcome) => self.end(ticket, upstream, outcome),
                Event::Leave(ticket) => self.leave(ticket),
            }
        }
        for number in 0..self.entries.len() {
            for (ticket, verdict) in self.entries[number].process_queue(now) {
                let job = self.jobs.get_mut(&ticket).expect("a waiting request");
                match verdict {
                    Verdict::Send(id) => {
                        let upstream = self.replicas.iter().position(|r| r.id == id);
                        job.upstream = upstream;
                        job.sent_at = self.now;
                        job.attempts += 1;
                        job.request.excluded.push(id);
                        let upstream = upstream.expect("an upstream of the service");
                        self.schedule(NETWORK_DELAY_MS, Event::Arrive(ticket, upstream));
                    }
                    Verdict::Reject(_) => {
                        self.callers[number % ZONES].rejected += 1;
                        self.jobs.remove(&ticket);
                    }
                }
            }
        }
        if self.now.is_multiple_of(20) {
            for entry in &mut self.entries {
                entry.update_balancing(now, self.setup.learns_speed);
                self.changes.extend(entry.take_balancing_changes());
            }
        }
        if self.now.is_multiple_of(DIGEST_INTERVAL_MS) {
            self.exchange_digests();
        }
        if self.now.is_multiple_of(USAGE_INTERVAL_MS) && !self.customers.is_empty() {
            self.exchange_usage();
        }
    }

    /// A request arrives at an upstream.
    pub fn reach(&mut self, ticket: u64, upstream: usize) {
        self.servers[upstream].arrivals += 1;
        if self.servers[upstream].is_down {
            let event = Event::End(ticket, usize::MAX, AttemptOutcome::Unreached);
            return self.schedule(NETWORK_DELAY_MS, event);
        }
        if self.servers[upstream].running < SLOTS {
            return self.start(ticket, upstream);
        }
        if self.servers[upstream].queued.len() >= MAX_QUEUED {
            let event = Event::End(ticket, usize::MAX, AttemptOutcome::Full);
            return self.schedule(NETWORK_DELAY_MS, event);
        }
        let ticket = usize::try_from(ticket).expect("a small number");
        self.servers[upstream].queued.push_back(ticket);
    }

    /// An upstream begins to work on a request.
    pub fn start(&mut self, ticket: u64, upstream: usize) {
        self.servers[upstream].running += 1;
        let zone = self.jobs.get(&ticket).map_or(0, |job| job.entry % ZONES);
        let work =
            self.setup.work_ms * self.servers[upstream].slowness * (0.5 + self.work_random.next());
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let work = work as u64 + NETWORK_DELAY_MS;
        let fails = self.work_random.next() < self.servers[upstream].failure_ratios[zone];
        let outcome = if fails {
            AttemptOutcome::Bad
        } else {
            AttemptOutcome::Good
        };
        self.schedule(work, Event::End(ticket, upstream, outcome));
    }

    /// A request ends at an upstream, or didn't run there (`usize::MAX`).
    pub fn end(&mut self, ticket: u64, upstream: usize, outcome: AttemptOutcome) {
        if let Some(server) = self.servers.get_mut(upstream) {
            server.running -= 1;
            if let Some(next) = server.queued.pop_front() {
                self.start(next as u64, upstream);
            }
        }
        let now = ms(self.now);
        let Some(job) = self.jobs.get(&ticket).cloned() else {
            // Its caller has left.
            return;
        };
        self.release(ticket, &job, outcome);
        if let Some(customer) = job.request.customer.as_ref()
            && outcome == AttemptOutcome::Good
        {
            let counts = self.by_customer.entry(customer.clone()).or_default();
            counts[1] += 1;
        }
        let callers = &mut self.callers[job.entry % ZONES];
        if outcome == AttemptOutcome::Good {
            callers.in_time += u32::from(self.now <= job.arrived_at + self.setup.target_ms);
            self.jobs.remove(&ticket);
            return;
        }
        let not_run = upstream == usize::MAX;
        if job.attempts < 3 && (not_run || self.setup.repeatable) {
            self.entries[job.entry].submit(now, ticket, job.request.clone());
            self.jobs
                .get_mut(&ticket)
                .expect("its caller waits")
                .upstream = None;
            return;
        }
        callers.failed += 1;
        self.jobs.remove(&ticket);
    }

    /// The caller of a request leaves at its deadline.
    pub fn leave(&mut self, ticket: u64) {
        if let Some(job) = self.jobs.remove(&ticket) {
            self.callers[job.entry % ZONES].failed += 1;
            self.entries[job.entry].cancel(ticket);
            self.release(ticket, &job, AttemptOutcome::Unknown);
        }
    }

    /// Releases the place of a request at its upstream, as a permit does.
    pub fn release(&mut self, ticket: u64, job: &Job, outcome: AttemptOutcome) {
        let Some(upstream) = job.upstream else {
            return;
        };
        let now = ms(self.now);
        let id = self.replicas[upstream].id.clone();
        let took = ms(self.now - job.sent_at);
        let entry = &mut self.entries[job.entry];
        let complete = outcome == AttemptOutcome::Good;
        if complete {
            entry.record_service_time(took);
        }
        entry.record_upstream_time(now, &id, took, complete);
        entry.finish_reservation(&id);
        entry.finish_work(ticket);
        entry.finish_attempt(now, &id, outcome);
    }

    pub fn exchange_digests(&mut self) {
        let now = ms(self.now);
        let loads: Vec<BTreeMap<Rc<str>, u32>> = self
            .entries
            .iter()
            .map(|e| e.in_flight(now).map(|(id, n)| (id.clone(), n)).collect())
            .collect();
        for (number, entry) in self.entries.iter_mut().enumerate() {
            for replica in &self.replicas {
                let others = loads.iter().enumerate().filter(|(n, _)| *n != number);
                let sum = others.filter_map(|(_, load)| load.get(&replica.id)).sum();
                entry.set_peer_load(now, &replica.id, sum);
            }
        }
    }
}

/// The share of requests in time of the worst and of the best zone.
pub fn worst_and_best(callers: [Callers; ZONES]) -> [f64; 2] {
    let shares = callers.map(Callers::share_in_time);
    [
        shares.into_iter().fold(f64::INFINITY, f64::min),
        shares.into_iter().fold(0.0, f64::max),
    ]
}

/// Runs the same load without and with learned speed.
pub fn compare(
    setup: Setup,
    mut load: impl FnMut(&mut Plain) -> [Callers; ZONES],
) -> [[Callers; ZONES]; 2] {
    [false, true].map(|learns_speed| {
        load(&mut Plain::new(Setup {
            learns_speed,
            ..setup
        }))
    })
}

pub fn sum(callers: [Callers; ZONES], count: impl Fn(Callers) -> u32) -> u32 {
    callers.into_iter().map(count).sum()
}
