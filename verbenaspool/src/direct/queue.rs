//! The queue of a service, in which requests wait for an upstream.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use slog::{Logger, info, o, warn};
use tokio::sync::oneshot;
use verbenaspool_policy::dispatch::{
    AttemptOutcome, Diagnostics, Dispatcher, PlacementRequest, Rejection, Verdict, customer_rate,
    retry_budget,
    retry_detection::Detector,
    share::{PeerId, ShareStatus, Usage, Weights, work::RouteMeans},
    slow::StallScope,
    wait_queue::Ticket,
};
use verbenaspool_protocol::{
    digest, rate_limit,
    reservation::{self, WarmUp},
};
use verbenaspool_state::rate_limit::{Notice, RateLimit};
use verbenaspool_transport::{clock::Clock, http::retry_after::RetryAfter};

use super::reserve::Limits;

/// The dispatcher of one service at this entry, and the requests that wait for its verdicts.
#[derive(Debug)]
pub struct ServiceQueue {
    /// The service's name.
    pub service: Rc<str>,
    /// Whether the entry sends to a part of the service's upstreams only.
    pub uses_subset: Cell<bool>,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) log: Logger,
    pub(super) dispatcher: RefCell<Dispatcher>,
    retry_budget: RefCell<retry_budget::Budget>,
    retry_detector: RefCell<Detector>,
    customer_rates: RefCell<customer_rate::Rates>,
    /// When the limit of an upstream without an agent last changed by an answer to this entry.
    rate_limit_changes: RefCell<HashMap<Rc<str>, Duration>>,
    /// The mean work of each route's requests.
    route_means: RefCell<RouteMeans>,
    /// Whether shares applied when that was last logged.
    shares_logged: Cell<bool>,
    /// Sends verdicts to waiting requests.
    verdict_senders: RefCell<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    last_ticket: Cell<Ticket>,
}

/// Permission to send a request to an upstream, released on drop.
#[derive(Debug)]
pub struct Permit {
    pub(super) queue: Rc<ServiceQueue>,
    /// The upstream.
    pub upstream: Rc<str>,
    ticket: Ticket,
    granted_at: Duration,
    outcome: Cell<AttemptOutcome>,
    /// Whether a slot is still to be reserved with the upstream's agent.
    reservation_pending: Cell<bool>,
}

impl Permit {
    /// Releases the permit with the outcome of the attempt. A permit that is dropped without it
    /// counts as [`AttemptOutcome::Unknown`].
    pub fn release(self, outcome: AttemptOutcome) {
        self.outcome.set(outcome);
    }

    /// Sets the outcome that counts if the permit is dropped without another one.
    pub fn set_outcome(&self, outcome: AttemptOutcome) {
        self.outcome.set(outcome);
    }

    /// Whether a slot must be reserved with the upstream's agent before the request is sent.
    pub fn needs_reservation(&self) -> bool {
        let now = self.queue.clock.now();
        self.queue
            .dispatcher
            .borrow()
            .needs_reservation(now, &self.upstream)
    }

    /// The limits of the upstream.
    pub fn limits(&self) -> Limits {
        let now = self.queue.clock.now();
        let dispatcher = self.queue.dispatcher.borrow();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
        let warm_up = |(left, max_rate): (Duration, f64)| WarmUp {
            left_ms: to_ms(left),
            max_rate: max_rate as u32,
        };
        let rate_limit = dispatcher.rate_limit(&self.upstream);
        Limits {
            warm_up: dispatcher.warm_up_left(now, &self.upstream).map(warm_up),
            rate_limit: rate_limit.map(|limit| rate_limit::RateLimit::at(now, limit)),
        }
    }

    /// Records what the upstream's agent says about its limits.
    pub fn record_agent_answer(&self, answer: &reservation::Answer) {
        let now = self.queue.clock.now();
        let wait = answer.wait_ms.map(|ms| Duration::from_millis(ms.into()));
        let mut dispatcher = self.queue.dispatcher.borrow_mut();
        dispatcher.record_agent_wait(now, &self.upstream, wait);
    }

    /// Ends the reservation: the upstream's agent kept a slot for the request, or the request is
    /// sent without one. Dropping the permit ends a pending reservation as well.
    pub fn finish_reservation(&self) {
        self.reservation_pending.set(false);
        self.queue
            .dispatcher
            .borrow_mut()
            .finish_reservation(&self.upstream);
    }

    /// Records that the upstream's agent didn't answer a reservation.
    pub fn record_agent_timeout(&self) {
        let now = self.queue.clock.now();
        let mut dispatcher = self.queue.dispatcher.borrow_mut();
        dispatcher.record_agent_timeout(now, &self.upstream);
    }

