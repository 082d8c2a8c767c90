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
    retry_budget: RefCell<RetryBudget>,
    retry_detector: RefCell<RetryDetector>,
    customer_rates: RefCell<CustomerRates>,
    verdict_senders: RefCell<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    last_ticket: Cell<Ticket>,
}

/// A request's permit at an upstream; gone with the value.
#[derive(Debug)]
pub struct Permit {
    queue: Rc<ServiceQueue>,
    /// The upstream.
    pub upstream: Rc<str>,
    granted_at: Duration,
    outcome: Cell<AttemptOutcome>,
    /// Whether its agent is being asked for a slot.
    reservation_pending: Cell<bool>,
}

impl Permit {
    /// Says how the sending ended; without it, nothing is learnt.
    pub fn release(self, outcome: AttemptOutcome) {
        self.outcome.set(outcome);
    }

    /// Whether the agent beside the upstream is to be asked before a request is sent.
    pub fn needs_reservation(&self) -> bool {
        let now = self.queue.clock.now();
        self.queue
            .dispatcher
            .borrow()
            .needs_reservation(now, &self.upstream)
    }

    /// Says that the request is on its way: the agent beside the upstream kept a slot
    /// for it, or wasn't asked.
    pub fn finish_reservation(&self) {
        self.reservation_pending.set(false);
        self.queue
            .dispatcher
            .borrow_mut()
            .finish_reservation(&self.upstream);
    }

    /// Says that the agent beside the upstream didn't answer.
    pub fn record_agent_timeout(&self) {
        let now = self.queue.clock.now();
        let mut dispatcher = self.queue.dispatcher.borrow_mut();
        dispatcher.record_agent_timeout(now, &self.upstream);
    }

    /// Says that the upstream has begun to answer.
    pub fn on_response_started(&self) {
        let record_accepted =
            |dispatcher: &mut Dispatcher, _| dispatcher.record_accepted(&self.upstream);
        if self.queue.with(record_accepted) {
            info!(self.queue.log, "Entry: A group takes requests again.";
                "service" => &*self.queue.service, "upstream" => &*self.upstream);
        }
    }

