//! Uneven upstreams and zones: a plain service with one upstream in each of three zones, of which
//! one is slow, fails or flaps, or whose zone has most of the traffic. Times are in milliseconds.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use verbenaspool_policy::dispatch::{
    AttemptOutcome, Dispatcher, PlacementRequest, Verdict, balance::Change, probation::Probation,
    share::Weights,
};
use verbenaspool_state::replica::Replica;

use crate::simulation::{Simulation, ms, replica, stream};

const ZONES: usize = 3;
const SLOTS: u32 = 6;
const MAX_QUEUED: usize = 24;
const NETWORK_DELAY_MS: u64 = 1;
const DIGEST_INTERVAL_MS: u64 = 60;
const USAGE_INTERVAL_MS: u64 = 200;

/// What the callers of the service need, and how its entries place requests.
#[derive(Debug, Clone, Copy)]
struct Setup {
    learns_speed: bool,
    entries_per_zone: usize,
    work_ms: f64,
    target_ms: u64,
    deadline_ms: u64,
    /// Whether a request that failed is sent to another upstream.
    repeatable: bool,
}

/// Firm 2's unsafe requests, at so few entries that a run takes little time.
const SETUP: Setup = Setup {
    learns_speed: true,
    entries_per_zone: 2,
    work_ms: 60.0,
    target_ms: 200,
    deadline_ms: 600,
    repeatable: false,
};

/// The state of a simulated upstream.
#[derive(Debug, Default)]
struct Server {
    running: u32,
    queued: VecDeque<usize>,
    /// How many times longer than usual its work takes.
    slowness: f64,
    is_down: bool,
    /// The share of requests that it fails, by the zone of the entry.
    failure_ratios: [f64; ZONES],
    /// Requests that arrived.
    arrivals: u32,
}

#[derive(Debug, Clone)]
struct Job {
    entry: usize,
    arrived_at: u64,
    sent_at: u64,
    attempts: u32,
    upstream: Option<usize>,
    request: PlacementRequest,
}

/// What the callers of a zone got.
#[derive(Debug, Clone, Copy, Default)]
struct Callers {
    sent: u32,
    in_time: u32,
    /// No good response before the deadline.
    failed: u32,
    rejected: u32,
}

impl Callers {
    fn share_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

enum Event {
    Arrive(u64, usize),
    /// A request ends at its upstream, well or not.
    End(u64, usize, AttemptOutcome),
    Leave(u64),
}

/// Random numbers, the same in each run.
struct Random(u64);

impl Random {
    /// A random number in [0, 1).
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        f64::from(u32::try_from(self.0 >> 32).expect("32 bits")) / 4_294_967_296.0
    }
}

struct Plain {
    setup: Setup,
    now: u64,
    replicas: Vec<Replica>,
    servers: Vec<Server>,
    entries: Vec<Dispatcher>,
    jobs: BTreeMap<u64, Job>,
    events: BTreeMap<u64, Vec<Event>>,
    last_ticket: u64,
    due: [f64; ZONES],
    /// For arrivals, which are thus the same however requests are placed.
    arrivals_random: Random,
    work_random: Random,
    callers: [Callers; ZONES],
    changes: Vec<Change>,
    /// The customers and the share of each in all requests, where shares are enabled.
    customers: Vec<(Rc<str>, f64)>,
    /// Requests of each customer: sent, and served.
    by_customer: BTreeMap<Rc<str>, [u32; 2]>,
    usage_sequence: u64,
}

fn zone_name(zone: usize) -> Rc<str> {
    format!("z{zone}").into()
}

