//! Simulates the prefix cache: its size is limited, and its events are reported late and with gaps.

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

/// The approximate length of a prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// How many events the engine keeps for reports.
const MAX_EVENTS: usize = 1_024;

/// The prefix cache, which evicts the least recently used prefix.
#[derive(Debug)]
pub struct Cache {
    clock: Rc<dyn Clock>,
    max_prefixes: usize,
    report_delay: Duration,
    dropped_event_interval: u64,
    /// The cached prefixes, the least recently used first.
    prefixes: RefCell<VecDeque<u64>>,
    /// The recorded events with their times.
    events: RefCell<VecDeque<(Duration, Event)>>,
    /// The number of the last event, dropped ones included.
    last_number: Cell<u64>,
    hits: Cell<u64>,
}

impl Cache {
    pub(crate) fn new(config: &Config, clock: Rc<dyn Clock>) -> Self {
        Self {
            clock,
            max_prefixes: config.max_prefixes,
            report_delay: config.report_delay,
            dropped_event_interval: config.dropped_event_interval,
            prefixes: RefCell::default(),
            events: RefCell::default(),
            last_number: Cell::new(0),
            hits: Cell::new(0),
        }
    }

    /// Returns how many prefixes of prompts were found in the cache.
    #[must_use]
    pub fn hits(&self) -> u64 {
        self.hits.get()
    }

    /// Looks up the prefixes of a prompt and adds those that are missing; returns how many prompt
    /// tokens must be computed.
    pub(crate) fn use_prompt(&self, prompt: &str) -> u32 {
        let mut cached = 0;
        for prefix in prefix::hashes(prompt) {
            if self.use_prefix(prefix) {
                cached += 1;
            }
        }
        self.hits.set(self.hits.get() + cached as u64);
        let computed = prompt.len().saturating_sub(cached * BLOCK_BYTES) / BYTES_PER_TOKEN;
        u32::try_from(computed).unwrap_or(u32::MAX)
    }

    /// Returns the number of the last event before the report delay, and the events up to it that
    /// follow the number `since`.
    pub(crate) fn delayed_events(&self, since: u64) -> (u64, Vec<Event>) {
        let visible_until = self.clock.now().saturating_sub(self.report_delay);
        let events = self.events.borrow();
        let visible = events.iter().filter(|(at, _)| *at <= visible_until);
        let visible: Vec<Event> = visible.map(|(_, event)| *event).collect();
        let last = visible.last().map_or(0, |event| event.number);
        let later = visible.into_iter().filter(|event| event.number > since);
        (last, later.collect())
    }

    /// Makes a prefix the most recently used; returns whether it was cached before.
    fn use_prefix(&self, prefix: u64) -> bool {
        let mut prefixes = self.prefixes.borrow_mut();
        let found = prefixes.iter().position(|&other| other == prefix);
        if let Some(index) = found {
            prefixes.remove(index);
        }
        prefixes.push_back(prefix);
        if found.is_none() {
            self.record_event(prefix, true);
            if prefixes.len() > self.max_prefixes
                && let Some(oldest) = prefixes.pop_front()
            {
                self.record_event(oldest, false);
            }
        }
        found.is_some()
    }

    /// Records that a prefix was added or evicted.
    fn record_event(&self, prefix: u64, added: bool) {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        if self.dropped_event_interval > 0 && number.is_multiple_of(self.dropped_event_interval) {
            return;
        }
        let event = Event {
            number,
            prefix,
            added,
        };
        let mut events = self.events.borrow_mut();
        events.push_back((self.clock.now(), event));
        if events.len() > MAX_EVENTS {
            events.pop_front();
        }
    }
}