    /// Records that the upstream accepted the request, which may close its group's circuit
    /// breaker.
    pub fn on_response_started(&self) {
        let record_accepted =
            |dispatcher: &mut Dispatcher, _| dispatcher.record_accepted(&self.upstream);
        if self.queue.with(record_accepted) {
            info!(self.queue.log, "circuit breaker closed";
                "service" => &*self.queue.service, "upstream" => &*self.upstream);
        }
    }

    /// Records what an answer to a request sent at `sent_at` says about the upstream's limit.
    /// Returns whether other entries should learn of it.
    pub fn record_rate_limit(&self, notice: Notice, sent_at: Duration) -> bool {
        let received_at = self.queue.clock.now();
        let Some(limit) = RateLimit::by_answer(notice, sent_at, received_at) else {
            warn!(self.queue.log, "unreadable request limit of an upstream";
                "service" => &*self.queue.service, "upstream" => &*self.upstream);
            return false;
        };
        let changed = self
            .queue
            .record_rate_limit(&self.upstream, limit, "answer");
        // The agent of a rank counts for all entries.
        let reports = changed && !self.queue.dispatcher.borrow().has_agents();
        if reports {
            let mut recent = self.queue.rate_limit_changes.borrow_mut();
            recent.insert(self.upstream.clone(), received_at);
        }
        reports
    }

    /// Records for how long the upstream wants no requests of this entry. Returns whether it
    /// wants none now.
    pub fn record_backoff(&self, notice: RetryAfter) -> bool {
        let log = self.queue.log.new(o!(
            "service" => self.queue.service.to_string(), "upstream" => self.upstream.to_string(),
        ));
        let RetryAfter::Wait(time) = notice else {
            warn!(log, "unreadable backoff requested by an upstream");
            return false;
        };
        info!(log, "upstream requested backoff"; "backoff_ms" => to_ms(time));
        self.queue
            .with(|dispatcher, now| dispatcher.record_backoff(now, &self.upstream, time));
        !time.is_zero()
    }

    /// Whether the upstream wants no requests of this entry for now.
    pub fn is_backing_off(&self) -> bool {
        let now = self.queue.clock.now();
        let dispatcher = self.queue.dispatcher.borrow();
        !dispatcher.backoff_left(now, &self.upstream).is_zero()
    }

    /// Whether the upstream names a limit on its requests.
    pub fn is_rate_limited(&self) -> bool {
        let limit = self.queue.dispatcher.borrow().rate_limit(&self.upstream);
        limit.is_some_and(|limit| limit.per_second.is_some())
    }

    /// Records an event of a stream, and the pause since the previous event if there was one.
    pub fn record_event(&self, pause: Option<Duration>) {
        let now = self.queue.clock.now();
        let mut dispatcher = self.queue.dispatcher.borrow_mut();
        dispatcher.record_event(now, &self.upstream);
        if let Some(pause) = pause {
            dispatcher.record_pause(now, &self.upstream, pause);
        }
    }

    /// Whether the upstream is so much slower than others that its streams should move.
    pub fn is_slow(&self) -> bool {
        let now = self.queue.clock.now();
        self.queue.dispatcher.borrow().is_slow(now, &self.upstream)
    }

    /// Tells whether a stream without an event since `since` is stalled alone or with its group.
    pub fn classify_stall(&self, since: Duration) -> StallScope {
        let now = self.queue.clock.now();
        let dispatcher = self.queue.dispatcher.borrow();
        dispatcher.classify_stall(now, &self.upstream, since)
    }

    /// All upstreams of the same group, including this one.
    pub fn group_members(&self) -> Vec<Rc<str>> {
        self.queue.dispatcher.borrow().group_members(&self.upstream)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.reservation_pending.get() {
            self.finish_reservation();
        }
        let service_time = self.queue.clock.now().saturating_sub(self.granted_at);
        self.queue
            .record_upstream_time(&self.upstream, service_time, self.outcome.get());
        if self.outcome.get() == AttemptOutcome::Good {
            self.queue
                .dispatcher
                .borrow_mut()
                .record_service_time(service_time);
        }
        self.queue.dispatcher.borrow_mut().finish_work(self.ticket);
        self.queue
            .finish_attempt(&self.upstream, self.outcome.get());
    }
}

