//! Sends a request to one upstream and classifies the outcome.

use std::{cell::Cell, future::Future, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use verbenaspool_platform::header;
use verbenaspool_policy::{
    dispatch::{AttemptOutcome, PlacementRequest, Rejection, Resumption, retry_budget},
    quarantine::Subject,
};
use verbenaspool_state::{
    replica::{Replica, State},
    route::{Kind, Route},
};
use verbenaspool_transport::http::{body::Body, client::Error, retry_after};

use super::{
    gateway::Gateway,
    queue::{Permit, ServiceQueue},
    record::Record,
    relay,
};

/// Time to the first event, as a multiple of the target, after which a repeatable request is
/// sent to another upstream.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 2.0;

/// Number of passes that an upstream may take until the first event, if passes are long. It
/// processes the prompt in one or two, and another upstream of the same group would need as
/// many again.
const FIRST_EVENT_PASSES: u32 = 4;

/// Limit of the time to the first event if passes are long, as a multiple of the target.
/// Callers leave after 4 times the target, or 2 s.
const MAX_FIRST_EVENT_TIMEOUT_FACTOR: f64 = 3.6;

/// A request with less time left isn't sent to another upstream.
const MIN_SEND_TIME: Duration = Duration::from_millis(30);

/// Number of failed connections to upstreams after which a request fails.
const MAX_CONNECT_FAILURES: u32 = 4;

/// Reason of an unknown outcome: the connection broke before the response.
const BROKEN_REASON: &str = "broken";

/// A validated request of a caller, with the state of its attempts.
pub struct PendingRequest {
    pub gateway: Rc<Gateway>,
    pub record: Rc<Record>,
    pub route: Rc<Route>,
    pub queue: Rc<ServiceQueue>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What it is known by when upstreams crash under it.
    pub subject: Subject,
    /// The request's id, wait and API key, from the caller's headers.
    pub caller_headers: header::Request,
    pub priority: u8,
    /// Whether it exceeds its customer's usual rate.
    pub over_usual_rate: bool,
    /// The customer that it counts for.
    pub customer: Option<Rc<str>>,
    /// Its work relative to other requests of the service.
    pub work: f64,
    /// When its response must start to be on time.
    pub target: Duration,
    /// When the caller gets a response at the latest.
    pub deadline: Duration,
    /// When it was received.
    pub received_at: Duration,
    /// When the current upstream started to respond.
    pub response_started_at: Cell<Option<Duration>>,
    /// When it was sent to the current upstream.
    pub sent_at: Cell<Duration>,
    /// When the current upstream must have sent the first event of a stream.
    pub first_event_by: Cell<Duration>,
    /// Number of events received from the current upstream.
    pub attempt_events: Cell<u64>,
    /// Whether the current upstream has survived the attempt for long enough.
    pub attempt_sound: Cell<bool>,
    /// Number of attempts that may have reached an upstream.
    pub attempts: Cell<u32>,
    /// Number of failed connections to upstreams.
    pub connect_failures: Cell<u32>,
    /// Whether it may have run in an attempt whose outcome is unknown.
    pub may_have_run: Cell<bool>,
    /// Whether a response to it exceeded a limit. Its next attempt waits for an upstream for as
    /// long as its caller can still be served: rejecting it early would be a failure.
    pub is_interrupted: Cell<bool>,
    /// Upstreams that must not be tried again.
    pub tried: std::cell::RefCell<Vec<Rc<str>>>,
    /// The upstream of the current attempt, which may be missing from the registry by now.
    pub replica: std::cell::RefCell<Option<Rc<Replica>>>,
}

/// The outcome of sending a request to an upstream.
pub enum SendOutcome {
    /// The upstream responded to this request.
    Answered(Response<Body>, Permit),
    /// The request did not run on the upstream and will not.
    NotRun(&'static str),
    /// The request may have run on the upstream, or may still be running.
    Unknown(&'static str),
    /// The request wasn't sent, because upstreams crashed while processing it.
    Blocked,
}

/// The result of waiting for a response.
enum WaitResult {
    /// A response or an error.
    Answered(Result<Response<Body>, Error>),
    /// No response in time.
    Silent,
    /// No response yet from an upstream that has become slow.
    Slow,
}

impl PendingRequest {
    /// The time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.gateway.clock.now())
    }

    /// The latest placement with which the first event arrives before the caller leaves.
    fn place_by(&self) -> Duration {
        self.caller_leaves_at(self.received_at)
            .saturating_sub(self.route.target_latency)
    }

    /// When the caller leaves if it gets no event after `since`.
    pub fn caller_leaves_at(&self, since: Duration) -> Duration {
        let silence = self.route.silence_timeout.map(|silence| since + silence);
        silence.unwrap_or(self.deadline).min(self.deadline)
    }

    /// How much longer the caller waits, which may be longer than the route's timeout allows.
    pub fn caller_time_left(&self) -> Duration {
        let until = self
            .caller_headers
            .wait
            .map_or(self.deadline, |wait| self.received_at + wait);
        until.saturating_sub(self.gateway.clock.now())
    }

    /// The placement request for the service's queue.
    pub fn placement_request(&self) -> PlacementRequest {
        let is_stream = self.route.kind == Kind::Streaming;
        PlacementRequest {
            priority: self.priority,
            queued_at: self.gateway.clock.now(),
            target: self.target,
            deadline: self.deadline,
            place_by: self.place_by(),
            resumption: if self.is_interrupted.get() {
                Resumption::Interrupted
            } else {
                Resumption::None
            },
            over_usual_rate: self.over_usual_rate,
            customer: self.customer.clone(),
            work: self.work,
            max_gap: self.route.target_gap.filter(|_| is_stream),
            excluded: self.tried.borrow().clone(),
        }
    }

    /// Waits for a permit at an upstream.
    ///
    /// # Errors
    /// No upstream will have capacity in time.
    pub async fn admit(&self, placement: PlacementRequest) -> Result<Permit, Rejection> {
        self.gateway.admit(&self.queue, placement).await
    }

    /// Whether a retry is currently allowed. It is counted only when it is sent, as a retry
    /// that finds no upstream causes no load.
    pub fn may_retry(&self) -> bool {
        if self.attempts.get() >= self.route.max_attempts || self.time_left() < MIN_SEND_TIME {
            return false;
        }
        let (limits, entries) = self.retry_limits();
        self.queue.allows_retry(&limits, entries)
    }

    /// The limits of the retry budget, and the number of entries that share it, if known.
    fn retry_limits(&self) -> (retry_budget::Limits, Option<usize>) {
        let now = self.gateway.clock.now();
        let limits = self.gateway.settings.borrow().limits.retry_limits();
        (limits, self.gateway.sharing_entries(now))
    }

    /// Whether another upstream may be tried after a failed connection.
    pub fn may_retry_connect(&self) -> bool {
        self.connect_failures.get() < MAX_CONNECT_FAILURES && self.time_left() >= MIN_SEND_TIME
    }

    /// How long to wait for the upstream's response before the request is sent to another one.
    /// If that isn't possible, the time until the deadline.
    fn response_timeout(&self, upstream: &str) -> Duration {
        let left = self.time_left();
        let is_last = self.attempts.get() >= self.route.max_attempts;
        if is_last || !self.route.is_retryable() {
            return left;
        }
        let timeout = self
            .route
            .target_latency
            .mul_f64(FIRST_EVENT_TIMEOUT_FACTOR);
        let passes = self.queue.pass_time(upstream).unwrap_or_default() * FIRST_EVENT_PASSES;
        let max = self
            .route
            .target_latency
            .mul_f64(MAX_FIRST_EVENT_TIMEOUT_FACTOR);
        timeout.max(passes.min(max)).min(left)
    }

    /// Sends the request to an upstream. A stream is resumed after `last_event`, if given.
    pub async fn send(&self, permit: Permit, last_event: Option<u64>) -> SendOutcome {
        let id = permit.upstream.clone();
        // The block may have been set while the request waited for its permit.
        if self.block_reason().is_some() {
            permit.release(AttemptOutcome::Unknown);
            return SendOutcome::Blocked;
        }
        let (limits, entries) = self.retry_limits();
        if self.attempts.get() > 0 && !self.queue.try_retry(&limits, entries) {
            permit.release(AttemptOutcome::Unknown);
            return SendOutcome::NotRun("no-budget");
        }
        self.tried.borrow_mut().push(id.clone());
        let Some(replica) = self.gateway.replica(&id) else {
            permit.release(AttemptOutcome::Unknown);
            return SendOutcome::NotRun("upstream-gone");
        };
        self.replica.replace(Some(replica.clone()));
        self.record.record_registry();
        if replica.state == State::Draining {
            self.record.count_leaving(self.attempts.get() > 0);
        }
        let Ok(request) = self.upstream_request(&id, last_event) else {
            return SendOutcome::NotRun("bad-request");
        };
        if permit.is_rate_limited() {
            self.record.count_rate_limited(self.attempts.get() > 0);
        }
        if permit.is_backing_off() {
            self.record.count_backoff_ignored(self.attempts.get() > 0);
        }
        self.attempts.set(self.attempts.get() + 1);
        self.response_started_at.take();
        self.attempt_events.take();
        self.attempt_sound.take();
        let may_have_run_before = self.may_have_run.replace(true);
        let client = &self.gateway.client;
        let response = async {
            if self.route.is_retryable() {
                client.send(replica.address, request).await
            } else {
                client
                    .send_on_new_connection(replica.address, request)
                    .await
            }
        };
        let sent_at = self.gateway.clock.now();
        self.sent_at.set(sent_at);
        let result = self.await_response(response, &permit).await;
        let outcome = self.classify_response(result, sent_at, &replica, permit);
        match &outcome {
            SendOutcome::NotRun(reason) => {
                self.may_have_run.set(may_have_run_before);
                self.record.record_attempt(&id, reason);
            }
            SendOutcome::Unknown(reason) => {
                self.record.record_attempt(&id, reason);
                if *reason == BROKEN_REASON {
                    self.detect_crash(&id).await;
                }
            }
            SendOutcome::Blocked => {}
            SendOutcome::Answered(response, _) => {
                self.record.record_attempt(&id, response.status().as_str());
            }
        }
        outcome
    }

    /// Waits for a response, up to the response timeout.
    ///
    /// A request whose prompt a slow rank hasn't processed yet delays the rank's whole group,
    /// like a stream does. It is therefore sent to another upstream too, if possible.
    async fn await_response(
        &self,
        response: impl Future<Output = Result<Response<Body>, Error>>,
        permit: &Permit,
    ) -> WaitResult {
        let mut response = pin!(response);
        let until = self.gateway.clock.now() + self.response_timeout(&permit.upstream);
        self.first_event_by.set(until);
        loop {
            let now = self.gateway.clock.now();
            let left = until.saturating_sub(now).max(self.extra_wait(now));
            if left.is_zero() {
                return WaitResult::Silent;
            }
            if let Ok(result) =
                monoio::time::timeout(left.min(relay::POLL_INTERVAL), &mut response).await
            {
                return WaitResult::Answered(result);
            }
            if self.route.is_retryable() && permit.is_slow() && self.may_retry() {
                return WaitResult::Slow;
            }
        }
    }

    /// How much longer to wait for an upstream that hasn't responded in time, if the request
    /// can't be sent to another one now.
    ///
    /// Without this wait, callers with seconds left got a 502 as soon as the retry budget was
    /// used up, although no failure was known.
    fn extra_wait(&self, now: Duration) -> Duration {
        let left = self.deadline.saturating_sub(now);
        if self.route.is_retryable() && self.may_retry() {
            Duration::ZERO
        } else {
            left.min(relay::POLL_INTERVAL)
        }
    }

    /// The HTTP request for an upstream.
    fn upstream_request(
        &self,
        id: &str,
        last_event: Option<u64>,
    ) -> Result<Request<Body>, http::Error> {
        let mut headers = self.headers.clone();
        header::set_target(&mut headers, id, self.time_left());
        if let Some(event) = last_event {
            header::set_last_event(&mut headers, event);
        }
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.uri.clone())
            .body(Body::full(self.body.clone()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// The outcome of an attempt without a response. A route's timeout may be shorter than its
    /// requests take. A timeout then says nothing about the upstream, and ejecting it would
    /// take its capacity from all other requests.
    pub fn silence_outcome(&self, waited: Duration) -> AttemptOutcome {
        if waited
            >= self
                .route
                .target_latency
                .mul_f64(FIRST_EVENT_TIMEOUT_FACTOR)
        {
            AttemptOutcome::Silent
        } else {
            AttemptOutcome::Unknown
        }
    }

    /// Releases the permit with the outcome for the upstream, and determines the outcome for the
    /// request.
    fn classify_response(
        &self,
        result: WaitResult,
        sent_at: Duration,
        replica: &Replica,
        permit: Permit,
    ) -> SendOutcome {
        let response = match result {
            WaitResult::Silent => {
                let waited = self.gateway.clock.now().saturating_sub(sent_at);
                permit.release(self.silence_outcome(waited));
                return SendOutcome::Unknown("silent");
            }
            WaitResult::Slow => {
                permit.release(AttemptOutcome::Unknown);
                return SendOutcome::Unknown(relay::SLOW_REASON);
            }
            WaitResult::Answered(Err(Error::NotSent(_))) => {
                permit.release(AttemptOutcome::Unreached);
                self.attempts.set(self.attempts.get() - 1);
                self.connect_failures.set(self.connect_failures.get() + 1);
                return SendOutcome::NotRun("unreached");
            }
            WaitResult::Answered(Err(Error::Broken(_))) => {
                permit.release(AttemptOutcome::Bad);
                return SendOutcome::Unknown(BROKEN_REASON);
            }
            WaitResult::Answered(Err(Error::LimitExceeded(limit))) => {
                self.is_interrupted.set(true);
                self.gateway.exceeded_limits.record(&permit.upstream, limit);
                permit.release(AttemptOutcome::Bad);
                return SendOutcome::Unknown(limit.name());
            }
            WaitResult::Answered(Ok(response)) => response,
        };
        let markers = header::parse_answer(response.headers());
        let status = response.status();
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let nameless = misdirected && header::lacks_request_id(response.headers());
        // The notice of an upstream also counts in the response to another request.
        let backoff = retry_after::parse(status, response.headers());
        let wants_none = backoff.is_some_and(|notice| permit.record_backoff(notice));
        // A late or duplicate response to another request may arrive in place of this one's.
        // Its connection is closed.
        if !nameless && !header::has_request_id(response.headers(), self.caller_headers.id.as_ref())
        {
            permit.release(AttemptOutcome::Bad);
            return SendOutcome::Unknown("not-its-answer");
        }
        if misdirected {
            self.gateway.record_replaced(&permit.upstream);
            permit.release(AttemptOutcome::Unreached);
            return SendOutcome::NotRun("misdirected");
        }
        if let Some(load) = markers.load {
            permit.record_told_load(load);
        }
        if let Some(notice) = markers.rate_limit
            && permit.record_rate_limit(notice, sent_at)
        {
            self.gateway.rate_limit_changed.notify_one();
        }
        if header::is_leaving(response.headers()) {
            self.gateway.record_leaving(replica);
        }
        if markers.not_run && !is_about_request(status) {
            let (outcome, reason) = if wants_none {
                (AttemptOutcome::Backoff, "backoff")
            } else {
                (AttemptOutcome::Full, "turned-away")
            };
            permit.release(outcome);
            return SendOutcome::NotRun(reason);
        }
        if status.is_success() && (!markers.signed || markers.encoded) {
            permit.release(AttemptOutcome::Bad);
            return SendOutcome::Unknown("not-the-upstreams-answer");
        }
        self.response_started_at.set(Some(self.gateway.clock.now()));
        if !markers.not_run {
            permit.on_response_started();
        }
        SendOutcome::Answered(response, permit)
    }
}

/// Whether a rejection with this status is about the request, such as one without an id. Another
/// upstream would reject it as well, and it says nothing about this one.
fn is_about_request(status: StatusCode) -> bool {
    let about_upstream = [StatusCode::TOO_MANY_REQUESTS, StatusCode::REQUEST_TIMEOUT];
    status.is_client_error() && !about_upstream.contains(&status)
}
