//! Simulates continuous batching: a batch of limited size, a queue for further requests, and steps
//! that get longer with the number of running requests.

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
    max_size: usize,
    step_time: Duration,
    step_time_per_request: Duration,
    prefill_time_per_token: Duration,
    report_delay: Duration,
    running: Cell<usize>,
    /// Tokens left to generate for all running and queued requests.
    remaining_tokens: Cell<u64>,
    waiting: RefCell<Vec<Waiter>>,
    /// The states since the last one to report, with their times.
    states: RefCell<VecDeque<(Duration, State)>>,
    cancelled: Cell<u64>,
    stalled: Cell<bool>,
}

#[derive(Debug)]
struct Waiter {
    priority: u8,
    wake: oneshot::Sender<()>,
}

/// A request in the batch or in the queue, removed from it when dropped.
#[derive(Debug)]
pub struct Slot {
    batch: Rc<Batch>,
    remaining_tokens: Cell<u32>,
    is_running: Cell<bool>,
}

impl Batch {
    pub(crate) fn new(config: &Config, clock: Rc<dyn Clock>) -> Self {
        Self {
            clock,
            max_size: config.max_batch_size,
            step_time: config.step_time,
            step_time_per_request: config.step_time_per_request,
            prefill_time_per_token: config.prefill_time_per_token,
            report_delay: config.report_delay,
            running: Cell::new(0),
            remaining_tokens: Cell::new(0),
            waiting: RefCell::default(),
            states: RefCell::default(),
            cancelled: Cell::new(0),
            stalled: Cell::new(false),
        }
    }

    /// Queues a request and waits until it runs.
    pub(crate) async fn acquire_slot(self: &Rc<Self>, priority: u8, tokens: u32) -> Slot {
        self.remaining_tokens
            .set(self.remaining_tokens.get() + u64::from(tokens));
        let slot = Slot {
            batch: self.clone(),
            remaining_tokens: Cell::new(tokens),
            is_running: Cell::new(false),
        };
        while self.running.get() >= self.max_size {
            let (wake, woken) = oneshot::channel();
            self.waiting.borrow_mut().push(Waiter { priority, wake });
            self.record_state();
            let _ = woken.await;
        }
        slot.is_running.set(true);
        self.running.set(self.running.get() + 1);
        self.record_state();
        slot
    }

    /// Waits for the prefill of this many prompt tokens.
    pub(crate) async fn prefill(&self, tokens: u32) {
        self.clock.sleep(self.prefill_time_per_token * tokens).await;
    }

    /// Returns a timer for the step that generates the next token of each running request.
    pub(crate) fn step(&self) -> Sleep {
        let running = u32::try_from(self.running.get()).unwrap_or(u32::MAX);
        let step_time = self.step_time + self.step_time_per_request * running.saturating_sub(1);
        if self.stalled.get() {
            return Box::pin(std::future::pending());
        }
        self.clock.sleep(step_time)
    }

    /// Returns how many requests were dropped before their last token, as when their callers leave.
    #[must_use]
    pub fn cancelled(&self) -> u64 {
        self.cancelled.get()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Stalls the engine permanently: no request gets another step.
    pub fn stall(&self) {
        self.stalled.set(true);
    }

    /// Returns the load as it was before the report delay.
    pub(crate) fn delayed_state(&self) -> State {
        let visible_until = self.clock.now().saturating_sub(self.report_delay);
        let mut states = self.states.borrow_mut();
        while states.get(1).is_some_and(|(at, _)| *at <= visible_until) {
            states.pop_front();
        }
        match states.front() {
            Some((at, state)) if *at <= visible_until => state.clone(),
            _ => State::default(),
        }
    }

    /// Records the load, to be reported after the report delay.
    fn record_state(&self) {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let state = State {
            running: count(self.running.get()),
            queued: count(self.waiting.borrow().len()),
            tokens: self.remaining_tokens.get(),
            ..State::default()
        };
        let mut states = self.states.borrow_mut();
        states.push_back((self.clock.now(), state));
        let visible_until = self.clock.now().saturating_sub(self.report_delay);
        while states.get(1).is_some_and(|(at, _)| *at <= visible_until) {
            states.pop_front();
        }
    }

    /// Wakes the waiter with the highest priority, the oldest of equals.
    fn wake_next(&self) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|waiter| !waiter.wake.is_closed());
        let highest_priority = waiting.iter().map(|waiter| waiter.priority).max();
        let next = waiting
            .iter()
            .position(|waiter| Some(waiter.priority) == highest_priority);
        if let Some(next) = next {
            let _ = waiting.remove(next).wake.send(());
        }
    }
}

impl Slot {
    /// Counts a generated token.
    pub(crate) fn record_token(&self) {
        self.remaining_tokens
            .set(self.remaining_tokens.get().saturating_sub(1));
        self.batch
            .remaining_tokens
            .set(self.batch.remaining_tokens.get().saturating_sub(1));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let remaining = u64::from(self.remaining_tokens.get());
        if remaining > 0 {
            self.batch.cancelled.set(self.batch.cancelled.get() + 1);
        }
        self.batch
            .remaining_tokens
            .set(self.batch.remaining_tokens.get().saturating_sub(remaining));
        if self.is_running.get() {
            self.batch.running.set(self.batch.running.get() - 1);
        }
        // Runs for queued requests too: a waiter that was woken, and is dropped before it runs,
        // must wake the next one.
        self.batch.wake_next();
        self.batch.record_state();
    }
}
