//! Engines that work in passes, and entries that send them streams: time in
//! milliseconds.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use verbenaspool_policy::dispatch::{
    AttemptOutcome, Dispatcher, PlacementRequest, Resumption, Verdict, customer_rate::CustomerRates,
};
use verbenaspool_state::{
    engine::Engine,
    replica::{Replica, State},
};

/// Passes that a stream takes.
const PASSES: u32 = 26;

/// How often entries tell each other what they have in flight.
const TELL: u64 = 40;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The engine that the world's upstreams run.
pub fn engine() -> Engine {
    Engine {
        slots: 12,
        stride: 6,
        step: Duration::from_micros(4_840),
        step_per_request: Duration::from_micros(362),
        experts: None,
    }
}

/// An upstream's entry in the registry.
pub fn replica(id: &str, slots: u32) -> Replica {
    Replica {
        id: id.into(),
        service: "model".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".into(),
        slots,
        state: State::Ready,
    }
}

/// What a stream that comes now asks for.
pub fn stream(now: u64) -> PlacementRequest {
    PlacementRequest {
        priority: 1,
        queued_at: ms(now),
        target: ms(now + 400),
        deadline: ms(now + 8_000),
        place_by: ms(now + 1_600),
        resumption: Resumption::None,
        over_usual_rate: false,
        max_gap: Some(ms(120)),
        excluded: Vec::new(),
    }
}

/// A stream that runs.
struct Running {
    ticket: u64,
    entry: usize,
    upstream: Rc<str>,
    passes: u32,
    late: bool,
    /// When it came.
    came: u64,
}

/// What callers got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Served {
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl std::ops::Sub for Served {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            in_time: self.in_time - before.in_time,
            late: self.late - before.late,
            refused: self.refused - before.refused,
        }
    }
}

/// A customer and how many streams a second it sends to each entry.
pub type Customer<'a> = (&'a str, f64);

/// How long it takes until entries hear of a rank's pace.
const HEARD: u64 = 100;

/// Entries before one group of upstreams.
pub struct World {
    pub now: u64,
    engine: Engine,
    pub entries: Vec<Dispatcher>,
    ids: Vec<Rc<str>>,
    /// How much longer passes take than on even ranks.
    pub pace: f64,
    /// The part of the work for streams that all ranks share.
    pub shared: f64,
    running: Vec<Running>,
    came: BTreeMap<u64, (usize, u64)>,
    /// Who sent each stream, where that is told, and what each customer's callers got.
    owners: BTreeMap<u64, String>,
    pub got: BTreeMap<String, Served>,
    customers: Vec<CustomerRates>,
    next: u64,
    pass: u64,
    tickets: u64,
    /// Whether entries hear each other.
    pub heard: bool,
    pub served: Served,
    /// The most streams that one upstream ever had.
    pub most: usize,
    /// How many times longer than usual each upstream takes, and since when.
    paces: BTreeMap<Rc<str>, (f64, u64)>,
    /// Streams that look for a place elsewhere, by the ticket of their search.
    moving: BTreeMap<u64, u64>,
}

impl World {
    pub fn new(entries: usize, upstreams: usize) -> Self {
        Self::of(&engine(), entries, upstreams)
    }

    /// Entries before upstreams with engines of a kind.
    pub fn of(engine: &Engine, entries: usize, upstreams: usize) -> Self {
        let replicas: Vec<Replica> = (0..upstreams)
            .map(|n| replica(&format!("u{n}"), engine.slots))
            .collect();
        let entry = |number: usize| {
            let mut entry = Dispatcher::new("a".into(), 77 + number as u64);
            entry.set_engine(Some(engine));
            entry.set_upstreams(replicas.iter());
            entry
        };
        Self {
            now: 0,
            engine: engine.clone(),
            entries: (0..entries).map(entry).collect(),
            ids: replicas.iter().map(|replica| replica.id.clone()).collect(),
            pace: 1.0,
            shared: 0.0,
            running: Vec::new(),
            came: BTreeMap::new(),
            owners: BTreeMap::new(),
            got: BTreeMap::new(),
            customers: (0..entries).map(|_| CustomerRates::default()).collect(),
            next: 60,
            pass: 60,
            tickets: 0,
            heard: true,
            served: Served::default(),
            most: 0,
            paces: BTreeMap::new(),
            moving: BTreeMap::new(),
        }
    }

