//! Simulates a case with one policy at each entry.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use verbenaspool_policy::{
    attempt::{Ending, Id, Outcome},
    decision::{Decision, Rejection, Start, Ticket},
    load::{CacheEvent, Report},
    member::Member,
    request::Request,
};
use verbenaspool_state::name::Name;

use super::{
    case::{CUSTOMERS, Case, Change, ENGINES, ENTRIES, ZONES},
    engine::Engine,
    job::Job,
    policy::Policy,
    score::{Score, score},
};

/// The interval of an engine's load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The delay of changes in the list of upstreams.
const MEMBER_LIST_LAG: Duration = Duration::from_secs(3);
/// How long an entry takes to detect a broken connection.
const DISCONNECT_DETECTION_TIME: Duration = Duration::from_secs(1);
/// How long a connection attempt takes to be refused.
const CONNECTION_REFUSAL_TIME: Duration = Duration::from_millis(100);
/// How long an attempt takes to fail at a failing engine.
const FAILURE_TIME: Duration = Duration::from_millis(50);
/// The most times that a caller offers a request, including after rejections.
const MAX_OFFERS: u32 = 4;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// A caller offers a job.
    Offer(usize),
    /// The deadline of a job.
    Deadline(usize),
    /// An engine's next event, as scheduled under a version.
    EngineStep(usize, u64),
    /// The entry learns that an attempt failed.
    AttemptFailed(u64, Ending),
    /// An engine sends its load report.
    SendReport(usize),
    /// A load report arrives at an entry from an engine.
    Load(usize, usize, Report),
    /// A cache event arrives at an entry from an engine.
    Cache(usize, usize, CacheEvent),
    /// The upstreams change.
    Change(Change),
    /// The entries get the current list of upstreams.
    SendMembers,
    /// An entry polls its policy.
    Poll(usize),
}

/// The state of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// Not offered yet, rejected and to be offered again, or between attempts.
    Idle,
    /// Queued by the policy.
    Waiting(Ticket),
    /// Running as this attempt.
    Running(u64),
    /// Answered or given up.
    Done,
}

#[derive(Debug)]
struct Attempt {
    id: Id,
    job: usize,
    engine: usize,
    prompt_tokens: u32,
    started_at: Duration,
}

pub struct Simulator<'a> {
    case: &'a Case,
    jobs: Vec<Job>,
    states: Vec<State>,
    offers: Vec<u32>,
    tried: HashMap<usize, Vec<Name>>,
    answered_at: Vec<Option<Duration>>,
    engines: Vec<Engine>,
    engine_names: Vec<Name>,
    customer_names: Vec<Name>,
    zones: Vec<Name>,
    policies: Vec<Box<dyn Policy>>,
    attempts: HashMap<u64, Attempt>,
    tickets: Vec<HashMap<Ticket, usize>>,
    last_attempt: u64,
    event_queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events_by_number: HashMap<u64, Event>,
    last_event: u64,
    random: SmallRng,
    decision_time: Duration,
    decisions: u64,
    cross_zone_starts: u64,
    next_polls: Vec<Duration>,
}

pub fn name(kind: &str, number: usize) -> Name {
    format!("{kind}-{number}")
        .parse()
        .expect("letters and digits form a valid name")
}

/// Runs a case with the policies that `make` returns for each entry and its zone.
pub fn run(case: &Case, make: &dyn Fn(usize, &Name) -> Box<dyn Policy>) -> Score {
    let mut simulator = Simulator::new(case, make);
    simulator.run();
    let mut score = score(case, &simulator.jobs, &simulator.answered_at);
    score.ns_per_decision =
        simulator.decision_time.as_nanos() as f64 / simulator.decisions.max(1) as f64;
    score.cross_zone_fraction =
        simulator.cross_zone_starts as f64 / simulator.last_attempt.max(1) as f64;
    score.attempts_per_request = simulator.last_attempt as f64 / simulator.jobs.len() as f64;
    score.offers_per_request = simulator
        .offers
        .iter()
        .map(|&offers| f64::from(offers))
        .sum::<f64>()
        / simulator.jobs.len() as f64;
    score
}

