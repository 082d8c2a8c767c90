//! Tens of entries before hundreds of upstreams: who finds a free slot.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use verbenaspool_policy::{
    dispatch::{AttemptOutcome, Dispatcher, PlacementRequest, Verdict},
    slots::Slots,
};
use verbenaspool_state::{engine::Engine, replica::Replica};

use crate::world::{ms, replica, stream};

const ENTRIES: usize = 60;
const UPSTREAMS: u32 = 200;
const ZONES: usize = 5;
const SLOTS: u32 = 6;

/// How long a stream runs.
const RUNS: u32 = 1_900;

/// How long a request takes to its upstream, and an ask and its answer each.
const WAY: u64 = 2;

/// How often entries tell each other what they have, where they do: 30 ms, and 4 ms more
/// for each of the others.
const DIGESTS: u64 = 266;

/// How often an entry looks after those who wait.
const TICK: u64 = 20;

/// How often an agent reads its upstream's report.
const READ: u64 = 50;

/// How entries know of the requests of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Views {
    /// By each other's digests.
    Digests,
    /// By agents, who are asked before each request.
    Agents,
}

/// What may go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The agents of every third upstream are silent.
    SilentAgents,
    /// The first entry asks no agent.
    RudeEntry,
    /// A fifth of the upstreams is gone, all in one zone.
    LostZone,
    /// Each second other entries are replaced by new ones.
    Restarts,
}

/// A request on its way, or a word about one.
enum Event {
    /// An entry asks an agent.
    Ask(usize, u64, usize),
    /// A request reaches its upstream.
    Arrive(usize, usize),
    /// A stream ends.
    End(usize, usize),
}

#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    sent: u32,
    /// Sendings that met an upstream whose slots were all taken.
    full: u32,
    refused: u32,
    /// Sendings to another zone.
    far: u32,
}

impl Outcome {
    /// Sendings that met a full upstream, in a thousand.
    fn full_in_thousand(self) -> u32 {
        self.full * 1_000 / self.sent.max(1)
    }
}

fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        stride: 9,
        step: std::time::Duration::from_micros(4_840),
        step_per_request: std::time::Duration::from_micros(797),
        experts: None,
    }
}

struct Fleet {
    views: Views,
    fault: Fault,
    now: u64,
    replicas: Vec<Replica>,
    entries: Vec<Dispatcher>,
    agents: Vec<Slots>,
    running: Vec<u32>,
    numbers: u64,
    events: BTreeMap<u64, VecDeque<Event>>,
    asks: BTreeMap<u64, PlacementRequest>,
    tickets: u64,
    outcome: Outcome,
}

fn zone(number: usize) -> String {
    format!("z{}", number % ZONES)
}

fn entry(number: usize, replicas: &[Replica]) -> Dispatcher {
    let mut entry = Dispatcher::new(zone(number).as_str().into(), 7 + number as u64);
    entry.set_engine(Some(&engine()));
    entry.set_upstreams(replicas.iter());
    entry
}

impl Fleet {
    fn new(views: Views, fault: Fault) -> Self {
        let there = |number: &usize| fault != Fault::LostZone || !number.is_multiple_of(ZONES);
        let upstream = |number: usize| Replica {
            zone: zone(number).as_str().into(),
            ..replica(&format!("u{number}"), SLOTS)
        };
        let replicas: Vec<Replica> = (0..UPSTREAMS as usize)
            .filter(there)
            .map(upstream)
            .collect();
        Self {
            views,
            fault,
            now: 0,
            entries: (0..ENTRIES).map(|n| entry(n, &replicas)).collect(),
            agents: replicas.iter().map(|_| Slots::default()).collect(),
            running: vec![0; replicas.len()],
            replicas,
            numbers: 0,
            events: BTreeMap::new(),
            asks: BTreeMap::new(),
            tickets: 0,
            outcome: Outcome::default(),
        }
    }

    fn speaks(&self, upstream: usize) -> bool {
        let silent = self.fault == Fault::SilentAgents && upstream.is_multiple_of(3);
        self.views == Views::Agents && !silent
    }

    fn later(&mut self, after: u64, event: Event) {
        let at = self.now + after;
        self.events.entry(at).or_default().push_back(event);
    }

    /// Agents answer an entry that has just started.
    fn introduce(&mut self, entry: usize) {
        for upstream in 0..self.replicas.len() {
            if self.speaks(upstream) {
                self.status(entry, upstream);
            }
        }
    }