    /// An upstream turns slow, or is well again.
    pub fn slow(&mut self, number: usize, pace: f64) {
        self.paces
            .insert(self.ids[number].clone(), (pace, self.now));
    }

    /// The streams of an upstream.
    pub fn streams(&self, number: usize) -> usize {
        let streams = self.running.iter();
        streams.filter(|s| s.upstream == self.ids[number]).count()
    }

    /// Entries hear how slow upstreams are, and move streams off those that are.
    fn hear_paces(&mut self) {
        let now = ms(self.now);
        for (id, (pace, since)) in &self.paces {
            if self.now == since + HEARD {
                for entry in &mut self.entries {
                    entry.record_status(now, id, 0, true, *pace);
                }
            }
        }
        let leaving: Vec<(u64, usize, Rc<str>)> = self
            .running
            .iter()
            .filter(|s| self.entries[s.entry].is_slow(now, &s.upstream))
            .map(|s| (s.ticket, s.entry, s.upstream.clone()))
            .collect();
        for (running, entry, upstream) in leaving {
            if self.moving.values().any(|moving| *moving == running) {
                continue;
            }
            self.tickets += 1;
            let ask = PlacementRequest {
                target: now,
                place_by: now + ms(1_600),
                resumption: Resumption::Moved,
                excluded: vec![upstream],
                ..stream(self.now)
            };
            self.entries[entry].submit(now, self.tickets, ask);
            self.moving.insert(self.tickets, running);
        }
    }

    /// A stream that leaves a slow upstream got a place elsewhere, or none.
    fn moved(&mut self, entry: usize, stream: u64, verdict: Verdict) {
        let Verdict::Send(to) = verdict else {
            return;
        };
        let now = ms(self.now);
        let running = self.running.iter_mut().find(|s| s.ticket == stream);
        let left = match running {
            Some(running) => std::mem::replace(&mut running.upstream, to),
            None => to,
        };
        self.entries[entry].finish_attempt(now, &left, AttemptOutcome::Unknown);
    }

    /// Lets so many streams a second come to an entry, for some milliseconds.
    pub fn load(&mut self, rates: &[f64], for_ms: u64) {
        let mut due = vec![0.0; rates.len()];
        let end = self.now + for_ms;
        while self.now < end {
            for (entry, rate) in rates.iter().enumerate() {
                due[entry] += rate / 1e3;
                while due[entry] >= 1.0 {
                    due[entry] -= 1.0;
                    self.submit(entry);
                }
            }
            self.tick();
        }
    }

