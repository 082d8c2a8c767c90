//! One service's queue: where requests wait for an upstream.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use slog::{Logger, info};
use tokio::sync::oneshot;
use verbenaspool_policy::dispatch::{
    AttemptOutcome, Dispatcher, PlacementRequest, Rejection, ServiceDiagnostics, Verdict,
    customer_rate::CustomerRates,
    retry_budget::{RetryBudget, RetryLimits},
    retry_detection::RetryDetector,
    slow::StallScope,
    wait_queue::Ticket,
};
use verbenaspool_transport::clock::Clock;

/// One service at this entry.
#[derive(Debug)]
pub struct ServiceQueue {
    /// The service's name.
    pub service: Rc<str>,
    clock: Rc<dyn Clock>,
    log: Logger,
    dispatcher: RefCell<Dispatcher>,
    budget: RefCell<RetryBudget>,
    times: RefCell<RetryDetector>,
    customers: RefCell<CustomerRates>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    next: Cell<Ticket>,
}

/// A request's permit at an upstream; gone with the value.
#[derive(Debug)]
pub struct Permit {
    queue: Rc<ServiceQueue>,
    /// The upstream.
    pub upstream: Rc<str>,
    since: Duration,
    ending: Cell<AttemptOutcome>,
    /// Whether its agent is being asked for a slot.
    asking: Cell<bool>,
}

impl Permit {
    /// Says how the sending ended; without it, nothing is learnt.
    pub fn release(self, ending: AttemptOutcome) {
        self.ending.set(ending);
    }

    /// Whether the agent beside the upstream is to be asked before a request is sent.
    pub fn asks(&self) -> bool {
        let now = self.queue.clock.now();
        self.queue
            .dispatcher
            .borrow()
            .needs_reservation(now, &self.upstream)
    }

    /// Says that the request is on its way: the agent beside the upstream kept a slot
    /// for it, or wasn't asked.
    pub fn reserved(&self) {
        self.asking.set(false);
        self.queue
            .dispatcher
            .borrow_mut()
            .finish_reservation(&self.upstream);
    }

    /// Says that the agent beside the upstream didn't answer.
    pub fn unanswered(&self) {
        let now = self.queue.clock.now();
        let mut dispatcher = self.queue.dispatcher.borrow_mut();
        dispatcher.record_agent_timeout(now, &self.upstream);
    }

    /// Says that the upstream has begun to answer.
    pub fn on_response_started(&self) {
        let taken = |dispatcher: &mut Dispatcher, _| dispatcher.record_accepted(&self.upstream);
        if self.queue.with(taken) {
            info!(self.queue.log, "Entry: A group takes requests again.";
                "service" => &*self.queue.service, "upstream" => &*self.upstream);
        }
    }

    /// An event of a stream came, behind a pause where another one came before.
    pub fn event(&self, pause: Option<Duration>) {
        let now = self.queue.clock.now();
        let mut dispatcher = self.queue.dispatcher.borrow_mut();
        dispatcher.record_event(now, &self.upstream);
        if let Some(pause) = pause {
            dispatcher.record_pause(now, &self.upstream, pause);
        }
    }

    /// Whether the upstream is slow beside others, so that its streams should leave it.
    pub fn is_slow(&self) -> bool {
        let now = self.queue.clock.now();
        self.queue.dispatcher.borrow().is_slow(now, &self.upstream)
    }

    /// What it means that a stream here has been silent since some time.
    pub fn silence(&self, since: Duration) -> StallScope {
        let now = self.queue.clock.now();
        let dispatcher = self.queue.dispatcher.borrow();
        dispatcher.classify_stall(now, &self.upstream, since)
    }

    /// The upstreams of the same group.
    pub fn group_members(&self) -> Vec<Rc<str>> {
        self.queue.dispatcher.borrow().group_members(&self.upstream)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.asking.get() {
            self.reserved();
        }
        if self.ending.get() == AttemptOutcome::Good {
            let lasted = self.queue.clock.now().saturating_sub(self.since);
            self.queue
                .dispatcher
                .borrow_mut()
                .record_service_time(lasted);
        }
        self.queue.free(&self.upstream, self.ending.get());
    }
}

/// A request in line; it leaves the line with the value.
struct Waiter<'a> {
    queue: &'a Rc<ServiceQueue>,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.queue.dispatcher.borrow_mut().cancel(self.ticket);
        self.queue.waiting.borrow_mut().remove(&self.ticket);
        // A caller may leave just as its turn has come; its permit must come free.
        self.verdict.close();
        if let Ok(Verdict::Send(upstream)) = self.verdict.try_recv() {
            self.queue
                .dispatcher
                .borrow_mut()
                .finish_reservation(&upstream);
            self.queue.free(&upstream, AttemptOutcome::Unknown);
        }
    }
}

impl ServiceQueue {
    /// A queue without upstreams.
    #[must_use]
    pub fn new(
        service: Rc<str>,
        clock: Rc<dyn Clock>,
        log: Logger,
        zone: Rc<str>,
        seed: u64,
    ) -> Self {
        Self {
            service,
            clock,
            log,
            dispatcher: RefCell::new(Dispatcher::new(zone, seed)),
            budget: RefCell::default(),
            times: RefCell::default(),
            customers: RefCell::default(),
            waiting: RefCell::default(),
            next: Cell::default(),
        }
    }