impl<'a> Simulator<'a> {
    fn new(case: &'a Case, make: &dyn Fn(usize, &Name) -> Box<dyn Policy>) -> Self {
        let jobs = case.jobs();
        let zones: Vec<Name> = (0..ZONES).map(|zone| name("zone", zone)).collect();
        Self {
            case,
            states: vec![State::Idle; jobs.len()],
            offers: vec![0; jobs.len()],
            tried: HashMap::new(),
            answered_at: vec![None; jobs.len()],
            jobs,
            engines: case.engines(),
            engine_names: (0..ENGINES).map(|engine| name("engine", engine)).collect(),
            customer_names: (0..CUSTOMERS)
                .map(|customer| name("customer", customer))
                .collect(),
            policies: (0..ENTRIES)
                .map(|entry| make(entry, &zones[entry % ZONES]))
                .collect(),
            zones,
            attempts: HashMap::new(),
            tickets: vec![HashMap::new(); ENTRIES],
            last_attempt: 0,
            event_queue: BinaryHeap::new(),
            events_by_number: HashMap::new(),
            last_event: 0,
            random: SmallRng::seed_from_u64(case.seed + 2),
            decision_time: Duration::ZERO,
            decisions: 0,
            cross_zone_starts: 0,
            next_polls: vec![Duration::MAX; ENTRIES],
        }
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.last_event += 1;
        self.event_queue.push(Reverse((time, self.last_event)));
        self.events_by_number.insert(self.last_event, event);
    }

    fn run(&mut self) {
        self.send_members(Duration::ZERO);
        for engine in 0..ENGINES {
            // Engines don't report simultaneously.
            self.schedule(
                REPORT_INTERVAL * engine as u32 / ENGINES as u32,
                Event::SendReport(engine),
            );
        }
        for &(at, change) in &self.case.changes {
            self.schedule(at, Event::Change(change));
        }
        if !self.jobs.is_empty() {
            self.schedule(self.jobs[0].arrival, Event::Offer(0));
        }
        while let Some(Reverse((now, number))) = self.event_queue.pop() {
            if let Some(event) = self.events_by_number.remove(&number) {
                self.handle(now, event);
            }
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Offer(job) if self.states[job] == State::Idle => self.offer(now, job),
            Event::Offer(_) => {}
            Event::Deadline(job) => self.handle_deadline(now, job),
            Event::EngineStep(engine, version) => self.step_engine(now, engine, version),
            Event::AttemptFailed(attempt, ending) => self.handle_failure(now, attempt, ending),
            Event::SendReport(engine) => self.send_report(now, engine),
            Event::Load(entry, engine, load) => {
                let name = self.engine_names[engine].clone();
                self.policies[entry].load_report(now, &name, &load);
            }
            Event::Cache(entry, engine, event) => {
                let name = self.engine_names[engine].clone();
                self.policies[entry].cache_event(now, &name, event);
            }
            Event::Change(change) => self.apply_change(now, change),
            Event::SendMembers => self.send_members(now),
            Event::Poll(entry) => {
                self.next_polls[entry] = Duration::MAX;
                self.poll(now, entry);
            }
        }
    }

    fn offer(&mut self, now: Duration, job: usize) {
        if self.offers[job] == 0 {
            if job + 1 < self.jobs.len() {
                self.schedule(self.jobs[job + 1].arrival, Event::Offer(job + 1));
            }
            self.schedule(self.jobs[job].deadline, Event::Deadline(job));
        }
        self.offers[job] += 1;
        self.decide(now, job, None);
    }

    /// Has the policy decide on a job when it is offered, or on a retry after a failure.
    fn decide(&mut self, now: Duration, job: usize, failed: Option<Ending>) {
        let entry = self.jobs[job].entry;
        let prefixes: Vec<u64> = self.jobs[job]
            .prefix
            .iter()
            .map(|(hash, _)| *hash)
            .collect();
        let tried = self.tried.get(&job).cloned().unwrap_or_default();
        let request = Request {
            customer: &self.customer_names[self.jobs[job].customer],
            priority: 0,
            deadline: self.jobs[job].deadline,
            idempotent: true,
            prompt_tokens: self.jobs[job].prompt_tokens,
            max_tokens: self.jobs[job].max_tokens,
            prefixes: &prefixes,
        };
        let started = Instant::now();
        let policy = &mut self.policies[entry];
        let decision = match failed {
            Some(ending) => policy.retry(now, &request, ending, &tried),
            None => policy.offer(now, &request),
        };
        self.decision_time += started.elapsed();
        self.decisions += 1;
        match decision {
            Decision::Admit(start) => self.start(now, job, &start),
            Decision::Wait(ticket) => {
                self.states[job] = State::Waiting(ticket);
                self.tickets[entry].insert(ticket, job);
            }
            Decision::Reject(rejection) => self.handle_rejection(now, job, rejection),
        }
        self.poll(now, entry);
    }