    /// Lets customers send streams to all entries, for some milliseconds.
    pub fn load_of(&mut self, customers: &[Customer<'_>], for_ms: u64) {
        // Their streams come at different moments.
        let count = u32::try_from(customers.len() * self.entries.len()).expect("few");
        let mut due: Vec<f64> = (0..count).map(|n| f64::from(n * 7 % 10) / 10.0).collect();
        let end = self.now + for_ms;
        while self.now < end {
            for (number, due) in due.iter_mut().enumerate() {
                let (customer, rate) = customers[number / self.entries.len()];
                *due += rate / 1e3;
                if *due >= 1.0 {
                    *due -= 1.0;
                    let entry = number % self.entries.len();
                    let beyond = self.customers[entry].observe(ms(self.now), &customer.into());
                    self.owners.insert(self.tickets + 1, customer.to_owned());
                    self.submit_ask(
                        PlacementRequest {
                            over_usual_rate: beyond,
                            ..stream(self.now)
                        },
                        entry,
                    );
                }
            }
            self.tick();
        }
    }

    /// What callers of a customer got.
    fn tell_of(&mut self, ticket: u64, tell: impl Fn(&mut Served)) {
        tell(&mut self.served);
        if let Some(owner) = self.owners.remove(&ticket) {
            tell(self.got.entry(owner).or_default());
        }
    }

    fn submit(&mut self, entry: usize) {
        self.submit_ask(stream(self.now), entry);
    }

    fn submit_ask(&mut self, ask: PlacementRequest, entry: usize) {
        self.tickets += 1;
        self.came.insert(self.tickets, (entry, self.now));
        self.entries[entry].submit(ms(self.now), self.tickets, ask);
    }

    /// One millisecond.
    fn tick(&mut self) {
        self.now += 1;
        let now = ms(self.now);
        self.hear_paces();
        for number in 0..self.entries.len() {
            for (ticket, verdict) in self.entries[number].process_queue(now) {
                if let Some(stream) = self.moving.remove(&ticket) {
                    self.moved(number, stream, verdict);
                    continue;
                }
                let (entry, came) = self.came.remove(&ticket).expect("it came");
                match verdict {
                    Verdict::Send(upstream) => self.running.push(Running {
                        ticket,
                        entry,
                        upstream,
                        passes: 0,
                        late: false,
                        came,
                    }),
                    Verdict::Reject(_) => self.tell_of(ticket, |served| served.refused += 1),
                }
            }
        }
        if self.now.is_multiple_of(TELL) && self.heard {
            self.tell();
        }
        if self.now >= self.next {
            self.step();
        }
    }

    /// Entries tell each other what they have in flight.
    fn tell(&mut self) {
        let now = ms(self.now);
        let flights: Vec<BTreeMap<Rc<str>, u32>> = self
            .entries
            .iter()
            .map(|entry| {
                entry
                    .in_flight(now)
                    .map(|(id, n)| (id.clone(), n))
                    .collect()
            })
            .collect();
        for (number, entry) in self.entries.iter_mut().enumerate() {
            for id in &self.ids {
                let others = flights.iter().enumerate().filter(|(n, _)| *n != number);
                let sum = others.filter_map(|(_, flights)| flights.get(id)).sum();
                entry.set_peer_load(ms(self.now), id, sum);
            }
        }
    }

    /// A pass ends: every stream gets an event.
    fn step(&mut self) {
        let now = ms(self.now);
        let took = self.pass;
        let mut running = std::mem::take(&mut self.running);
        for stream in &mut running {
            let first = stream.passes == 0;
            stream.passes += 1;
            if first {
                stream.late |= self.now > stream.came + 400;
            } else {
                stream.late |= took > 120;
                self.entries[stream.entry].record_pause(now, &stream.upstream, ms(took));
            }
        }
        for stream in running {
            if stream.passes < PASSES {
                self.running.push(stream);
                continue;
            }
            self.entries[stream.entry].finish_attempt(now, &stream.upstream, AttemptOutcome::Good);
            if stream.late {
                self.tell_of(stream.ticket, |served| served.late += 1);
            } else {
                self.tell_of(stream.ticket, |served| served.in_time += 1);
            }
        }
        let mut pass = self.engine.pass(0.0).mul_f64(self.pace);
        #[allow(clippy::cast_precision_loss)]
        let mean = self.running.len() as f64 / self.ids.len() as f64;
        for (number, id) in self.ids.iter().enumerate() {
            let streams = self.streams(number);
            self.most = self.most.max(streams);
            let slow = self.paces.get(id).map_or(1.0, |(pace, _)| *pace);
            // A rank without streams holds nobody back.
            if streams > 0 {
                #[allow(clippy::cast_precision_loss)]
                let own = mean * self.shared + streams as f64 * (1.0 - self.shared);
                let own = self.engine.pass(own).mul_f64(self.pace * slow);
                pass = pass.max(own);
            }
        }
        self.pass = u64::try_from(pass.as_millis())
            .expect("a short pass")
            .max(1);
        self.next = self.now + self.pass;
    }
}