/// A queued request; dropping it removes it from the queue.
struct Waiter<'a> {
    queue: &'a Rc<ServiceQueue>,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.queue.dispatcher.borrow_mut().cancel(self.ticket);
        self.queue.verdict_senders.borrow_mut().remove(&self.ticket);
        // The caller may leave just after the request was placed; then its place is released.
        self.verdict.close();
        if let Ok(Verdict::Send(upstream)) = self.verdict.try_recv() {
            let mut dispatcher = self.queue.dispatcher.borrow_mut();
            dispatcher.finish_reservation(&upstream);
            dispatcher.finish_work(self.ticket);
            drop(dispatcher);
            self.queue
                .finish_attempt(&upstream, AttemptOutcome::Unknown);
        }
    }
}

impl ServiceQueue {
    /// Creates a queue without upstreams.
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
            uses_subset: Cell::default(),
            clock,
            log,
            dispatcher: RefCell::new(Dispatcher::new(zone, seed)),
            retry_budget: RefCell::default(),
            retry_detector: RefCell::default(),
            customer_rates: RefCell::default(),
            rate_limit_changes: RefCell::default(),
            route_means: RefCell::default(),
            shares_logged: Cell::default(),
            verdict_senders: RefCell::default(),
            last_ticket: Cell::default(),
        }
    }

    /// Calls `change` with the dispatcher and the current time, then processes the queue.
    pub fn with<R>(&self, change: impl FnOnce(&mut Dispatcher, Duration) -> R) -> R {
        let now = self.clock.now();
        let result = change(&mut self.dispatcher.borrow_mut(), now);
        self.process_queue();
        self.log_balancing();
        result
    }

    /// Places waiting requests as far as there is capacity, and rejects those whose wait has
    /// ended.
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
                dispatcher.finish_work(ticket);
                dispatcher.finish_attempt(now, &upstream, AttemptOutcome::Unknown);
            }
        }
    }

    /// Waits for a permit at an upstream.
    ///
    /// # Errors
    /// No upstream will have capacity in time.
    pub async fn admit(self: &Rc<Self>, request: PlacementRequest) -> Result<Permit, Rejection> {
        let deadline = request.deadline;
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
                ticket,
                granted_at: self.clock.now(),
                outcome: Cell::new(AttemptOutcome::Unknown),
                reservation_pending: Cell::new(true),
            }),
            Ok(Verdict::Reject(rejection)) => {
                let now = self.clock.now();
                // A caller that is told to return later than its deadline doesn't.
                let returns_after = rejection.retry_after.min(deadline.saturating_sub(now));
                self.retry_detector
                    .borrow_mut()
                    .record_rejection(now, returns_after);
                Err(rejection)
            }
            Err(_) => unreachable!("a ticket is answered before its sender goes"),
        }
    }

    /// Records the end of an attempt, which may open the circuit breaker of the upstream's group.
    fn finish_attempt(&self, upstream: &str, outcome: AttemptOutcome) {
        if self.with(|dispatcher, now| dispatcher.finish_attempt(now, upstream, outcome)) {
            info!(self.log, "circuit breaker opened; sending occasional probes";
                "service" => &*self.service, "upstream" => upstream,
                "because" => format!("{outcome:?}"));
        }
    }

    /// Counts a request for the retry budget.
    pub fn record_request(&self, limits: &retry_budget::Limits) {
        let now = self.clock.now();
        self.retry_budget.borrow_mut().record_request(now, limits);
    }

    /// How long a caller has probably waited before this request, judged by the remaining wait
    /// that the request announces.
    pub fn prior_wait(&self, wait: Duration) -> Duration {
        let now = self.clock.now();
        self.retry_detector.borrow_mut().observe(now, wait)
    }

    /// The common initial waits of the service's callers, in milliseconds.
    pub fn common_waits(&self) -> Vec<u32> {
        let retry_detector = self.retry_detector.borrow();
        retry_detector.common_waits().map(to_ms).collect()
    }

    /// Sets the common initial waits as reported by another entry.
    pub fn set_wait_hints(&self, waits_ms: &[u32]) {
        let waits = waits_ms
            .iter()
            .map(|ms| Duration::from_millis((*ms).into()));
        self.retry_detector.borrow_mut().set_hints(waits);
    }

    /// Records a request of a customer. Returns whether it exceeds the customer's usual rate.
    pub fn observe_customer(&self, customer: &Rc<str>) -> bool {
        let now = self.clock.now();
        self.customer_rates.borrow_mut().observe(now, customer)
    }

    /// Sets the weights of customers, or `None` if capacity isn't divided among them.
    pub fn set_shares(&self, weights: Option<&Weights>) {
        self.dispatcher.borrow_mut().set_shares(weights);
    }

    /// Records a request that arrived. Returns its work.
    pub fn record_arrival(
        &self,
        customer: Option<&Rc<str>>,
        route: &Rc<str>,
        tokens: Option<[u32; 2]>,
    ) -> f64 {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let mut means = self.route_means.borrow_mut();
        let work = means.work(dispatcher.engine(), route, tokens);
        dispatcher.record_arrival(now, customer, work);
        work
    }

    /// Ends the usage of peers that aren't live, and returns this entry's usage if it is to be
    /// reported.
    pub fn exchange_usage(&self, is_live: impl Fn(PeerId) -> bool) -> Option<Usage> {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.retain_usage(is_live);
        dispatcher.usage(now)
    }

    /// Records the usage that a peer reports. Returns whether the report was accepted.
    pub fn record_usage(&self, peer: PeerId, order: (u64, u64), usage: Usage) -> bool {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.record_usage(now, peer, order, usage)
    }

    /// The status of shares if they have begun or ended to apply since the last call.
    pub fn share_change(&self) -> Option<ShareStatus> {
        let status = self.share_status().unwrap_or_default();
        let before = self.shares_logged.replace(status.active);
        (before != status.active).then_some(status)
    }

    /// A summary of the shares; `None` if they aren't enabled.
    pub fn share_status(&self) -> Option<ShareStatus> {
        let now = self.clock.now();
        self.dispatcher.borrow().share_status(now)
    }

    /// Whether a customer is at or over its share; `None` if shares don't apply.
    pub fn is_over_share(&self, customer: Option<&str>) -> Option<bool> {
        let now = self.clock.now();
        self.dispatcher.borrow().is_over_share(now, customer)
    }

    /// Whether the retry budget currently allows a retry. Doesn't count one.
    pub fn allows_retry(&self, limits: &retry_budget::Limits, entries: Option<usize>) -> bool {
        let now = self.clock.now();
        self.retry_budget
            .borrow_mut()
            .allows_retry(now, limits, entries)
    }

    /// Counts a retry against the retry budget. Returns whether the budget allows it.
    pub fn try_retry(&self, limits: &retry_budget::Limits, entries: Option<usize>) -> bool {
        let now = self.clock.now();
        self.retry_budget
            .borrow_mut()
            .try_retry(now, limits, entries)
    }

    /// Whether the entry sends requests to this upstream.
    pub fn has_upstream(&self, id: &str) -> bool {
        self.dispatcher.borrow().has_upstream(id)
    }

    /// All upstreams in the group of an upstream, as far as known to this entry.
    pub fn group_members(&self, id: &str) -> Vec<Rc<str>> {
        self.dispatcher.borrow().known_group_members(id)
    }

    /// The id of the upstream with this hash.
    pub fn upstream_by_hash(&self, hash: u32) -> Option<Rc<str>> {
        let dispatcher = self.dispatcher.borrow();
        let mut ids = dispatcher.upstream_ids();
        ids.find(|id| digest::hash(id) == hash).cloned()
    }

    /// Records the limit of an upstream. Returns whether it changed.
    pub fn record_rate_limit(&self, upstream: &str, limit: RateLimit, from: &str) -> bool {
        let changed =
            self.with(|dispatcher, now| dispatcher.record_rate_limit(now, upstream, limit));
        if changed {
            info!(self.log, "request limit of an upstream changed";
                "service" => &*self.service, "upstream" => upstream,
                "per_second" => limit.per_second, "from" => from);
        }
        changed
    }

    /// The limits of upstreams without agents that changed by answers to this entry since then.
    pub fn rate_limits_changed_since(&self, since: Duration) -> Vec<(Rc<str>, RateLimit)> {
        let mut changes = self.rate_limit_changes.borrow_mut();
        changes.retain(|_, at| *at >= since);
        let dispatcher = self.dispatcher.borrow();
        let limit = |id: &Rc<str>| Some((id.clone(), dispatcher.rate_limit(id)?));
        changes.keys().filter_map(limit).collect()
    }

    /// Records a crash of an upstream.
    pub fn record_crash(&self, upstream: &str) {
        self.with(|dispatcher, now| dispatcher.record_crash(now, upstream));
    }

    /// Whether the service stays available if one more upstream crashes.
    pub fn can_lose_one(&self) -> bool {
        let now = self.clock.now();
        self.dispatcher.borrow().can_lose_one(now)
    }

    /// The current state of the service, for the log.
    pub fn diagnostics(&self) -> Diagnostics {
        let now = self.clock.now();
        self.dispatcher.borrow().diagnostics(now)
    }

    /// The current pass time of an upstream's group, if known.
    pub fn pass_time(&self, upstream: &str) -> Option<Duration> {
        let now = self.clock.now();
        self.dispatcher.borrow().pass_time(now, upstream)
    }

    /// The Retry-After of a rejected request whose caller waits for `caller_time_left` more.
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

/// The milliseconds of a duration, for messages.
fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