    /// Streams come at a rate that takes such a part of all slots, unevenly to entries.
    fn play(&mut self, part: f64, for_ms: u64) -> Outcome {
        let slots = f64::from(SLOTS * UPSTREAMS);
        let rate = slots * part / f64::from(RUNS);
        let (mut due, mut next) = (0.0, 0_usize);
        let end = self.now + for_ms;
        (0..ENTRIES).for_each(|entry| self.introduce(entry));
        while self.now < end {
            due += rate;
            while due >= 1.0 {
                due -= 1.0;
                next += 1;
                // One entry in four gets twice as much.
                let number = if next % 5 < 2 { next % 15 * 4 } else { next };
                let ask = PlacementRequest {
                    max_gap: Some(ms(150)),
                    ..stream(self.now)
                };
                self.submit(number % ENTRIES, ask);
            }
            self.tick();
        }
        self.outcome
    }

    fn submit(&mut self, entry: usize, ask: PlacementRequest) {
        self.tickets += 1;
        self.asks.insert(self.tickets, ask.clone());
        self.entries[entry].submit(ms(self.now), self.tickets, ask);
        self.pump(entry);
    }

    fn pump(&mut self, entry: usize) {
        let now = ms(self.now);
        for (ticket, verdict) in self.entries[entry].process_queue(now) {
            let Verdict::Send(id) = verdict else {
                self.asks.remove(&ticket);
                self.outcome.refused += 1;
                continue;
            };
            let upstream = self.number(&id);
            let rude = self.fault == Fault::RudeEntry && entry == 0;
            if self.entries[entry].needs_reservation(now, &id) && !rude {
                self.later(WAY, Event::Ask(entry, ticket, upstream));
            } else {
                self.send(entry, ticket, upstream);
            }
        }
    }

    fn number(&self, id: &str) -> usize {
        let known = self.replicas.iter().position(|replica| &*replica.id == id);
        known.expect("an upstream that is there")
    }

    fn send(&mut self, entry: usize, ticket: u64, upstream: usize) {
        self.asks.remove(&ticket);
        let id = self.replicas[upstream].id.clone();
        self.entries[entry].finish_reservation(&id);
        self.later(WAY, Event::Arrive(entry, upstream));
    }

    fn status(&mut self, entry: usize, upstream: usize) {
        self.numbers += 1;
        let id: Rc<str> = self.replicas[upstream].id.clone();
        let requests = self.agents[upstream].requests();
        let believed = self.entries[entry].record_load(ms(self.now), &id, self.numbers, requests);
        assert!(believed);
    }

    fn asked(&mut self, entry: usize, ticket: u64, upstream: usize) {
        let now = ms(self.now);
        let id = self.replicas[upstream].id.clone();
        if !self.speaks(upstream) {
            // What a timeout shows; the next agent is asked in its place.
            self.entries[entry].record_agent_timeout(now, &id);
        } else if self.agents[upstream].grant(now, SLOTS) {
            self.entries[entry].finish_reservation(&id);
            self.status(entry, upstream);
            self.asks.remove(&ticket);
            self.later(WAY * 2, Event::Arrive(entry, upstream));
            return;
        } else {
            self.status(entry, upstream);
        }
        self.entries[entry].finish_reservation(&id);
        self.entries[entry].finish_attempt(now, &id, AttemptOutcome::Unknown);
        if let Some(ask) = self.asks.remove(&ticket) {
            self.submit(entry, ask);
        }
    }

    fn tick(&mut self) {
        self.now += 1;
        for event in self.events.remove(&self.now).unwrap_or_default() {
            match event {
                Event::Ask(entry, ticket, upstream) => self.asked(entry, ticket, upstream),
                Event::Arrive(entry, upstream) => {
                    self.outcome.sent += 1;
                    self.outcome.full += u32::from(self.running[upstream] >= SLOTS);
                    self.outcome.far += u32::from(entry % ZONES != upstream % ZONES);
                    self.running[upstream] += 1;
                    self.later(RUNS.into(), Event::End(entry, upstream));
                }
                Event::End(entry, upstream) => {
                    self.running[upstream] -= 1;
                    let id = self.replicas[upstream].id.clone();
                    self.entries[entry].finish_attempt(ms(self.now), &id, AttemptOutcome::Good);
                }
            }
        }
        if self.now.is_multiple_of(TICK) {
            self.look_after();
        }
        self.tell();
        if self.fault == Fault::Restarts && self.now.is_multiple_of(1_000) {
            let number = usize::try_from(self.now / 1_000 * 7).unwrap_or(0) % ENTRIES;
            self.entries[number] = entry(number, &self.replicas);
            self.introduce(number);
        }
    }

