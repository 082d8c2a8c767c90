//! Plays a case against one policy at each entry.

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

/// How often an engine reports its load.
const REPORT: Duration = Duration::from_millis(500);
/// How long the list of members lags.
const LIST_LAG: Duration = Duration::from_secs(3);
/// How long a broken connection takes to be noticed.
const BROKEN: Duration = Duration::from_secs(1);
/// How long a refused connection takes.
const REFUSED: Duration = Duration::from_millis(100);
/// How long an attempt takes to fail.
const FAILED: Duration = Duration::from_millis(50);
/// How often a refused caller asks at most.
const ASKS: u32 = 4;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Arrive(usize),
    Deadline(usize),
    Engine(usize, u64),
    Fail(u64, Ending),
    Report(usize),
    Load(usize, usize, Report),
    Cache(usize, usize, CacheEvent),
    Change(Change),
    Members,
    Wake(usize),
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Out,
    Waiting(Ticket),
    Running(u64),
    Closed,
}

#[derive(Debug)]
struct Attempt {
    id: Id,
    job: usize,
    engine: usize,
    computed: u32,
    at: Duration,
}

pub struct World<'a> {
    case: &'a Case,
    jobs: Vec<Job>,
    states: Vec<State>,
    asks: Vec<u32>,
    tried: HashMap<usize, Vec<Name>>,
    answered: Vec<Option<Duration>>,
    engines: Vec<Engine>,
    engine_names: Vec<Name>,
    customer_names: Vec<Name>,
    zones: Vec<Name>,
    policies: Vec<Box<dyn Policy>>,
    attempts: HashMap<u64, Attempt>,
    tickets: Vec<HashMap<Ticket, usize>>,
    next_attempt: u64,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    bodies: HashMap<u64, Event>,
    next_event: u64,
    random: SmallRng,
    deciding: Duration,
    decisions: u64,
    crossed: u64,
    wakes: Vec<Duration>,
}

pub fn name(kind: &str, number: usize) -> Name {
    format!("{kind}-{number}")
        .parse()
        .expect("a name of letters and digits")
}

/// Plays a case with the policies that `make` gives for each entry and its zone.
pub fn run(case: &Case, make: &dyn Fn(usize, &Name) -> Box<dyn Policy>) -> Score {
    let mut world = World::new(case, make);
    world.play();
    let mut score = score(case, &world.jobs, &world.answered);
    score.ns_per_decision = world.deciding.as_nanos() as f64 / world.decisions.max(1) as f64;
    score.crossed = world.crossed as f64 / world.next_attempt.max(1) as f64;
    score.attempts = world.next_attempt as f64 / world.jobs.len() as f64;
    score.asked =
        world.asks.iter().map(|&asks| f64::from(asks)).sum::<f64>() / world.jobs.len() as f64;
    score
}

