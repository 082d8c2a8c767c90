//! Simulates lock-stepped engines and the entries that send them streams. Times are in
//! milliseconds.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use verbenaspool_policy::dispatch::{
    AttemptOutcome, Dispatcher, PlacementRequest, Resumption, Verdict, customer_rate,
};
use verbenaspool_state::{
    engine::Engine,
    replica::{Replica, State},
};

/// Number of passes that a stream takes.
const PASSES_PER_STREAM: u32 = 26;

/// Interval at which entries exchange digests of their requests in flight.
const DIGEST_INTERVAL_MS: u64 = 40;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The engine of the simulated upstreams.
pub fn engine() -> Engine {
    Engine {
        slots: 12,
        steps_per_pass: 6,
        step_time: Duration::from_micros(4_840),
        step_time_per_request: Duration::from_micros(362),
        experts: None,
    }
}

/// An upstream as listed in the registry.
pub fn replica(id: &str, slots: u32) -> Replica {
    Replica {
        id: id.into(),
        service: "model".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".into(),
        slots,
        state: State::Ready,
        started_at_ms: 0,
        warm_up_left: None,
    }
}

/// The placement request of a new stream.
pub fn stream(now: u64) -> PlacementRequest {
    PlacementRequest {
        priority: 1,
        queued_at: ms(now),
        target: ms(now + 400),
        deadline: ms(now + 8_000),
        place_by: ms(now + 1_600),
        resumption: Resumption::None,
        over_usual_rate: false,
        customer: None,
        work: 1.0,
        max_gap: Some(ms(120)),
        excluded: Vec::new(),
    }
}

/// A running stream.
struct RunningStream {
    ticket: u64,
    entry: usize,
    upstream: Rc<str>,
    passes: u32,
    late: bool,
    /// When it was submitted.
    arrived_at: u64,
}

/// Streams by their outcome for the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcomes {
    pub on_time: u32,
    pub late: u32,
    pub rejected: u32,
}

impl std::ops::Sub for Outcomes {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            on_time: self.on_time - before.on_time,
            late: self.late - before.late,
            rejected: self.rejected - before.rejected,
        }
    }
}

/// A customer's name, and its rate in streams per second and entry.
pub type Customer<'a> = (&'a str, f64);

/// Delay until entries receive a rank's new pace.
const STATUS_DELAY_MS: u64 = 100;

/// Entries and one group of upstreams.
pub struct Simulation {
    pub now: u64,
    engine: Engine,
    pub entries: Vec<Dispatcher>,
    ids: Vec<Rc<str>>,
    /// The pass time relative to evenly loaded ranks.
    pub pace: f64,
    /// The share of the stream-dependent work that is spread evenly over all ranks.
    pub shared_load_ratio: f64,
    running: Vec<RunningStream>,
    queued: BTreeMap<u64, (usize, u64)>,
    /// The customers of streams without an outcome, by ticket; only set by
    /// [`Self::run_customers`].
    customer_names: BTreeMap<u64, String>,
    pub customer_outcomes: BTreeMap<String, Outcomes>,
    customer_rates: Vec<customer_rate::Rates>,
    next_pass_at: u64,
    pass_ms: u64,
    last_ticket: u64,
    /// Whether entries receive each other's digests.
    pub exchanges_digests: bool,
    pub outcomes: Outcomes,
    /// The most streams that an upstream had at any time.
    pub max_streams: usize,
    /// The pace of each upstream whose pace was set, and when it was set.
    upstream_paces: BTreeMap<Rc<str>, (f64, u64)>,
    /// Running streams that wait for another upstream, by the ticket of their placement
    /// request.
    moves: BTreeMap<u64, u64>,
}

impl Simulation {
    pub fn new(entries: usize, upstreams: usize) -> Self {
        Self::with_engine(&engine(), entries, upstreams)
    }