    /// Entries place those who wait, and see how long passes take.
    fn look_after(&mut self) {
        let now = ms(self.now);
        let running: u32 = self.running.iter().sum();
        let pass = engine().pass(f64::from(running) / f64::from(UPSTREAMS));
        for entry in 0..ENTRIES {
            self.entries[entry].record_pause(now, &self.replicas[0].id, pass);
            if self.entries[entry].waiting_count() > 0 {
                self.pump(entry);
            }
        }
    }

    /// Agents and entries say what there is to say in this millisecond.
    fn tell(&mut self) {
        for upstream in 0..self.replicas.len() {
            let at = self.now + upstream as u64;
            if at.is_multiple_of(READ) {
                let now = ms(self.now);
                self.agents[upstream].report(now, self.running[upstream]);
            }
            if !self.speaks(upstream) || !at.is_multiple_of(READ * 2) {
                continue;
            }
            for entry in 0..ENTRIES {
                let near = entry % ZONES == upstream % ZONES;
                if near || (at / 100 + entry as u64).is_multiple_of(20) {
                    self.status(entry, upstream);
                }
            }
        }
        if self.now.is_multiple_of(DIGESTS) {
            self.digests();
        }
    }

    fn digests(&mut self) {
        let now = ms(self.now);
        let mut sums: BTreeMap<Rc<str>, u32> = BTreeMap::new();
        let flights = |entry: &Dispatcher| -> BTreeMap<Rc<str>, u32> {
            entry
                .in_flight(now)
                .map(|(id, n)| (id.clone(), n))
                .collect()
        };
        let each: Vec<_> = self.entries.iter().map(flights).collect();
        for (id, requests) in each.iter().flatten() {
            *sums.entry(id.clone()).or_default() += requests;
        }
        for (entry, own) in self.entries.iter_mut().zip(&each) {
            for replica in &self.replicas {
                let sum = sums.get(&replica.id).copied().unwrap_or(0);
                let own = own.get(&replica.id).copied().unwrap_or(0);
                entry.set_peer_load(now, &replica.id, sum - own);
            }
        }
    }
}

/// A calm morning with three quarters of all slots in use. Entries that know of each
/// other by digests alone send 175 in 1,000 streams to an upstream that is full, where
/// their callers wait behind others and leave; those that ask agents send 0.
#[test]
fn streams_find_a_free_slot_where_agents_are_asked() {
    let before = Fleet::new(Views::Digests, Fault::None).play(0.75, 5_000);
    let after = Fleet::new(Views::Agents, Fault::None).play(0.75, 5_000);
    assert!(before.full_in_thousand() > 100, "{before:?}");
    assert!(after.full_in_thousand() <= 5, "{after:?}");
    assert!(after.refused <= before.refused, "{after:?}");
}

/// The processes of a third of the agents were killed. Nobody says what their upstreams
/// have but the entries themselves; the others are placed on as before.
#[test]
fn a_third_of_the_agents_may_be_silent() {
    let after = Fleet::new(Views::Agents, Fault::SilentAgents).play(0.6, 5_000);
    assert!(after.full_in_thousand() <= 30, "{after:?}");
    assert!(after.refused * 50 <= after.sent, "{after:?}");
}

/// One entry sends without a word to any agent, as one that is cut off from them would.
/// Agents see its streams in their upstreams' reports, so that the others keep clear.
#[test]
fn an_entry_that_asks_nobody_harms_itself_only() {
    let after = Fleet::new(Views::Agents, Fault::RudeEntry).play(0.75, 5_000);
    assert!(after.full_in_thousand() <= 30, "{after:?}");
}

/// A zone is lost with a fifth of the upstreams: its entries send to the others, which
/// are nearly full then.
#[test]
fn a_lost_zone_sends_its_streams_elsewhere() {
    let after = Fleet::new(Views::Agents, Fault::LostZone).play(0.6, 5_000);
    assert!(after.full_in_thousand() <= 5, "{after:?}");
    assert!(after.refused * 20 <= after.sent, "{after:?}");
}

/// Entries are replaced all day long. A new one knows nothing, and asks.
#[test]
fn entries_that_come_and_go_find_free_slots() {
    let after = Fleet::new(Views::Agents, Fault::Restarts).play(0.75, 5_000);
    assert!(after.full_in_thousand() <= 10, "{after:?}");
}