    fn poll(&mut self, now: Duration, entry: usize) {
        let started = Instant::now();
        let resolved = self.policies[entry].poll(now);
        self.decision_time += started.elapsed();
        self.decisions += resolved.len() as u64;
        for resolution in resolved {
            let Some(job) = self.tickets[entry].remove(&resolution.ticket) else {
                continue;
            };
            match resolution.result {
                Ok(start) => self.start(now, job, &start),
                Err(rejection) => self.handle_rejection(now, job, rejection),
            }
        }
        if let Some(wake) = self.policies[entry].next_wake().map(|wake| wake.max(now))
            && wake < self.next_polls[entry]
        {
            self.next_polls[entry] = wake;
            self.schedule(wake, Event::Poll(entry));
        }
    }

    /// Schedules another offer at the time that the rejection names, if that is before
    /// the deadline and the caller has offers left.
    fn handle_rejection(&mut self, now: Duration, job: usize, rejection: Rejection) {
        let retry_at = now + rejection.retry_after;
        if retry_at < self.jobs[job].deadline && self.offers[job] < MAX_OFFERS {
            self.states[job] = State::Idle;
            self.schedule(retry_at, Event::Offer(job));
        } else {
            self.states[job] = State::Done;
        }
    }

    fn start(&mut self, now: Duration, job: usize, start: &Start) {
        let engine = self
            .engine_names
            .iter()
            .position(|n| *n == start.upstream)
            .expect("the upstream is an engine");
        self.last_attempt += 1;
        let number = self.last_attempt;
        let entry = self.jobs[job].entry;
        self.cross_zone_starts += u64::from(self.engines[engine].zone != entry % ZONES);
        self.states[job] = State::Running(number);
        let mut attempt = Attempt {
            id: start.attempt,
            job,
            engine,
            prompt_tokens: self.jobs[job].prompt_tokens,
            started_at: now,
        };
        if !self.is_reachable(now, entry, engine) {
            self.attempts.insert(number, attempt);
            self.schedule(
                now + CONNECTION_REFUSAL_TIME,
                Event::AttemptFailed(number, Ending::NotRun),
            );
            return;
        }
        if self
            .random
            .random_bool(self.engines[engine].failing_fraction)
        {
            self.attempts.insert(number, attempt);
            self.schedule(
                now + FAILURE_TIME,
                Event::AttemptFailed(number, Ending::Unknown),
            );
            return;
        }
        let cached = self.touch_prefix(now, job, engine);
        if cached {
            attempt.prompt_tokens -= self.jobs[job].prefix.map_or(0, |(_, tokens)| tokens);
        }
        self.attempts.insert(number, attempt);
        let work = self.jobs[job].work(cached);
        self.engines[engine].add(now, number, work);
        self.schedule_engine(engine);
    }

    /// Caches the job's prefix at the engine and sends the cache events. Returns whether
    /// it was cached already.
    fn touch_prefix(&mut self, now: Duration, job: usize, engine: usize) -> bool {
        let Some((prefix, _)) = self.jobs[job].prefix else {
            return false;
        };
        let (cached, dropped) = self.engines[engine].touch_prefix(prefix);
        if !cached {
            self.send_cache_event(now, engine, CacheEvent::Added(prefix));
        }
        if let Some(dropped) = dropped {
            self.send_cache_event(now, engine, CacheEvent::Dropped(dropped));
        }
        cached
    }

    fn send_cache_event(&mut self, now: Duration, engine: usize, event: CacheEvent) {
        for entry in 0..ENTRIES {
            if !self.random.random_bool(self.case.signal_loss) {
                self.schedule(
                    now + self.case.signal_lag,
                    Event::Cache(entry, engine, event),
                );
            }
        }
    }

    fn schedule_engine(&mut self, engine: usize) {
        if let Some(next) = self.engines[engine].next_event() {
            let version = self.engines[engine].schedule_version;
            self.schedule(next, Event::EngineStep(engine, version));
        }
    }

    fn step_engine(&mut self, now: Duration, engine: usize, version: u64) {
        if self.engines[engine].schedule_version != version {
            return;
        }
        for number in self.engines[engine].take_completed(now) {
            self.complete(now, number);
        }
        self.schedule_engine(engine);
    }

    fn complete(&mut self, now: Duration, number: u64) {
        let Some(attempt) = self.attempts.remove(&number) else {
            return;
        };
        let job = attempt.job;
        self.states[job] = State::Done;
        self.answered_at[job] = Some(now);
        let tokens = self.jobs[job].answer_tokens;
        self.finish(now, &attempt, Ending::Ran, tokens);
    }

    fn finish(&mut self, now: Duration, attempt: &Attempt, ending: Ending, tokens: u32) {
        let entry = self.jobs[attempt.job].entry;
        let outcome = Outcome {
            ending,
            took: now.saturating_sub(attempt.started_at),
            prompt_tokens: attempt.prompt_tokens,
            tokens,
        };
        self.policies[entry].finish(now, attempt.id, &outcome);
        self.poll(now, entry);
    }