    /// Creates entries and upstreams with the given engine.
    pub fn with_engine(engine: &Engine, entries: usize, upstreams: usize) -> Self {
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
            shared_load_ratio: 0.0,
            running: Vec::new(),
            queued: BTreeMap::new(),
            customer_names: BTreeMap::new(),
            customer_outcomes: BTreeMap::new(),
            customer_rates: (0..entries)
                .map(|_| customer_rate::Rates::default())
                .collect(),
            next_pass_at: 60,
            pass_ms: 60,
            last_ticket: 0,
            exchanges_digests: true,
            outcomes: Outcomes::default(),
            max_streams: 0,
            upstream_paces: BTreeMap::new(),
            moves: BTreeMap::new(),
        }
    }

    /// Sets how many times longer than usual an upstream takes.
    pub fn set_pace(&mut self, number: usize, pace: f64) {
        self.upstream_paces
            .insert(self.ids[number].clone(), (pace, self.now));
    }

    /// The number of streams at an upstream.
    pub fn stream_count(&self, number: usize) -> usize {
        let streams = self.running.iter();
        streams.filter(|s| s.upstream == self.ids[number]).count()
    }

    /// Reports new paces to entries, and requests another upstream for each stream at a
    /// slow one.
    fn update_paces(&mut self) {
        let now = ms(self.now);
        for (id, (pace, since)) in &self.upstream_paces {
            if self.now == since + STATUS_DELAY_MS {
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
            if self.moves.values().any(|moving| *moving == running) {
                continue;
            }
            self.last_ticket += 1;
            let request = PlacementRequest {
                target: now,
                place_by: now + ms(1_600),
                resumption: Resumption::Moved,
                excluded: vec![upstream],
                ..stream(self.now)
            };
            self.entries[entry].submit(now, self.last_ticket, request);
            self.moves.insert(self.last_ticket, running);
        }
    }

    /// Moves a stream to another upstream if its request was placed. Otherwise it stays.
    fn finish_move(&mut self, entry: usize, stream: u64, verdict: Verdict) {
        let Verdict::Send(to) = verdict else {
            return;
        };
        let now = ms(self.now);
        let running = self.running.iter_mut().find(|s| s.ticket == stream);
        let left_upstream = match running {
            Some(running) => std::mem::replace(&mut running.upstream, to),
            None => to,
        };
        self.entries[entry].finish_attempt(now, &left_upstream, AttemptOutcome::Unknown);
    }

    /// Submits streams at the given rates per second, one for each entry.
    pub fn run(&mut self, rates: &[f64], duration_ms: u64) {
        let mut due = vec![0.0; rates.len()];
        let end = self.now + duration_ms;
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

    /// Submits streams of customers at all entries.
    pub fn run_customers(&mut self, customers: &[Customer<'_>], duration_ms: u64) {
        // Staggers the customers' streams.
        let count = u32::try_from(customers.len() * self.entries.len()).expect("few");
        let mut due: Vec<f64> = (0..count).map(|n| f64::from(n * 7 % 10) / 10.0).collect();
        let end = self.now + duration_ms;
        while self.now < end {
            for (number, due) in due.iter_mut().enumerate() {
                let (customer, rate) = customers[number / self.entries.len()];
                *due += rate / 1e3;
                if *due >= 1.0 {
                    *due -= 1.0;
                    let entry = number % self.entries.len();
                    let over_usual_rate =
                        self.customer_rates[entry].observe(ms(self.now), &customer.into());
                    self.customer_names
                        .insert(self.last_ticket + 1, customer.to_owned());
                    self.submit_request(
                        PlacementRequest {
                            over_usual_rate,
                            ..stream(self.now)
                        },
                        entry,
                    );
                }
            }
            self.tick();
        }
    }

    /// Records the outcome of a stream, in total and for its customer.
    fn record_outcome(&mut self, ticket: u64, record: impl Fn(&mut Outcomes)) {
        record(&mut self.outcomes);
        if let Some(customer) = self.customer_names.remove(&ticket) {
            record(self.customer_outcomes.entry(customer).or_default());
        }
    }

    fn submit(&mut self, entry: usize) {
        self.submit_request(stream(self.now), entry);
    }

    fn submit_request(&mut self, request: PlacementRequest, entry: usize) {
        self.last_ticket += 1;
        self.queued.insert(self.last_ticket, (entry, self.now));
        self.entries[entry].submit(ms(self.now), self.last_ticket, request);
    }

    /// Advances the simulation by one millisecond.
    fn tick(&mut self) {
        self.now += 1;
        let now = ms(self.now);
        self.update_paces();
        for number in 0..self.entries.len() {
            for (ticket, verdict) in self.entries[number].process_queue(now) {
                if let Some(stream) = self.moves.remove(&ticket) {
                    self.finish_move(number, stream, verdict);
                    continue;
                }
                let (entry, arrived_at) = self.queued.remove(&ticket).expect("a queued stream");
                match verdict {
                    Verdict::Send(upstream) => self.running.push(RunningStream {
                        ticket,
                        entry,
                        upstream,
                        passes: 0,
                        late: false,
                        arrived_at,
                    }),
                    Verdict::Reject(_) => self.record_outcome(ticket, |sum| sum.rejected += 1),
                }
            }
        }
        if self.now.is_multiple_of(DIGEST_INTERVAL_MS) && self.exchanges_digests {
            self.exchange_digests();
        }
        if self.now >= self.next_pass_at {
            self.end_pass();
        }
    }

    /// Sets at each entry the requests that the others have in flight.
    fn exchange_digests(&mut self) {
        let now = ms(self.now);
        let in_flight: Vec<BTreeMap<Rc<str>, u32>> = self
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
                let others = in_flight.iter().enumerate().filter(|(n, _)| *n != number);
                let sum = others.filter_map(|(_, in_flight)| in_flight.get(id)).sum();
                entry.set_peer_load(ms(self.now), id, sum);
            }
        }
    }

    /// Ends a pass: every stream gets an event.
    fn end_pass(&mut self) {
        let now = ms(self.now);
        let pass_ms = self.pass_ms;
        let mut running = std::mem::take(&mut self.running);
        for stream in &mut running {
            let first = stream.passes == 0;
            stream.passes += 1;
            if first {
                stream.late |= self.now > stream.arrived_at + 400;
            } else {
                stream.late |= pass_ms > 120;
                self.entries[stream.entry].record_pause(now, &stream.upstream, ms(pass_ms));
            }
        }
        for stream in running {
            if stream.passes < PASSES_PER_STREAM {
                self.running.push(stream);
                continue;
            }
            self.entries[stream.entry].finish_attempt(now, &stream.upstream, AttemptOutcome::Good);
            if stream.late {
                self.record_outcome(stream.ticket, |sum| sum.late += 1);
            } else {
                self.record_outcome(stream.ticket, |sum| sum.on_time += 1);
            }
        }
        let mut pass = self.engine.pass_time(0.0).mul_f64(self.pace);
        #[allow(clippy::cast_precision_loss)]
        let mean = self.running.len() as f64 / self.ids.len() as f64;
        for (number, id) in self.ids.iter().enumerate() {
            let streams = self.stream_count(number);
            self.max_streams = self.max_streams.max(streams);
            let upstream_pace = self.upstream_paces.get(id).map_or(1.0, |(pace, _)| *pace);
            // A rank without streams delays no other rank.
            if streams > 0 {
                #[allow(clippy::cast_precision_loss)]
                let own =
                    mean * self.shared_load_ratio + streams as f64 * (1.0 - self.shared_load_ratio);
                let own = self
                    .engine
                    .pass_time(own)
                    .mul_f64(self.pace * upstream_pace);
                pass = pass.max(own);
            }
        }
        self.pass_ms = u64::try_from(pass.as_millis())
            .expect("a short pass")
            .max(1);
        self.next_pass_at = self.now + self.pass_ms;
    }
}
