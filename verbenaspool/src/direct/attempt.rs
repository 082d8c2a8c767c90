//! One sending of a request to one upstream, and what is known behind it.

use std::{cell::Cell, future::Future, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use verbenaspool_platform::header;
use verbenaspool_policy::dispatch::{
    AttemptOutcome, PlacementRequest, Rejection, Resumption, retry_budget::RetryLimits,
};
use verbenaspool_state::{
    fingerprint::Fingerprint,
    route::{Kind, Route},
};
use verbenaspool_transport::http::{body::Body, client::Error};

use super::{
    gateway::Gateway,
    queue::{Permit, ServiceQueue},
    record::Record,
    relay,
};

/// Time to the first event, as a multiple of the target, after which a request that may
/// be repeated is sent to another upstream.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 2.0;

/// Passes that an upstream may take before it begins to answer, where they are long: it
/// reads the prompt in one or two, and a second upstream of the same group would take
/// as many again.
const FIRST_EVENT_PASSES: u32 = 4;

/// The longest silence before an answer begins, in times of its target: callers leave
/// after four times, or two seconds.
const MAX_FIRST_EVENT_TIMEOUT_FACTOR: f64 = 3.6;

/// The least time that is worth sending a request with.
const MIN_SEND_TIME: Duration = Duration::from_millis(30);

/// Upstreams that can't be connected to before a request is given up.
const MAX_CONNECT_FAILURES: u32 = 4;

/// Why nothing is known of a sending: its connection broke before the answer.
const BROKEN_REASON: &str = "broken";

/// A caller's request, ready to be sent.
pub struct PendingRequest {
    pub gateway: Rc<Gateway>,
    pub record: Rc<Record>,
    pub route: Rc<Route>,
    pub queue: Rc<ServiceQueue>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub fingerprint: Fingerprint,
    /// What the request says of itself.
    pub caller_headers: header::Request,
    pub priority: u8,
    /// Whether it is beyond what its customer usually sends.
    pub over_usual_rate: bool,
    /// When its answer must begin to be in time.
    pub target: Duration,
    /// When it gets its final answer, whatever that is.
    pub deadline: Duration,
    /// When it came.
    pub received_at: Duration,
    /// When the present upstream began to answer.
    pub response_started_at: Cell<Option<Duration>>,
    /// Sendings that may have reached an upstream.
    pub attempts: Cell<u32>,
    /// Upstreams that couldn't be connected to.
    pub connect_failures: Cell<u32>,
    /// Whether a sending may have run of which nothing is known.
    pub may_have_run: Cell<bool>,
    /// Upstreams that are not to be sent to again.
    pub tried: std::cell::RefCell<Vec<Rc<str>>>,
}

/// What is known behind a sending.
pub enum SendOutcome {
    /// The upstream answered, and the answer belongs to the request.
    Answered(Response<Body>, Permit),
    /// The request didn't run there and won't.
    NotRun(&'static str),
    /// The request may have run there, or may still.
    Unknown(&'static str),
    /// It wasn't sent, as upstreams crashed under it.
    Blocked,
}

/// What came of waiting for an answer.
enum WaitResult {
    /// An answer, or an error instead.
    Answered(Result<Response<Body>, Error>),
    /// Nothing in time.
    Silent,
    /// Nothing yet, from an upstream that turned slow.
    Slow,
}

impl PendingRequest {
    /// The time that is left.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.gateway.clock.now())
    }

    /// Until when the request must be placed, for its first event to come before its
    /// caller leaves.
    fn place_by(&self) -> Duration {
        self.caller_leaves_at(self.received_at)
            .saturating_sub(self.route.target)
    }

    /// When the caller leaves that has had no event since some time.
    pub fn caller_leaves_at(&self, since: Duration) -> Duration {
        let silence = self.route.silence.map(|silence| since + silence);
        silence.unwrap_or(self.deadline).min(self.deadline)
    }

    /// How long the caller still waits, which may be longer than the route's time.
    pub fn caller_time_left(&self) -> Duration {
        let until = self
            .caller_headers
            .wait
            .map_or(self.deadline, |wait| self.received_at + wait);
        until.saturating_sub(self.gateway.clock.now())
    }

    /// What the request asks of its service's queue.
    pub fn placement_request(&self) -> PlacementRequest {
        let is_stream = self.route.kind == Kind::Streaming;
        PlacementRequest {
            priority: self.priority,
            queued_at: self.gateway.clock.now(),
            target: self.target,
            deadline: self.deadline,
            place_by: self.place_by(),
            resumption: Resumption::None,
            over_usual_rate: self.over_usual_rate,
            max_gap: self.route.gap.filter(|_| is_stream),
            excluded: self.tried.borrow().clone(),
        }
    }

    /// Waits for a permit at an upstream.
    ///
    /// # Errors
    /// There is no room, nor will there be in time.
    pub async fn admit(&self, placement: PlacementRequest) -> Result<Permit, Rejection> {
        self.gateway.admit(&self.queue, placement).await
    }

    /// Whether the request may be sent once more, as things are now. It counts only
    /// when it is sent: one that then finds no upstream has cost nobody anything.
    pub fn may_retry(&self) -> bool {
        if self.attempts.get() >= self.route.attempts || self.time_left() < MIN_SEND_TIME {
            return false;
        }
        let (limits, entries) = self.retry_limits();
        self.queue.allows_retry(&limits, entries)
    }

    /// What bounds repeats, and how many entries share it.
    fn retry_limits(&self) -> (RetryLimits, usize) {
        let now = self.gateway.clock.now();
        let limits = self.gateway.settings.borrow().bounds.retries();
        (limits, self.gateway.sharers(now))
    }

    /// Whether another upstream may be tried after one that can't be reached.
    pub fn may_retry_connect(&self) -> bool {
        self.connect_failures.get() < MAX_CONNECT_FAILURES && self.time_left() >= MIN_SEND_TIME
    }

    /// How long the upstream may be silent before the request is sent elsewhere, where
    /// it may be.
    fn response_timeout(&self, upstream: &str) -> Duration {
        let left = self.time_left();
        let is_last = self.attempts.get() >= self.route.attempts;
        if is_last || !self.route.is_repeatable() {
            return left;
        }
        let timeout = self.route.target.mul_f64(FIRST_EVENT_TIMEOUT_FACTOR);
        let passes = self.queue.pass_time(upstream).unwrap_or_default() * FIRST_EVENT_PASSES;
        let max = self.route.target.mul_f64(MAX_FIRST_EVENT_TIMEOUT_FACTOR);
        timeout.max(passes.min(max)).min(left)
    }

    /// Sends the request to an upstream, behind an event of the caller's where
    /// there is one.
    pub async fn send(&self, permit: Permit, last_event: Option<u64>) -> SendOutcome {
        let id = permit.upstream.clone();
        // It may have waited for its permit.
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
        let Ok(request) = self.upstream_request(&id, last_event) else {
            return SendOutcome::NotRun("bad-request");
        };
        self.attempts.set(self.attempts.get() + 1);
        self.response_started_at.take();
        let may_have_run_before = self.may_have_run.replace(true);
        let client = &self.gateway.client;
        let response = async {
            if self.route.is_repeatable() {
                client.send(replica.address, request).await
            } else {
                client.send_fresh(replica.address, request).await
            }
        };
        let sent_at = self.gateway.clock.now();
        let result = self.await_response(response, &permit).await;
        let waited = self.gateway.clock.now().saturating_sub(sent_at);
        let outcome = self.classify_response(result, waited, permit);
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
                self.record.record_attempt(&id, response.status().as_str())
            }
        }
        outcome
    }

    /// Waits for an answer, as long as the upstream may be silent.
    ///
    /// A request whose prompt a slow rank has still to read holds back the rank's whole
    /// group like a stream, so it goes elsewhere as well, where it may.
    async fn await_response(
        &self,
        response: impl Future<Output = Result<Response<Body>, Error>>,
        permit: &Permit,
    ) -> WaitResult {
        let mut response = pin!(response);
        let until = self.gateway.clock.now() + self.response_timeout(&permit.upstream);
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
            if self.route.is_repeatable() && permit.is_slow() && self.may_retry() {
                return WaitResult::Slow;
            }
        }
    }

    /// How long a request stays for the time being at an upstream that is silent, because
    /// it can't be sent elsewhere.
    ///
    /// Without this a caller who would wait for seconds more got a 502 as soon as the
    /// budget of repeats was spent, though nothing was known to have failed.
    fn extra_wait(&self, now: Duration) -> Duration {
        let left = self.deadline.saturating_sub(now);
        if self.route.is_repeatable() && self.may_retry() {
            Duration::ZERO
        } else {
            left.min(relay::POLL_INTERVAL)
        }
    }

    /// The request as the upstream gets it.
    fn upstream_request(
        &self,
        id: &str,
        last_event: Option<u64>,
    ) -> Result<Request<Body>, http::Error> {
        let mut headers = self.headers.clone();
        header::address(&mut headers, id, self.time_left());
        if let Some(event) = last_event {
            header::resume(&mut headers, event);
        }
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.uri.clone())
            .body(Body::full(self.body.clone()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// What silence tells of the upstream. A route may allow less time than its
    /// requests take: that the time is over then says nothing, and an upstream
    /// that was left alone for it would be missed by all other requests.
    fn silence_outcome(&self, waited: Duration) -> AttemptOutcome {
        if waited >= self.route.target.mul_f64(FIRST_EVENT_TIMEOUT_FACTOR) {
            AttemptOutcome::Silent
        } else {
            AttemptOutcome::Unknown
        }
    }

    /// What an answer, or the want of one, tells.
    fn classify_response(
        &self,
        result: WaitResult,
        waited: Duration,
        permit: Permit,
    ) -> SendOutcome {
        let response = match result {
            WaitResult::Silent => {
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
            WaitResult::Answered(Ok(response)) => response,
        };
        let markers = header::answer(response.headers());
        let status = response.status();
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let nameless = misdirected && header::is_nameless(response.headers());
        // A late or doubled answer to another request may come where this one's
        // is due. Its connection goes with it.
        if !nameless && !header::belongs(response.headers(), self.caller_headers.id.as_ref()) {
            permit.release(AttemptOutcome::Bad);
            return SendOutcome::Unknown("not-its-answer");
        }
        if misdirected {
            permit.release(AttemptOutcome::Unreached);
            return SendOutcome::NotRun("misdirected");
        }
        if markers.not_run {
            permit.release(AttemptOutcome::Full);
            return SendOutcome::NotRun("turned-away");
        }
        if status.is_success() && (!markers.signed || markers.encoded) {
            permit.release(AttemptOutcome::Bad);
            return SendOutcome::Unknown("not-the-upstreams-answer");
        }
        self.response_started_at.set(Some(self.gateway.clock.now()));
        permit.on_response_started();
        SendOutcome::Answered(response, permit)
    }
}