    /// An event of a stream came, behind a pause where another one came before.
    pub fn record_event(&self, pause: Option<Duration>) {
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
    pub fn classify_stall(&self, since: Duration) -> StallScope {
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
        if self.reservation_pending.get() {
            self.finish_reservation();
        }
        if self.outcome.get() == AttemptOutcome::Good {
            let service_time = self.queue.clock.now().saturating_sub(self.granted_at);
            self.queue
                .dispatcher
                .borrow_mut()
                .record_service_time(service_time);
        }
        self.queue
            .finish_attempt(&self.upstream, self.outcome.get());
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
        self.queue.verdict_senders.borrow_mut().remove(&self.ticket);
        // A caller may leave just as its turn has come; its permit must come free.
        self.verdict.close();
        if let Ok(Verdict::Send(upstream)) = self.verdict.try_recv() {
            self.queue
                .dispatcher
                .borrow_mut()
                .finish_reservation(&upstream);
            self.queue
                .finish_attempt(&upstream, AttemptOutcome::Unknown);
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
            retry_budget: RefCell::default(),
            retry_detector: RefCell::default(),
            customer_rates: RefCell::default(),
            verdict_senders: RefCell::default(),
            last_ticket: Cell::default(),
        }
    }

    /// Changes or asks the dispatcher, then serves those who wait.
    pub fn with<R>(&self, change: impl FnOnce(&mut Dispatcher, Duration) -> R) -> R {
        let now = self.clock.now();
        let result = change(&mut self.dispatcher.borrow_mut(), now);
        self.process_queue();
        result
    }

    /// Serves those who wait, as far as there is room, and refuses the others
    /// whose time is over.
    pub fn process_queue(&self) {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        if dispatcher.waiting_count() == 0 {
            return;
        }
        let verdicts = dispatcher.process_queue(now);
        let mut verdict_senders = self.verdict_senders.borrow_mut();
        for (ticket, verdict) in verdicts {
            let delivered = match verdict_senders.remove(&ticket) {
                Some(sender) => sender.send(verdict),
                None => Err(verdict),
            };
            if let Err(Verdict::Send(upstream)) = delivered {
                dispatcher.finish_reservation(&upstream);
                dispatcher.finish_attempt(now, &upstream, AttemptOutcome::Unknown);
            }
        }
    }

    /// Waits for a permit at an upstream.
    ///
    /// # Errors
    /// There is no room, nor will there be in time.
    pub async fn admit(self: &Rc<Self>, request: PlacementRequest) -> Result<Permit, Rejection> {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        let (sender, verdict) = oneshot::channel();
        self.verdict_senders.borrow_mut().insert(ticket, sender);
        let mut waiter = Waiter {
            queue: self,
            ticket,
            verdict,
        };
        self.with(|dispatcher, now| dispatcher.submit(now, ticket, request));
        match (&mut waiter.verdict).await {
            Ok(Verdict::Send(upstream)) => Ok(Permit {
                queue: self.clone(),
                upstream,
                granted_at: self.clock.now(),
                outcome: Cell::new(AttemptOutcome::Unknown),
                reservation_pending: Cell::new(true),
            }),
            Ok(Verdict::Reject(rejection)) => {
                let now = self.clock.now();
                self.retry_detector
                    .borrow_mut()
                    .record_rejection(now, rejection.retry_after);
                Err(rejection)
            }
            Err(_) => unreachable!("a ticket is answered before its sender goes"),
        }
    }

    /// Gives a permit at an upstream back.
    fn finish_attempt(&self, upstream: &str, outcome: AttemptOutcome) {
        if self.with(|dispatcher, now| dispatcher.finish_attempt(now, upstream, outcome)) {
            info!(self.log, "Entry: A group takes no requests; one now and then will look.";
                "service" => &*self.service, "upstream" => upstream,
                "because" => format!("{outcome:?}"));
        }
    }

    /// Counts a request.
    pub fn record_request(&self, limits: &RetryLimits) {
        let now = self.clock.now();
        self.retry_budget.borrow_mut().record_request(now, limits);
    }

    /// How much of its time a caller had spent before it sent a request that says that
    /// it waits so long.
    pub fn prior_wait(&self, wait: Duration) -> Duration {
        let now = self.clock.now();
        self.retry_detector.borrow_mut().observe(now, wait)
    }

    /// The times that many callers of the service give at first, in milliseconds.
    pub fn common_waits(&self) -> Vec<u32> {
        let retry_detector = self.retry_detector.borrow();
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        retry_detector.common_waits().map(ms).collect()
    }

    /// Takes in the times that many callers give at first, as another entry reports.
    pub fn set_wait_hints(&self, waits_ms: &[u32]) {
        let waits = waits_ms
            .iter()
            .map(|ms| Duration::from_millis((*ms).into()));
        self.retry_detector.borrow_mut().set_hints(waits);
    }

    /// Takes in a request of a customer; tells whether it is beyond what the customer
    /// usually sends.
    pub fn observe_customer(&self, customer: &Rc<str>) -> bool {
        let now = self.clock.now();
        self.customer_rates.borrow_mut().observe(now, customer)
    }

    /// Whether a request may be sent once more, as things are now.
    pub fn allows_retry(&self, limits: &RetryLimits, entries: usize) -> bool {
        let now = self.clock.now();
        self.retry_budget
            .borrow_mut()
            .allows_retry(now, limits, entries)
    }

    /// Whether a request may be sent once more; counts it if so.
    pub fn try_retry(&self, limits: &RetryLimits, entries: usize) -> bool {
        let now = self.clock.now();
        self.retry_budget
            .borrow_mut()
            .try_retry(now, limits, entries)
    }

    /// An upstream crashed.
    pub fn record_crash(&self, upstream: &str) {
        self.with(|dispatcher, now| dispatcher.record_crash(now, upstream));
    }

    /// Whether the service goes on if one more upstream crashes.
    pub fn can_lose_one(&self) -> bool {
        let now = self.clock.now();
        self.dispatcher.borrow().can_lose_one(now)
    }

    /// What is known of the service now.
    pub fn diagnostics(&self) -> ServiceDiagnostics {
        let now = self.clock.now();
        self.dispatcher.borrow().diagnostics(now)
    }

    /// How long a pass of an upstream's group takes now, where that is known.
    pub fn pass_time(&self, upstream: &str) -> Option<Duration> {
        let now = self.clock.now();
        self.dispatcher.borrow().pass_time(now, upstream)
    }

    /// When the caller of a request should come back that was turned away, if it waits
    /// so much longer.
    pub fn retry_after(&self, caller_time_left: Duration) -> Duration {
        let now = self.clock.now();
        let retry_after = self
            .dispatcher
            .borrow_mut()
            .rejection(now, caller_time_left)
            .retry_after;
        self.retry_detector
            .borrow_mut()
            .record_rejection(now, retry_after);
        retry_after
    }
}