impl<'a> World<'a> {
    fn new(case: &'a Case, make: &dyn Fn(usize, &Name) -> Box<dyn Policy>) -> Self {
        let jobs = case.jobs();
        let zones: Vec<Name> = (0..ZONES).map(|zone| name("zone", zone)).collect();
        Self {
            case,
            states: vec![State::Out; jobs.len()],
            asks: vec![0; jobs.len()],
            tried: HashMap::new(),
            answered: vec![None; jobs.len()],
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
            next_attempt: 0,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next_event: 0,
            random: SmallRng::seed_from_u64(case.seed + 2),
            deciding: Duration::ZERO,
            decisions: 0,
            crossed: 0,
            wakes: vec![Duration::MAX; ENTRIES],
        }
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((time, self.next_event)));
        self.bodies.insert(self.next_event, event);
    }

    fn play(&mut self) {
        self.send_members(Duration::ZERO);
        for engine in 0..ENGINES {
            // Engines report at their own times.
            self.at(
                REPORT * engine as u32 / ENGINES as u32,
                Event::Report(engine),
            );
        }
        for &(at, change) in &self.case.changes {
            self.at(at, Event::Change(change));
        }
        if !self.jobs.is_empty() {
            self.at(self.jobs[0].at, Event::Arrive(0));
        }
        while let Some(Reverse((now, number))) = self.events.pop() {
            if let Some(event) = self.bodies.remove(&number) {
                self.handle(now, event);
            }
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive(job) if self.states[job] == State::Out => self.arrive(now, job),
            Event::Arrive(_) => {}
            Event::Deadline(job) => self.leave(now, job),
            Event::Engine(engine, version) => self.work(now, engine, version),
            Event::Fail(attempt, ending) => self.fail(now, attempt, ending),
            Event::Report(engine) => self.report(now, engine),
            Event::Load(entry, engine, load) => {
                let name = self.engine_names[engine].clone();
                self.policies[entry].report(now, &name, &load);
            }
            Event::Cache(entry, engine, event) => {
                let name = self.engine_names[engine].clone();
                self.policies[entry].cache(now, &name, event);
            }
            Event::Change(change) => self.change(now, change),
            Event::Members => self.send_members(now),
            Event::Wake(entry) => {
                self.wakes[entry] = Duration::MAX;
                self.poll(now, entry);
            }
        }
    }

    fn arrive(&mut self, now: Duration, job: usize) {
        if self.asks[job] == 0 {
            if job + 1 < self.jobs.len() {
                self.at(self.jobs[job + 1].at, Event::Arrive(job + 1));
            }
            self.at(self.jobs[job].deadline, Event::Deadline(job));
        }
        self.asks[job] += 1;
        self.decide(now, job, None);
    }

    /// Asks the policy about a job: for the first time, or again after a failure.
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
            prompt_tokens: self.jobs[job].prompt,
            max_tokens: self.jobs[job].max_tokens,
            prefixes: &prefixes,
        };
        let started = Instant::now();
        let policy = &mut self.policies[entry];
        let decision = match failed {
            Some(ending) => policy.retry(now, &request, ending, &tried),
            None => policy.offer(now, &request),
        };
        self.deciding += started.elapsed();
        self.decisions += 1;
        match decision {
            Decision::Admit(start) => self.start(now, job, &start),
            Decision::Wait(ticket) => {
                self.states[job] = State::Waiting(ticket);
                self.tickets[entry].insert(ticket, job);
            }
            Decision::Reject(refusal) => self.refuse(now, job, refusal),
        }
        self.poll(now, entry);
    }

    fn poll(&mut self, now: Duration, entry: usize) {
        let started = Instant::now();
        let resolved = self.policies[entry].poll(now);
        self.deciding += started.elapsed();
        self.decisions += resolved.len() as u64;
        for resolution in resolved {
            let Some(job) = self.tickets[entry].remove(&resolution.ticket) else {
                continue;
            };
            match resolution.result {
                Ok(start) => self.start(now, job, &start),
                Err(refusal) => self.refuse(now, job, refusal),
            }
        }
        if let Some(wake) = self.policies[entry].next_wake().map(|wake| wake.max(now))
            && wake < self.wakes[entry]
        {
            self.wakes[entry] = wake;
            self.at(wake, Event::Wake(entry));
        }
    }

    /// A refused caller comes back when told to, if that is before its deadline.
    fn refuse(&mut self, now: Duration, job: usize, refusal: Rejection) {
        let again = now + refusal.retry_after;
        if again < self.jobs[job].deadline && self.asks[job] < ASKS {
            self.states[job] = State::Out;
            self.at(again, Event::Arrive(job));
        } else {
            self.states[job] = State::Closed;
        }
    }

    fn start(&mut self, now: Duration, job: usize, start: &Start) {
        let engine = self
            .engine_names
            .iter()
            .position(|n| *n == start.upstream)
            .expect("a known engine");
        self.next_attempt += 1;
        let number = self.next_attempt;
        let entry = self.jobs[job].entry;
        self.crossed += u64::from(self.engines[engine].zone != entry % ZONES);
        self.states[job] = State::Running(number);
        let mut attempt = Attempt {
            id: start.attempt,
            job,
            engine,
            computed: self.jobs[job].prompt,
            at: now,
        };
        if !self.reaches(now, entry, engine) {
            self.attempts.insert(number, attempt);
            self.at(now + REFUSED, Event::Fail(number, Ending::NotRun));
            return;
        }
        if self.random.random_bool(self.engines[engine].failing) {
            self.attempts.insert(number, attempt);
            self.at(now + FAILED, Event::Fail(number, Ending::Unknown));
            return;
        }
        let cached = self.touch(now, job, engine);
        if cached {
            attempt.computed -= self.jobs[job].prefix.map_or(0, |(_, tokens)| tokens);
        }
        self.attempts.insert(number, attempt);
        let work = self.jobs[job].work(cached);
        self.engines[engine].add(now, number, work);
        self.schedule(engine);
    }

    /// Whether the engine has the job's prefix; its events reach the entries later.
    fn touch(&mut self, now: Duration, job: usize, engine: usize) -> bool {
        let Some((prefix, _)) = self.jobs[job].prefix else {
            return false;
        };
        let (cached, dropped) = self.engines[engine].touch(prefix);
        if !cached {
            self.tell(now, engine, CacheEvent::Added(prefix));
        }
        if let Some(dropped) = dropped {
            self.tell(now, engine, CacheEvent::Dropped(dropped));
        }
        cached
    }

    fn tell(&mut self, now: Duration, engine: usize, event: CacheEvent) {
        for entry in 0..ENTRIES {
            if !self.random.random_bool(self.case.gaps) {
                self.at(now + self.case.lag, Event::Cache(entry, engine, event));
            }
        }
    }

    fn schedule(&mut self, engine: usize) {
        if let Some(next) = self.engines[engine].next() {
            let version = self.engines[engine].version;
            self.at(next, Event::Engine(engine, version));
        }
    }

    fn work(&mut self, now: Duration, engine: usize, version: u64) {
        if self.engines[engine].version != version {
            return;
        }
        for number in self.engines[engine].done(now) {
            self.answer(now, number);
        }
        self.schedule(engine);
    }

    fn answer(&mut self, now: Duration, number: u64) {
        let Some(attempt) = self.attempts.remove(&number) else {
            return;
        };
        let job = attempt.job;
        self.states[job] = State::Closed;
        self.answered[job] = Some(now);
        let tokens = self.jobs[job].tokens;
        self.finish(now, &attempt, Ending::Ran, tokens);
    }

    fn finish(&mut self, now: Duration, attempt: &Attempt, ending: Ending, tokens: u32) {
        let entry = self.jobs[attempt.job].entry;
        let outcome = Outcome {
            ending,
            took: now.saturating_sub(attempt.at),
            prompt_tokens: attempt.computed,
            tokens,
        };
        self.policies[entry].finish(now, attempt.id, &outcome);
        self.poll(now, entry);
    }

    fn fail(&mut self, now: Duration, number: u64, ending: Ending) {
        let Some(attempt) = self.attempts.remove(&number) else {
            return;
        };
        let job = attempt.job;
        self.states[job] = State::Out;
        self.tried
            .entry(job)
            .or_default()
            .push(self.engine_names[attempt.engine].clone());
        self.finish(now, &attempt, ending, 0);
        self.decide(now, job, Some(ending));
    }

    /// The caller leaves at its deadline.
    fn leave(&mut self, now: Duration, job: usize) {
        let entry = self.jobs[job].entry;
        match self.states[job] {
            State::Waiting(ticket) => {
                self.tickets[entry].remove(&ticket);
                self.policies[entry].cancel(now, ticket);
            }
            State::Running(number) => {
                if let Some(attempt) = self.attempts.remove(&number) {
                    self.engines[attempt.engine].remove(now, number);
                    self.schedule(attempt.engine);
                    self.finish(now, &attempt, Ending::Cancelled, 0);
                }
            }
            State::Out | State::Closed => {}
        }
        self.states[job] = State::Closed;
    }

    fn report(&mut self, now: Duration, engine: usize) {
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
            if self.reaches(now, entry, engine) && !self.random.random_bool(self.case.gaps) {
                self.at(now + self.case.lag, Event::Load(entry, engine, load));
            }
        }
        if now.as_secs() < self.case.seconds {
            self.at(now + REPORT, Event::Report(engine));
        }
    }

    fn reaches(&self, now: Duration, entry: usize, engine: usize) -> bool {
        let (from, to) = (entry % ZONES, self.engines[engine].zone);
        from == to || !(self.case.is_cut(now, from) || self.case.is_cut(now, to))
    }

    fn change(&mut self, now: Duration, change: Change) {
        match change {
            Change::Speed(engine, speed) => {
                self.engines[engine].advance(now);
                self.engines[engine].speed = speed;
                self.engines[engine].version += 1;
                self.schedule(engine);
            }
            Change::Fail(engine, part) => self.engines[engine].failing = part,
            Change::Replace(engine) => {
                for lost in self.engines[engine].restart(now) {
                    self.at(now + BROKEN, Event::Fail(lost, Ending::Unknown));
                }
                self.at(now + LIST_LAG, Event::Members);
            }
            Change::Cut(_) => {
                self.cut(now);
                self.at(now + LIST_LAG, Event::Members);
            }
            Change::Heal(_) => self.at(now + LIST_LAG, Event::Members),
        }
    }

    /// Breaks every attempt whose engine can't be reached any more.
    fn cut(&mut self, now: Duration) {
        let mut lost: Vec<u64> = self.attempts.keys().copied().collect();
        lost.sort_unstable();
        for number in lost {
            let (job, engine) = (self.attempts[&number].job, self.attempts[&number].engine);
            if !self.reaches(now, self.jobs[job].entry, engine) {
                self.engines[engine].remove(now, number);
                self.schedule(engine);
                self.at(now + BROKEN, Event::Fail(number, Ending::Unknown));
            }
        }
    }

    /// Gives each entry the list of what it can reach.
    fn send_members(&mut self, now: Duration) {
        for entry in 0..ENTRIES {
            let members: Vec<Member> = (0..ENGINES)
                .filter(|&engine| self.reaches(now, entry, engine))
                .map(|engine| Member {
                    name: self.engine_names[engine].clone(),
                    zone: self.zones[self.engines[engine].zone].clone(),
                    group: None,
                    incarnation: self.engines[engine].incarnation,
                    speed: 1.0,
                    leaving: false,
                })
                .collect();
            self.policies[entry].members(now, &members);
            self.poll(now, entry);
        }
    }
}