    fn handle_failure(&mut self, now: Duration, number: u64, ending: Ending) {
        let Some(attempt) = self.attempts.remove(&number) else {
            return;
        };
        let job = attempt.job;
        self.states[job] = State::Idle;
        self.tried
            .entry(job)
            .or_default()
            .push(self.engine_names[attempt.engine].clone());
        self.finish(now, &attempt, ending, 0);
        self.decide(now, job, Some(ending));
    }

    /// The caller disconnects at its deadline.
    fn handle_deadline(&mut self, now: Duration, job: usize) {
        let entry = self.jobs[job].entry;
        match self.states[job] {
            State::Waiting(ticket) => {
                self.tickets[entry].remove(&ticket);
                self.policies[entry].cancel(now, ticket);
            }
            State::Running(number) => {
                if let Some(attempt) = self.attempts.remove(&number) {
                    self.engines[attempt.engine].remove(now, number);
                    self.schedule_engine(attempt.engine);
                    self.finish(now, &attempt, Ending::Cancelled, 0);
                }
            }
            State::Idle | State::Done => {}
        }
        self.states[job] = State::Done;
    }

    fn send_report(&mut self, now: Duration, engine: usize) {
        self.engines[engine].sequence += 1;
        let (running, waiting) = self.engines[engine].load();
        let load = Report {
            incarnation: self.engines[engine].incarnation,
            sequence: self.engines[engine].sequence,
            running,
            waiting,
            leaving: false,
        };
        for entry in 0..ENTRIES {
            if self.is_reachable(now, entry, engine)
                && !self.random.random_bool(self.case.signal_loss)
            {
                self.schedule(now + self.case.signal_lag, Event::Load(entry, engine, load));
            }
        }
        if now.as_secs() < self.case.seconds {
            self.schedule(now + REPORT_INTERVAL, Event::SendReport(engine));
        }
    }

    fn is_reachable(&self, now: Duration, entry: usize, engine: usize) -> bool {
        let (from, to) = (entry % ZONES, self.engines[engine].zone);
        from == to || !(self.case.is_partitioned(now, from) || self.case.is_partitioned(now, to))
    }

    fn apply_change(&mut self, now: Duration, change: Change) {
        match change {
            Change::Speed(engine, speed) => {
                self.engines[engine].advance(now);
                self.engines[engine].speed = speed;
                self.engines[engine].schedule_version += 1;
                self.schedule_engine(engine);
            }
            Change::Fail(engine, fraction) => self.engines[engine].failing_fraction = fraction,
            Change::Replace(engine) => {
                for lost in self.engines[engine].restart(now) {
                    self.schedule(
                        now + DISCONNECT_DETECTION_TIME,
                        Event::AttemptFailed(lost, Ending::Unknown),
                    );
                }
                self.schedule(now + MEMBER_LIST_LAG, Event::SendMembers);
            }
            Change::Partition(_) => {
                self.fail_unreachable_attempts(now);
                self.schedule(now + MEMBER_LIST_LAG, Event::SendMembers);
            }
            Change::Heal(_) => self.schedule(now + MEMBER_LIST_LAG, Event::SendMembers),
        }
    }

    /// Fails every attempt whose engine has become unreachable.
    fn fail_unreachable_attempts(&mut self, now: Duration) {
        let mut lost: Vec<u64> = self.attempts.keys().copied().collect();
        lost.sort_unstable();
        for number in lost {
            let (job, engine) = (self.attempts[&number].job, self.attempts[&number].engine);
            if !self.is_reachable(now, self.jobs[job].entry, engine) {
                self.engines[engine].remove(now, number);
                self.schedule_engine(engine);
                self.schedule(
                    now + DISCONNECT_DETECTION_TIME,
                    Event::AttemptFailed(number, Ending::Unknown),
                );
            }
        }
    }

    /// Sends each entry the list of the upstreams that it can reach.
    fn send_members(&mut self, now: Duration) {
        for entry in 0..ENTRIES {
            let members: Vec<Member> = (0..ENGINES)
                .filter(|&engine| self.is_reachable(now, entry, engine))
                .map(|engine| Member {
                    name: self.engine_names[engine].clone(),
                    zone: self.zones[self.engines[engine].zone].clone(),
                    group: None,
                    incarnation: self.engines[engine].incarnation,
                    speed: 1.0,
                    leaving: false,
                })
                .collect();
            self.policies[entry].set_members(now, &members);
            self.poll(now, entry);
        }
    }
}
