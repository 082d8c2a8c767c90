//! Continuous batching: places in the batch, a queue before it, and steps that
//! grow with the number of requests in it.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use tokio::sync::oneshot;

use verbenaspool_protocol::engine::State;
use verbenaspool_transport::clock::{Clock, Sleep};

use super::Config;

/// The batch and its queue.
#[derive(Debug)]
pub struct Batch {
    clock: Rc<dyn Clock>,
    places: usize,
    step: Duration,
    crowding: Duration,
    prefill: Duration,
    lag: Duration,
    running: Cell<usize>,
    tokens: Cell<u64>,
    waiting: RefCell<Vec<Waiter>>,
    told: RefCell<VecDeque<(Duration, State)>>,
    cancelled: Cell<u64>,
    stalled: Cell<bool>,
}

#[derive(Debug)]
struct Waiter {
    priority: u8,
    call: oneshot::Sender<()>,
}

/// A place in the batch or in the queue, given back when the request ends.
#[derive(Debug)]
pub struct Place {
    batch: Rc<Batch>,
    left: Cell<u32>,
    runs: Cell<bool>,
}

impl Batch {
    pub(crate) fn new(config: &Config, clock: Rc<dyn Clock>) -> Self {
        Self {
            clock,
            places: config.places,
            step: config.step,
            crowding: config.crowding,
            prefill: config.prefill,
            lag: config.lag,
            running: Cell::new(0),
            tokens: Cell::new(0),
            waiting: RefCell::default(),
            told: RefCell::default(),
            cancelled: Cell::new(0),
            stalled: Cell::new(false),
        }
    }

    /// Waits for a place.
    pub(crate) async fn enter(self: &Rc<Self>, priority: u8, tokens: u32) -> Place {
        self.tokens.set(self.tokens.get() + u64::from(tokens));
        let place = Place {
            batch: self.clone(),
            left: Cell::new(tokens),
            runs: Cell::new(false),
        };
        while self.running.get() >= self.places {
            let (call, called) = oneshot::channel();
            self.waiting.borrow_mut().push(Waiter { priority, call });
            self.note();
            let _ = called.await;
        }
        place.runs.set(true);
        self.running.set(self.running.get() + 1);
        self.note();
        place
    }

    /// The time to read so many prompt tokens.
    pub(crate) async fn prefill(&self, tokens: u32) {
        self.clock.sleep(self.prefill * tokens).await;
    }

    /// The step that yields each running request's next token.
    pub(crate) fn step(&self) -> Sleep {
        let others = u32::try_from(self.running.get()).unwrap_or(u32::MAX);
        let step = self.step + self.crowding * others.saturating_sub(1);
        if self.stalled.get() {
            return Box::pin(std::future::pending());
        }
        self.clock.sleep(step)
    }

    /// How many requests were cancelled because their caller went.
    #[must_use]
    pub fn cancelled(&self) -> u64 {
        self.cancelled.get()
    }

    /// How many requests are in the batch.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Stalls the engine: requests yield no further token, for good.
    pub fn stall(&self) {
        self.stalled.set(true);
    }

    /// The load as it was the lag ago.
    pub(crate) fn told(&self) -> State {
        let seen = self.clock.now().saturating_sub(self.lag);
        let mut told = self.told.borrow_mut();
        while told.get(1).is_some_and(|(at, _)| *at <= seen) {
            told.pop_front();
        }
        match told.front() {
            Some((at, state)) if *at <= seen => state.clone(),
            _ => State::default(),
        }
    }

    /// Notes the load, to be told later.
    fn note(&self) {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let state = State {
            running: count(self.running.get()),
            queued: count(self.waiting.borrow().len()),
            tokens: self.tokens.get(),
            ..State::default()
        };
        let mut told = self.told.borrow_mut();
        told.push_back((self.clock.now(), state));
        let seen = self.clock.now().saturating_sub(self.lag);
        while told.get(1).is_some_and(|(at, _)| *at <= seen) {
            told.pop_front();
        }
    }

    /// Calls the most urgent waiter, of equals the first.
    fn call(&self) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|waiter| !waiter.call.is_closed());
        let urgent = waiting.iter().map(|waiter| waiter.priority).max();
        let next = waiting
            .iter()
            .position(|waiter| Some(waiter.priority) == urgent);
        if let Some(next) = next {
            let _ = waiting.remove(next).call.send(());
        }
    }
}

impl Place {
    /// Counts a generated token.
    pub(crate) fn generated(&self) {
        self.left.set(self.left.get().saturating_sub(1));
        self.batch
            .tokens
            .set(self.batch.tokens.get().saturating_sub(1));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let left = u64::from(self.left.get());
        if left > 0 {
            self.batch.cancelled.set(self.batch.cancelled.get() + 1);
        }
        self.batch
            .tokens
            .set(self.batch.tokens.get().saturating_sub(left));
        if self.runs.get() {
            self.batch.running.set(self.batch.running.get() - 1);
        }
        // A waiter that was called and went before it came passes the call on.
        self.batch.call();
        self.batch.note();
    }
}