    /// Changes or asks the dispatcher, then serves those who wait.
    pub fn with<R>(&self, change: impl FnOnce(&mut Dispatcher, Duration) -> R) -> R {
        let now = self.clock.now();
        let result = change(&mut self.dispatcher.borrow_mut(), now);
        self.pump();
        result
    }

    /// Serves those who wait, as far as there is room, and refuses the others
    /// whose time is over.
    pub fn pump(&self) {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        if dispatcher.waiting_count() == 0 {
            return;
        }
        let verdicts = dispatcher.process_queue(now);
        let mut waiting = self.waiting.borrow_mut();
        for (ticket, verdict) in verdicts {
            let told = match waiting.remove(&ticket) {
                Some(sender) => sender.send(verdict),
                None => Err(verdict),
            };
            if let Err(Verdict::Send(upstream)) = told {
                dispatcher.finish_reservation(&upstream);
                dispatcher.finish_attempt(now, &upstream, AttemptOutcome::Unknown);
            }
        }
    }

    /// Waits for a permit at an upstream.
    ///
    /// # Errors
    /// There is no room, nor will there be in time.
    pub async fn admit(self: &Rc<Self>, ask: PlacementRequest) -> Result<Permit, Rejection> {
        let ticket = self.next.get() + 1;
        self.next.set(ticket);
        let (sender, verdict) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let mut waiter = Waiter {
            queue: self,
            ticket,
            verdict,
        };
        self.with(|dispatcher, now| dispatcher.submit(now, ticket, ask));
        match (&mut waiter.verdict).await {
            Ok(Verdict::Send(upstream)) => Ok(Permit {
                queue: self.clone(),
                upstream,
                since: self.clock.now(),
                ending: Cell::new(AttemptOutcome::Unknown),
                asking: Cell::new(true),
            }),
            Ok(Verdict::Reject(refusal)) => {
                let now = self.clock.now();
                self.times
                    .borrow_mut()
                    .record_rejection(now, refusal.retry_after);
                Err(refusal)
            }
            Err(_) => unreachable!("a ticket is answered before its sender goes"),
        }
    }

    /// Gives a permit at an upstream back.
    fn free(&self, upstream: &str, ending: AttemptOutcome) {
        if self.with(|dispatcher, now| dispatcher.finish_attempt(now, upstream, ending)) {
            info!(self.log, "Entry: A group takes no requests; one now and then will look.";
                "service" => &*self.service, "upstream" => upstream,
                "because" => format!("{ending:?}"));
        }
    }

    /// Counts a request.
    pub fn request(&self, bound: &RetryLimits) {
        let now = self.clock.now();
        self.budget.borrow_mut().record_request(now, bound);
    }

    /// How much of its time a caller had spent before it sent a request that says that
    /// it waits so long.
    pub fn spent(&self, wait: Duration) -> Duration {
        let now = self.clock.now();
        self.times.borrow_mut().observe(now, wait)
    }

    /// The times that many callers of the service give at first, in milliseconds.
    pub fn common_times(&self) -> Vec<u32> {
        let times = self.times.borrow();
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        times.common_waits().map(ms).collect()
    }

    /// Takes in the times that many callers give at first, as another entry reports.
    pub fn hint_times(&self, times_ms: &[u32]) {
        let times = times_ms
            .iter()
            .map(|ms| Duration::from_millis((*ms).into()));
        self.times.borrow_mut().set_hints(times);
    }

    /// Takes in a request of a customer; tells whether it is beyond what the customer
    /// usually sends.
    pub fn beyond(&self, customer: &Rc<str>) -> bool {
        let now = self.clock.now();
        self.customers.borrow_mut().observe(now, customer)
    }

    /// Whether a request may be sent once more, as things are now.
    pub fn allows(&self, bound: &RetryLimits, entries: usize) -> bool {
        let now = self.clock.now();
        self.budget.borrow_mut().allows_retry(now, bound, entries)
    }

    /// Whether a request may be sent once more; counts it if so.
    pub fn repeat(&self, bound: &RetryLimits, entries: usize) -> bool {
        let now = self.clock.now();
        self.budget.borrow_mut().try_retry(now, bound, entries)
    }

    /// An upstream crashed.
    pub fn crashed(&self, upstream: &str) {
        self.with(|dispatcher, now| dispatcher.record_crash(now, upstream));
    }

    /// Whether the service goes on if one more upstream crashes.
    pub fn can_lose_one(&self) -> bool {
        let now = self.clock.now();
        self.dispatcher.borrow().can_lose_one(now)
    }

    /// What is known of the service now.
    pub fn known(&self) -> ServiceDiagnostics {
        let now = self.clock.now();
        self.dispatcher.borrow().diagnostics(now)
    }

    /// How long a pass of an upstream's group takes now, where that is known.
    pub fn pass(&self, upstream: &str) -> Option<Duration> {
        let now = self.clock.now();
        self.dispatcher.borrow().pass_time(now, upstream)
    }

    /// When the caller of a request should come back that was turned away, if it waits
    /// so much longer.
    pub fn come_back(&self, left: Duration) -> Duration {
        let now = self.clock.now();
        let after = self
            .dispatcher
            .borrow_mut()
            .rejection(now, left)
            .retry_after;
        self.times.borrow_mut().record_rejection(now, after);
        after
    }
}
