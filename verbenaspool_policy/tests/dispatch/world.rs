//! Engines that work in passes, and entries that send them streams: time in
//! milliseconds.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use verbenaspool_policy::dispatch::{Ask, Dispatcher, Ending, Verdict};
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
pub fn stream(now: u64) -> Ask {
    Ask {
        priority: 1,
        target: ms(now + 400),
        deadline: ms(now + 8_000),
        gap: Some(ms(120)),
        avoid: Vec::new(),
    }
}

/// A stream that runs.
struct Running {
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

/// Entries before one group of upstreams.
pub struct World {
    pub now: u64,
    pub entries: Vec<Dispatcher>,
    ids: Vec<Rc<str>>,
    /// How much longer passes take than on even ranks.
    pub pace: f64,
    running: Vec<Running>,
    came: BTreeMap<u64, (usize, u64)>,
    next: u64,
    pass: u64,
    tickets: u64,
    /// Whether entries hear each other.
    pub heard: bool,
    pub served: Served,
    /// The most streams that one upstream ever had.
    pub most: usize,
}

impl World {
    pub fn new(entries: usize, upstreams: usize) -> Self {
        let replicas: Vec<Replica> = (0..upstreams)
            .map(|n| replica(&format!("u{n}"), 12))
            .collect();
        let entry = |number: usize| {
            let mut entry = Dispatcher::new("a".into(), 77 + number as u64);
            entry.engine(Some(&engine()));
            entry.members(replicas.iter());
            entry
        };
        Self {
            now: 0,
            entries: (0..entries).map(entry).collect(),
            ids: replicas.iter().map(|replica| replica.id.clone()).collect(),
            pace: 1.0,
            running: Vec::new(),
            came: BTreeMap::new(),
            next: 60,
            pass: 60,
            tickets: 0,
            heard: true,
            served: Served::default(),
            most: 0,
        }
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

    fn submit(&mut self, entry: usize) {
        self.tickets += 1;
        self.came.insert(self.tickets, (entry, self.now));
        let ask = stream(self.now);
        self.entries[entry].submit(ms(self.now), self.tickets, ask);
    }

    /// One millisecond.
    fn tick(&mut self) {
        self.now += 1;
        let now = ms(self.now);
        for number in 0..self.entries.len() {
            for (ticket, verdict) in self.entries[number].pump(now) {
                let (entry, came) = self.came.remove(&ticket).expect("it came");
                match verdict {
                    Verdict::Send(upstream) => self.running.push(Running {
                        entry,
                        upstream,
                        passes: 0,
                        late: false,
                        came,
                    }),
                    Verdict::Refuse(_) => self.served.refused += 1,
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
        let flights: Vec<BTreeMap<Rc<str>, u32>> = self
            .entries
            .iter()
            .map(|entry| entry.flights().map(|(id, n)| (id.clone(), n)).collect())
            .collect();
        for (number, entry) in self.entries.iter_mut().enumerate() {
            for id in &self.ids {
                let others = flights.iter().enumerate().filter(|(n, _)| *n != number);
                let sum = others.filter_map(|(_, flights)| flights.get(id)).sum();
                entry.others(ms(self.now), id, sum);
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
                self.entries[stream.entry].pause(now, &stream.upstream, ms(took));
            }
        }
        for stream in running {
            if stream.passes < PASSES {
                self.running.push(stream);
                continue;
            }
            self.entries[stream.entry].ended(now, &stream.upstream, Ending::Good);
            if stream.late {
                self.served.late += 1;
            } else {
                self.served.in_time += 1;
            }
        }
        let most = self
            .ids
            .iter()
            .map(|id| self.running.iter().filter(|s| s.upstream == *id).count())
            .max()
            .unwrap_or(0);
        self.most = self.most.max(most);
        #[allow(clippy::cast_precision_loss)]
        let pass = engine().pass(most as f64).mul_f64(self.pace);
        self.pass = u64::try_from(pass.as_millis())
            .expect("a short pass")
            .max(1);
        self.next = self.now + self.pass;
    }
}
