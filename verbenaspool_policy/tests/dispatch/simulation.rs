//! Simulates lock-stepped engines and the entries that send them streams. Times are in
//! milliseconds.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use verbenaspool_policy::dispatch::{
    AttemptOutcome, Dispatcher, PlacementRequest, Resumption, Verdict, customer_rate,
    share::Weights,
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

/// The streams of a customer with a priority, in streams per second at each entry.
#[derive(Debug, Clone)]
pub struct Source {
    pub customer: String,
    pub priority: u8,
    pub rates: Vec<f64>,
}

/// Interval at which entries exchange the usage of customers.
const USAGE_INTERVAL_MS: u64 = 200;

/// How often a caller that repeats at once does so.
const MAX_REPEATS: u32 = 3;

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
    /// Whether capacity is divided among customers.
    shares: bool,
    /// Entries that exchange no messages with others.
    pub cut_off: BTreeSet<usize>,
    /// The customer whose callers repeat rejected streams at once, and the repetitions so far.
    pub repeating: Option<String>,
    repeats: BTreeMap<u64, u32>,
    /// Streams without an outcome that were submitted by [`Self::run_sources`].
    requests: BTreeMap<u64, PlacementRequest>,
    usage_sequence: u64,
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
            shares: false,
            cut_off: BTreeSet::new(),
            repeating: None,
            repeats: BTreeMap::new(),
            requests: BTreeMap::new(),
            usage_sequence: 0,
        }
    }

    /// Divides capacity among customers by weight.
    pub fn enable_shares(&mut self, weights: &[(&str, f64)]) {
        self.shares = true;
        let weights = Weights::new(weights.iter().copied());
        let count = self.entries.len();
        for (number, entry) in self.entries.iter_mut().enumerate() {
            entry.set_shares(Some(&weights));
            entry.set_sharing_entries(&format!("e{number}"), Some(count));
            entry.record_service_time(ms(1_500));
        }
    }

    /// Kills an entry, whose streams end, and starts it again.
    pub fn restart_entry(&mut self, number: usize) {
        let replicas: Vec<Replica> = self
            .ids
            .iter()
            .map(|id| replica(id, self.engine.slots))
            .collect();
        let mut entry = Dispatcher::new("a".into(), 177 + number as u64);
        entry.set_engine(Some(&self.engine));
        entry.set_upstreams(replicas.iter());
        self.entries[number] = entry;
        self.running.retain(|stream| stream.entry != number);
        let lost: Vec<u64> = self
            .queued
            .iter()
            .filter(|(_, (e, _))| *e == number)
            .map(|(t, _)| *t)
            .collect();
        for ticket in lost {
            self.queued.remove(&ticket);
            self.customer_names.remove(&ticket);
        }
        if self.shares {
            let count = self.entries.len();
            self.entries[number].set_shares(Some(&Weights::default()));
            self.entries[number].set_sharing_entries(&format!("e{number}"), Some(count));
        }
    }

    /// Number of running streams of a customer.
    pub fn running_count(&self, customer: &str) -> usize {
        let running = self.running.iter();
        let names = running.filter_map(|stream| self.customer_names.get(&stream.ticket));
        names.filter(|name| *name == customer).count()
    }

    /// Counts outcomes by customer for streams that are submitted from now on.
    pub fn start_counting(&mut self) {
        self.customer_names.clear();
        self.customer_outcomes.clear();
    }

    /// Submits streams of customers at the given rates. Returns how many of each customer.
    pub fn run_sources(&mut self, sources: &[Source], duration_ms: u64) -> BTreeMap<String, u32> {
        let count = sources.len() * self.entries.len();
        // Staggers the streams.
        let count = u32::try_from(count).expect("few");
        let mut due: Vec<f64> = (0..count).map(|n| f64::from(n * 7 % 10) / 10.0).collect();
        let mut submitted = BTreeMap::new();
        let end = self.now + duration_ms;
        while self.now < end {
            for (number, due) in due.iter_mut().enumerate() {
                let source = &sources[number / self.entries.len()];
                let entry = number % self.entries.len();
                *due += source.rates[entry] / 1e3;
                if *due >= 1.0 {
                    *due -= 1.0;
                    *submitted.entry(source.customer.clone()).or_default() += 1;
                    let customer: Rc<str> = source.customer.as_str().into();
                    let request = PlacementRequest {
                        customer: Some(customer.clone()),
                        priority: source.priority,
                        ..stream(self.now)
                    };
                    self.submit_of_customer(request, entry);
                }
            }
            self.tick();
        }
        submitted
    }

    /// Submits a stream of a customer.
    fn submit_of_customer(&mut self, request: PlacementRequest, entry: usize) {
        let ticket = self.last_ticket + 1;
        let customer = request.customer.clone();
        let name = customer.as_deref().unwrap_or_default().to_owned();
        self.entries[entry].record_arrival(ms(self.now), customer.as_ref(), request.work);
        self.customer_names.insert(ticket, name);
        self.requests.insert(ticket, request.clone());
        self.submit_request(request, entry);
    }

    /// Submits a rejected stream again if its caller repeats at once.
    fn repeat(&mut self, ticket: u64, entry: usize) {
        let (request, name) = (
            self.requests.remove(&ticket),
            self.customer_names.get(&ticket),
        );
        let repeats = self.repeats.remove(&ticket).unwrap_or(0);
        let repeating = name == self.repeating.as_ref() && repeats < MAX_REPEATS;
        let Some(request) = request.filter(|_| repeating) else {
            return;
        };
        self.repeats.insert(self.last_ticket + 1, repeats + 1);
        let request = PlacementRequest {
            queued_at: ms(self.now),
            ..request
        };
        self.submit_of_customer(request, entry);
    }

    /// Passes the usage that entries report to the others.
    fn exchange_usage(&mut self) {
        let now = ms(self.now);
        self.usage_sequence += 1;
        let reports: Vec<_> = self
            .entries
            .iter_mut()
            .map(|entry| entry.usage(now))
            .collect();
        let cut_off = &self.cut_off;
        for (number, entry) in self.entries.iter_mut().enumerate() {
            let own_cut = cut_off.contains(&number);
            entry.retain_usage(|peer| !own_cut && !cut_off.contains(&(peer as usize)));
            for (peer, report) in reports.iter().enumerate() {
                let Some(usage) = report.clone().filter(|_| peer != number) else {
                    continue;
                };
                if !own_cut && !cut_off.contains(&peer) {
                    let peer = u32::try_from(peer).expect("few");
                    entry.record_usage(now, peer, (1, self.usage_sequence), usage);
                }
            }
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
                    Verdict::Reject(_) => {
                        self.repeat(ticket, entry);
                        self.record_outcome(ticket, |sum| sum.rejected += 1);
                    }
                }
            }
        }
        if self.now.is_multiple_of(DIGEST_INTERVAL_MS) && self.exchanges_digests {
            self.exchange_digests();
        }
        if self.shares && self.now.is_multiple_of(USAGE_INTERVAL_MS) {
            self.exchange_usage();
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
                let cut_off = |n: &usize| self.cut_off.contains(n);
                let others = in_flight.iter().enumerate();
                let others =
                    others.filter(|(n, _)| *n != number && !cut_off(n) && !cut_off(&number));
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
            self.entries[stream.entry].finish_work(stream.ticket);
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
