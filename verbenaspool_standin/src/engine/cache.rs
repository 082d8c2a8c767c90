//! The prefix cache in limited memory, whose events come late and with gaps.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use verbenaspool_protocol::{
    prefix::{self, BLOCK_BYTES},
    report::Event,
};
use verbenaspool_transport::clock::Clock;

use super::Config;

/// Bytes of a prompt that make a token, roughly.
const TOKEN: usize = 4;

/// How many events the engine keeps for those who ask.
const KEPT: usize = 1_024;

/// The prefix cache.
#[derive(Debug)]
pub struct Cache {
    clock: Rc<dyn Clock>,
    room: usize,
    lag: Duration,
    gap: u64,
    /// The least recently used first.
    held: RefCell<VecDeque<u64>>,
    events: RefCell<VecDeque<(Duration, Event)>>,
    number: Cell<u64>,
    hits: Cell<u64>,
}

impl Cache {
    pub(crate) fn new(config: &Config, clock: Rc<dyn Clock>) -> Self {
        Self {
            clock,
            room: config.prefixes,
            lag: config.lag,
            gap: config.gap,
            held: RefCell::default(),
            events: RefCell::default(),
            number: Cell::new(0),
            hits: Cell::new(0),
        }
    }

    /// How many prefixes were found in the cache.
    #[must_use]
    pub fn hits(&self) -> u64 {
        self.hits.get()
    }

    /// Uses a prompt's prefixes and takes in those that are missing; returns
    /// the prompt tokens that must be computed.
    pub(crate) fn touch(&self, prompt: &str) -> u32 {
        let mut cached = 0;
        for prefix in prefix::hashes(prompt) {
            if self.take(prefix) {
                cached += 1;
            }
        }
        self.hits.set(self.hits.get() + cached as u64);
        let computed = prompt.len().saturating_sub(cached * BLOCK_BYTES) / TOKEN;
        u32::try_from(computed).unwrap_or(u32::MAX)
    }

    /// The last event's number and the events behind a number, as far as the
    /// lag lets them be seen.
    pub(crate) fn told(&self, since: u64) -> (u64, Vec<Event>) {
        let seen = self.clock.now().saturating_sub(self.lag);
        let events = self.events.borrow();
        let told = events.iter().filter(|(at, _)| *at <= seen);
        let told: Vec<Event> = told.map(|(_, event)| *event).collect();
        let last = told.last().map_or(0, |event| event.number);
        let later = told.into_iter().filter(|event| event.number > since);
        (last, later.collect())
    }

    /// Makes a prefix the most recently used; whether it was held before.
    fn take(&self, prefix: u64) -> bool {
        let mut held = self.held.borrow_mut();
        let found = held.iter().position(|&other| other == prefix);
        if let Some(index) = found {
            held.remove(index);
        }
        held.push_back(prefix);
        if found.is_none() {
            self.tell(prefix, true);
            if held.len() > self.room
                && let Some(oldest) = held.pop_front()
            {
                self.tell(oldest, false);
            }
        }
        found.is_some()
    }

    fn tell(&self, prefix: u64, held: bool) {
        let number = self.number.get() + 1;
        self.number.set(number);
        if self.gap > 0 && number.is_multiple_of(self.gap) {
            return;
        }
        let event = Event {
            number,
            prefix,
            held,
        };
        let mut events = self.events.borrow_mut();
        events.push_back((self.clock.now(), event));
        if events.len() > KEPT {
            events.pop_front();
        }
    }
}