impl Plain {
    fn new(setup: Setup) -> Self {
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
    fn entry(&self, number: usize) -> Dispatcher {
        let mut entry = Dispatcher::new(zone_name(number % ZONES), 7 + number as u64);
        entry.update_balancing(ms(self.now), self.setup.learns_speed);
        entry.set_upstreams(self.replicas.iter());
        entry
    }

    /// Divides capacity among customers, of which each sends this share of all requests.
    fn enable_shares(&mut self, customers: Vec<(Rc<str>, f64)>) {
        self.customers = customers;
        let count = self.entries.len();
        for (number, entry) in self.entries.iter_mut().enumerate() {
            entry.set_shares(Some(&Weights::default()));
            entry.set_sharing_entries(&format!("e{number}"), Some(count));
        }
    }

    /// The customer of the next request.
    fn next_customer(&mut self) -> Option<Rc<str>> {
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
    fn exchange_usage(&mut self) {
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

    fn schedule(&mut self, after: u64, event: Event) {
        self.events.entry(self.now + after).or_default().push(event);
    }

    /// Sends requests at these rates per second to the entries of each zone, until the last
    /// caller has left. Returns what their callers got.
    fn run(&mut self, rates: [f64; ZONES], duration_ms: u64) -> [Callers; ZONES] {
        self.callers = [Callers::default(); ZONES];
        self.send(rates, duration_ms);
        for _ in 0..self.setup.deadline_ms + 10 {
            self.tick();
        }
        self.callers
    }

    /// Sends requests at these rates per second to the entries of each zone.
    fn send(&mut self, rates: [f64; ZONES], duration_ms: u64) {
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

    fn arrive(&mut self, entry: usize) {
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

    fn tick(&mut self) {
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
    fn reach(&mut self, ticket: u64, upstream: usize) {
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
    fn start(&mut self, ticket: u64, upstream: usize) {
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
    fn end(&mut self, ticket: u64, upstream: usize, outcome: AttemptOutcome) {
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
    fn leave(&mut self, ticket: u64) {
        if let Some(job) = self.jobs.remove(&ticket) {
            self.callers[job.entry % ZONES].failed += 1;
            self.entries[job.entry].cancel(ticket);
            self.release(ticket, &job, AttemptOutcome::Unknown);
        }
    }

    /// Releases the place of a request at its upstream, as a permit does.
    fn release(&mut self, ticket: u64, job: &Job, outcome: AttemptOutcome) {
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

    fn exchange_digests(&mut self) {
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
fn worst_and_best(callers: [Callers; ZONES]) -> [f64; 2] {
    let shares = callers.map(Callers::share_in_time);
    [
        shares.into_iter().fold(f64::INFINITY, f64::min),
        shares.into_iter().fold(0.0, f64::max),
    ]
}

/// Runs the same load without and with learned speed.
fn compare(
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

fn sum(callers: [Callers; ZONES], count: impl Fn(Callers) -> u32) -> u32 {
    callers.into_iter().map(count).sum()
}

/// Guards against a zone whose callers wait for its own upstream during a wave, while the
/// upstreams of other zones have capacity.
#[test]
fn a_zone_in_a_wave_uses_the_capacity_of_the_others() {
    // 85 % of the capacity of all, so that the zone of the wave has 1.24 times its own.
    let mean = 0.85 * f64::from(SLOTS) * 1e3 / SETUP.work_ms;
    let results = compare(SETUP, |plain| {
        plain.run([0.8 * mean; ZONES], 3_000);
        plain.run([1.5 * mean, 0.8 * mean, 0.8 * mean], 8_000)
    });
    let [worst, best] = worst_and_best(results[1]);
    assert!(worst >= best - 0.05, "{worst} {best}");
    assert!(worst >= 0.95, "{worst}");
}

/// Guards against callers with a deadline of 600 ms that wait at a slow upstream in vain. At 12
/// times the usual 60 ms, none of its responses is complete before the deadline.
#[test]
fn callers_are_in_time_beside_a_slow_upstream() {
    for (slowness, rate, min_worst) in [(3.0, 55.0, 0.96), (12.0, 45.0, 0.96)] {
        let results = compare(SETUP, |plain| {
            plain.run([rate; ZONES], 3_000);
            plain.servers[1].slowness = slowness;
            plain.run([rate; ZONES], 1_000);
            plain.run([rate; ZONES], 8_000)
        });
        let [[before, _], [after, _]] = results.map(worst_and_best);
        assert!(after >= min_worst && after > before, "{after} {before}");
        let failed = sum(results[1], |callers| callers.failed);
        let sent = sum(results[1], |callers| callers.sent);
        assert!(failed * 100 <= sent, "{failed} of {sent}");
    }
}

/// Guards against an upstream that goes down and up every 1.2 s and gets its share of requests
/// again with its first success, so that each time many requests find it down.
#[test]
fn few_requests_find_a_flapping_upstream_down() {
    let mut found_down = [0; 2];
    let results = compare(SETUP, |plain| {
        plain.run([50.0; ZONES], 2_000);
        plain.callers = [Callers::default(); ZONES];
        let mut down = 0;
        for number in 0..5 {
            let is_down = number % 2 == 0;
            plain.servers[2].is_down = is_down;
            // Requests in progress fail as it goes down.
            plain.servers[2].failure_ratios = [f64::from(u8::from(is_down)); ZONES];
            plain.servers[2].arrivals = 0;
            plain.send([50.0; ZONES], 1_200);
            down += if is_down {
                plain.servers[2].arrivals
            } else {
                0
            };
        }
        found_down[usize::from(plain.setup.learns_speed)] = down;
        plain.callers
    });
    let [before, after] = found_down;
    // Each of six entries finds it down once in each of three times.
    assert!(after < before && after <= 21, "{after} {before}");
    assert_eq!(sum(results[1], |callers| callers.rejected), 0);
    let [[before, _], [after, _]] = results.map(worst_and_best);
    assert!(after >= before && after >= 0.95, "{after} {before}");
}

/// Guards against an upstream that flaps and whose ejections stay short, as one success clears
/// its past, or stay long after it has been well for as long as it was ejected.
#[test]
fn ejections_grow_until_the_upstream_was_good_for_as_long() {
    let mut probation = Probation::new(12);
    let mut now = 0;
    for expected_ms in [400, 800, 1_600, 3_200, 6_000, 6_000] {
        probation.eject(ms(now));
        let left = (0..7_000).find(|left| probation.allows(ms(now + left)));
        assert_eq!(left, Some(expected_ms));
        now += expected_ms;
        probation.record_good(ms(now));
    }
    for _ in 0..=18 {
        assert!(!probation.is_forgotten());
        probation.record_good(ms(now));
        now += 1_000;
    }
    assert!(probation.is_forgotten() && !probation.is_returning());
}

/// Guards against an upstream that gets a burst as it returns, or never its capacity again.
#[test]
fn an_upstream_returns_with_one_request_then_twice_as_many() {
    let mut probation = Probation::new(12);
    probation.record_sent(ms(0));
    probation.eject(ms(0));
    assert!(probation.allows(ms(400)), "a stuck request doesn't count");
    probation.record_finished();
    for allowed in [1, 2, 4, 8, 12] {
        for _ in 0..allowed {
            assert!(probation.allows(ms(500)), "{allowed}");
            probation.record_sent(ms(500));
        }
        let unlimited = allowed == 12;
        assert_eq!(probation.allows(ms(500)), unlimited, "{allowed}");
        for _ in 0..allowed {
            probation.record_finished();
        }
        probation.record_good(ms(500));
    }
}

/// Guards against an upstream that fails for the callers of one zone and is left by the entries
/// of others too, or is used on by the entries of that zone.
#[test]
fn an_upstream_that_fails_for_one_zone_serves_the_others() {
    let mut plain = Plain::new(SETUP);
    plain.run([40.0; ZONES], 2_000);
    plain.servers[0].failure_ratios = [1.0, 0.0, 0.0];
    plain.run([40.0; ZONES], 1_000);
    let callers = plain.run([40.0; ZONES], 6_000);
    for (number, entry) in plain.entries.iter().enumerate() {
        let ejected = entry.snapshot(ms(plain.now)).ejected;
        let counts = entry.balancing_counts().expect("it learns");
        assert!(number % ZONES == 0 || ejected == 0, "{number}: {ejected}");
        let needs_others = number % ZONES == 0;
        assert!(
            !needs_others || counts.other_zone_requests > 100,
            "{counts:?}"
        );
    }
    assert!(callers[0].failed <= 6, "{callers:?}");
    assert_eq!(callers[1].failed + callers[2].failed, 0, "{callers:?}");
}

/// Guards against requests that are rejected because one of three upstreams has left while
/// another is slow.
#[test]
fn requests_are_served_after_a_scale_in_beside_a_slow_upstream() {
    let results = compare(SETUP, |plain| {
        plain.run([30.0; ZONES], 2_000);
        plain.servers[1].slowness = 3.0;
        plain.run([30.0; ZONES], 2_000);
        let left: Vec<Replica> = plain.replicas[..2].to_vec();
        for entry in &mut plain.entries {
            entry.set_upstreams(left.iter());
        }
        plain.run([30.0; ZONES], 6_000)
    });
    let [_, after] = results;
    assert_eq!(sum(after, |callers| callers.failed + callers.rejected), 0);
    let [worst, best] = worst_and_best(after);
    assert!(worst >= best - 0.05 && worst >= 0.9, "{worst} {best}");
}

/// Guards against requests that are rejected because every upstream has been ejected, while each
/// of them serves most requests.
#[test]
fn three_unreliable_upstreams_go_on_serving() {
    let setup = Setup {
        repeatable: true,
        ..SETUP
    };
    let results = compare(setup, |plain| {
        for server in &mut plain.servers {
            server.failure_ratios = [0.48; ZONES];
        }
        plain.run([30.0; ZONES], 8_000)
    });
    let [_, after] = results;
    // With three attempts at 0.48 each, 11 in 100 requests fail.
    let sent = sum(after, |callers| callers.sent);
    let [failed, rejected] = [
        sum(after, |callers| callers.failed),
        sum(after, |callers| callers.rejected),
    ];
    // One upstream alone has too little capacity while the two others are ejected.
    assert!(rejected * 100 <= sent, "{after:?}");
    assert!(failed * 100 <= sent * 14, "{failed} of {sent}");
}

/// Guards against an upstream that stays ejected or limited long after it is well, and against
/// an entry that ejects all upstreams and uses none.
#[test]
fn all_upstreams_return_after_an_outage_of_each() {
    let mut plain = Plain::new(SETUP);
    for server in &mut plain.servers {
        server.is_down = true;
    }
    plain.run([30.0; ZONES], 4_000);
    for server in &mut plain.servers {
        server.is_down = false;
    }
    plain.run([30.0; ZONES], 1_000);
    let callers = plain.run([60.0; ZONES], 6_000);
    let [worst, _] = worst_and_best(callers);
    assert!(worst >= 0.98, "{callers:?}");
    assert_eq!(sum(callers, |callers| callers.failed + callers.rejected), 0);
}

/// Guards against an entry that must learn for long after its start which upstream is slow, and
/// meanwhile sends it as much as the others.
#[test]
fn an_entry_that_starts_learns_within_ten_responses() {
    let plain = Plain::new(SETUP);
    let mut entry = plain.entry(0);
    for number in 0..10 {
        let (id, time) = [("u0", 60), ("u1", 180), ("u2", 60)][number % 3];
        entry.record_upstream_time(ms(number as u64 * 20), id, ms(time), true);
    }
    assert_eq!(entry.balancing_state().expect("it learns").slow, 1);
    let mut slow = 0;
    for ticket in 0..12 {
        let request = PlacementRequest {
            target: ms(400),
            deadline: ms(800),
            max_gap: None,
            ..stream(200)
        };
        entry.submit(ms(200), ticket, request);
        let verdicts = entry.process_queue(ms(200));
        slow += u32::from(verdicts == [(ticket, Verdict::Send("u1".into()))]);
    }
    assert!(slow <= 2, "{slow} of 12");
}

/// Guards against placement by the digests of other entries while an upstream has just told its
/// load, and against a told load that is believed for long.
#[test]
fn a_told_load_counts_until_it_is_outdated() {
    let plain = Plain::new(SETUP);
    let mut entry = plain.entry(0);
    let in_flight = |entry: &Dispatcher, now| entry.snapshot(ms(now)).in_flight;
    entry.record_upstream_time(ms(0), "u0", ms(60), true);
    entry.set_peer_load(ms(0), "u0", 2);
    entry.record_told_load(ms(10), "u0", [6, 3, 6]);
    entry.set_peer_load(ms(20), "u0", 2);
    assert_eq!(in_flight(&entry, 20), 9);
    entry.record_told_load(ms(20), "u0", [1_000_000, 0, 6]);
    entry.record_told_load(ms(20), "u0", [4, 0, 0]);
    assert_eq!(in_flight(&entry, 20), 9, "implausible loads are ignored");
    entry.set_peer_load(ms(40), "u0", 4);
    entry.update_balancing(ms(71), true);
    assert_eq!(in_flight(&entry, 71), 4, "the digests count again");
    entry.update_balancing(ms(80), false);
    entry.record_told_load(ms(80), "u0", [3, 0, 6]);
    assert_eq!(in_flight(&entry, 80), 4, "it has no effect unless enabled");
}

/// Guards against a damaged report of an agent after which no request is placed: a pace that is
/// no number makes the cost of its upstream none either.
#[test]
fn requests_are_placed_although_an_agent_reports_an_invalid_pace() {
    for pace in [f64::NAN, -f64::NAN] {
        let mut entry = Plain::new(SETUP).entry(0);
        entry.set_upstreams([replica("u0", SLOTS)].iter());
        entry.record_status(ms(1_000), "u0", 1, true, pace);
        let request = PlacementRequest {
            max_gap: None,
            ..stream(1_001)
        };
        entry.submit(ms(1_001), 1, request);
        let verdicts = entry.process_queue(ms(1_001));
        assert_eq!(verdicts, [(1, Verdict::Send("u0".into()))], "{pace}");
    }
}

/// Guards against a decision that begins or ends without a change for the log.
#[test]
fn changes_tell_when_decisions_begin_and_end() {
    let mut plain = Plain::new(SETUP);
    plain.run([10.0; ZONES], 2_000);
    plain.changes.clear();
    plain.servers[0].slowness = 12.0;
    plain.run([60.0; ZONES], 3_000);
    plain.servers[0].slowness = 1.0;
    plain.run([20.0; ZONES], 30_000);
    let count = |wanted: fn(&Change) -> bool| plain.changes.iter().filter(|c| wanted(c)).count();
    let slow = count(|change| matches!(change, Change::Slow(..)));
    let not_slow = count(|change| matches!(change, Change::NotSlow(_)));
    let other_zones = count(|change| matches!(change, Change::OtherZones));
    assert!(slow > 0 && slow == not_slow, "{slow} {not_slow}");
    assert!(other_zones > 0);
}

/// Guards against shares and learned speed that impair each other: in a burst beside an upstream
/// that is 3 times slower, customers that send little get what is due to them, and no capacity is
/// lost.
#[test]
fn small_customers_are_served_in_a_burst_beside_a_slow_upstream() {
    // A large customer sends half of all requests, and ten small ones the other half.
    let mut customers = vec![("large".into(), 0.5)];
    customers.extend((0..10).map(|n| (format!("small{n}").into(), 0.05)));
    // Two upstreams and a third of one remain.
    let capacity = 7.0 / 9.0 * f64::from(SLOTS) * 1e3 / SETUP.work_ms;
    let results = [false, true].map(|shares| {
        let mut plain = Plain::new(SETUP);
        plain.enable_shares(customers.clone());
        if !shares {
            for entry in &mut plain.entries {
                entry.set_shares(None);
            }
        }
        plain.run([0.6 * capacity; ZONES], 3_000);
        plain.servers[1].slowness = 3.0;
        plain.run([0.6 * capacity; ZONES], 2_000);
        plain.by_customer.clear();
        let callers = plain.run([1.4 * capacity; ZONES], 6_000);
        let counts = plain.by_customer.values();
        let all: u32 = counts.clone().map(|[_, served]| served).sum();
        let equal = f64::from(all) / 11.0;
        let due = |sent: u32| f64::from(sent).min(equal);
        let ratios = counts.map(|[sent, served]| f64::from(*served) / due(*sent));
        let least = ratios.fold(f64::INFINITY, f64::min);
        (least, sum(callers, |callers| callers.in_time))
    });
    let [(least_without, without), (least, with)] = results;
    assert!(least >= 0.8 && least_without < 0.8, "{results:?}");
    assert!(with * 100 >= without * 95, "{results:?}");
}

/// Guards against streams of a saturated group that are late because requests are spread over
/// ranks that aren't equal: a pass takes as long as that of the busiest rank.
#[test]
fn a_saturated_group_serves_as_many_streams_in_time() {
    let [before, after] = [false, true].map(|learns_speed| {
        let mut group = Simulation::new(4, 8);
        for entry in &mut group.entries {
            entry.update_balancing(ms(0), learns_speed);
        }
        group.pace = 2.5;
        group.run(&[15.0; 4], 10_000);
        group.outcomes
    });
    assert!(
        after.on_time * 100 >= before.on_time * 95,
        "{before:?} {after:?}"
    );
}
