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
const MOST_PATIENCE: f64 = 3.6;

/// The least time that is worth sending a request with.
const MIN_SEND_TIME: Duration = Duration::from_millis(30);

/// Upstreams that can't be connected to before a request is given up.
const MAX_CONNECT_FAILURES: u32 = 4;

/// Why nothing is known of a sending: its connection broke before the answer.
const BROKEN_REASON: &str = "broken";

/// A caller's request, ready to be sent.
pub struct Work {
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
    pub said: header::Request,
    pub priority: u8,
    /// Whether it is beyond what its customer usually sends.
    pub beyond: bool,
    /// When its answer must begin to be in time.
    pub target: Duration,
    /// When it gets its final answer, whatever that is.
    pub deadline: Duration,
    /// When it came.
    pub began: Duration,
    /// When the present upstream began to answer.
    pub started: Cell<Option<Duration>>,
    /// Sendings that may have reached an upstream.
    pub sendings: Cell<u32>,
    /// Upstreams that couldn't be connected to.
    pub unreached: Cell<u32>,
    /// Whether a sending may have run of which nothing is known.
    pub exposed: Cell<bool>,
    /// Upstreams that are not to be sent to again.
    pub tried: std::cell::RefCell<Vec<Rc<str>>>,
}

/// What is known behind a sending.
pub enum Sent {
    /// The upstream answered, and the answer belongs to the request.
    Answered(Response<Body>, Permit),
    /// The request didn't run there and won't.
    NotRun(&'static str),
    /// The request may have run there, or may still.
    Unknown(&'static str),
    /// It wasn't sent, as upstreams crashed under it.
    Barred,
}

/// What came of waiting for an answer.
enum Waited {
    /// An answer, or an error instead.
    Answered(Result<Response<Body>, Error>),
    /// Nothing in time.
    Silent,
    /// Nothing yet, from an upstream that turned slow.
    Slow,
}

impl Work {
    /// The time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.gateway.clock.now())
    }

    /// Until when the request must be placed, for its first event to come before its
    /// caller leaves.
    fn place_by(&self) -> Duration {
        self.leaves(self.began).saturating_sub(self.route.target)
    }

    /// When the caller leaves that has had no event since some time.
    pub fn leaves(&self, since: Duration) -> Duration {
        let silence = self.route.silence.map(|silence| since + silence);
        silence.unwrap_or(self.deadline).min(self.deadline)
    }

    /// How long the caller still waits, which may be longer than the route's time.
    pub fn caller_left(&self) -> Duration {
        let until = self
            .said
            .wait
            .map_or(self.deadline, |wait| self.began + wait);
        until.saturating_sub(self.gateway.clock.now())
    }

    /// What the request asks of its service's queue.
    pub fn ask(&self) -> PlacementRequest {
        let streams = self.route.kind == Kind::Streaming;
        PlacementRequest {
            priority: self.priority,
            queued_at: self.gateway.clock.now(),
            target: self.target,
            deadline: self.deadline,
            place_by: self.place_by(),
            resumption: Resumption::None,
            over_usual_rate: self.beyond,
            max_gap: self.route.gap.filter(|_| streams),
            excluded: self.tried.borrow().clone(),
        }
    }

    /// Waits for a permit at an upstream.
    ///
    /// # Errors
    /// There is no room, nor will there be in time.
    pub async fn admit(&self, ask: PlacementRequest) -> Result<Permit, Rejection> {
        self.gateway.admit(&self.queue, ask).await
    }

    /// Whether the request may be sent once more, as things are now. It counts only
    /// when it is sent: one that then finds no upstream has cost nobody anything.
    pub fn may_repeat(&self) -> bool {
        if self.sendings.get() >= self.route.attempts || self.left() < MIN_SEND_TIME {
            return false;
        }
        let (bound, entries) = self.budget();
        self.queue.allows(&bound, entries)
    }

    /// What bounds repeats, and how many entries share it.
    fn budget(&self) -> (RetryLimits, usize) {
        let now = self.gateway.clock.now();
        let bound = self.gateway.settings.borrow().bounds.retry_limits();
        (bound, self.gateway.sharing_entries(now))
    }

    /// Whether another upstream may be tried after one that can't be reached.
    pub fn may_reconnect(&self) -> bool {
        self.unreached.get() < MAX_CONNECT_FAILURES && self.left() >= MIN_SEND_TIME
    }

    /// How long the upstream may be silent before the request is sent elsewhere, where
    /// it may be.
    fn patience(&self, upstream: &str) -> Duration {
        let left = self.left();
        let last = self.sendings.get() >= self.route.attempts;
        if last || !self.route.is_repeatable() {
            return left;
        }
        let usual = self.route.target.mul_f64(FIRST_EVENT_TIMEOUT_FACTOR);
        let passes = self.queue.pass(upstream).unwrap_or_default() * FIRST_EVENT_PASSES;
        let most = self.route.target.mul_f64(MOST_PATIENCE);
        usual.max(passes.min(most)).min(left)
    }

    /// Sends the request to an upstream, behind an event of the caller's where
    /// there is one.
    pub async fn send(&self, permit: Permit, after: Option<u64>) -> Sent {
        let id = permit.upstream.clone();
        // It may have waited for its permit.
        if self.barred().is_some() {
            permit.release(AttemptOutcome::Unknown);
            return Sent::Barred;
        }
        let (bound, entries) = self.budget();
        if self.sendings.get() > 0 && !self.queue.repeat(&bound, entries) {
            permit.release(AttemptOutcome::Unknown);
            return Sent::NotRun("no-budget");
        }
        self.tried.borrow_mut().push(id.clone());
        let Some(replica) = self.gateway.replica(&id) else {
            permit.release(AttemptOutcome::Unknown);
            return Sent::NotRun("upstream-gone");
        };
        let Ok(request) = self.request(&id, after) else {
            return Sent::NotRun("bad-request");
        };
        self.sendings.set(self.sendings.get() + 1);
        self.started.take();
        let before = self.exposed.replace(true);
        let client = &self.gateway.client;
        let answer = async {
            if self.route.is_repeatable() {
                client.send(replica.address, request).await
            } else {
                client.send_fresh(replica.address, request).await
            }
        };
        let began = self.gateway.clock.now();
        let answer = self.await_answer(answer, &permit).await;
        let waited = self.gateway.clock.now().saturating_sub(began);
        let sent = self.judge(answer, waited, permit);
        match &sent {
            Sent::NotRun(why) => {
                self.exposed.set(before);
                self.record.sent(&id, why);
            }
            Sent::Unknown(why) => {
                self.record.sent(&id, why);
                if *why == BROKEN_REASON {
                    self.detect_crash(&id).await;
                }
            }
            Sent::Barred => {}
            Sent::Answered(response, _) => self.record.sent(&id, response.status().as_str()),
        }
        sent
    }

    /// Waits for an answer, as long as the upstream may be silent.
    ///
    /// A request whose prompt a slow rank has still to read holds back the rank's whole
    /// group like a stream, so it goes elsewhere as well, where it may.
    async fn await_answer(
        &self,
        answer: impl Future<Output = Result<Response<Body>, Error>>,
        permit: &Permit,
    ) -> Waited {
        let mut answer = pin!(answer);
        let until = self.gateway.clock.now() + self.patience(&permit.upstream);
        loop {
            let now = self.gateway.clock.now();
            let left = until.saturating_sub(now).max(self.stays(now));
            if left.is_zero() {
                return Waited::Silent;
            }
            if let Ok(answer) =
                monoio::time::timeout(left.min(relay::POLL_INTERVAL), &mut answer).await
            {
                return Waited::Answered(answer);
            }
            if self.route.is_repeatable() && permit.is_slow() && self.may_repeat() {
                return Waited::Slow;
            }
        }
    }

    /// How long a request stays for the time being at an upstream that is silent, because
    /// it can't be sent elsewhere.
    ///
    /// Without this a caller who would wait for seconds more got a 502 as soon as the
    /// budget of repeats was spent, though nothing was known to have failed.
    fn stays(&self, now: Duration) -> Duration {
        let left = self.deadline.saturating_sub(now);
        if self.route.is_repeatable() && self.may_repeat() {
            Duration::ZERO
        } else {
            left.min(relay::POLL_INTERVAL)
        }
    }

    /// The request as the upstream gets it.
    fn request(&self, id: &str, after: Option<u64>) -> Result<Request<Body>, http::Error> {
        let mut headers = self.headers.clone();
        header::address(&mut headers, id, self.left());
        if let Some(event) = after {
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
    fn silence(&self, waited: Duration) -> AttemptOutcome {
        if waited >= self.route.target.mul_f64(FIRST_EVENT_TIMEOUT_FACTOR) {
            AttemptOutcome::Silent
        } else {
            AttemptOutcome::Unknown
        }
    }

    /// What an answer, or the want of one, tells.
    fn judge(&self, answer: Waited, waited: Duration, permit: Permit) -> Sent {
        let response = match answer {
            Waited::Silent => {
                permit.release(self.silence(waited));
                return Sent::Unknown("silent");
            }
            Waited::Slow => {
                permit.release(AttemptOutcome::Unknown);
                return Sent::Unknown(relay::SLOW_REASON);
            }
            Waited::Answered(Err(Error::NotSent(_))) => {
                permit.release(AttemptOutcome::Unreached);
                self.sendings.set(self.sendings.get() - 1);
                self.unreached.set(self.unreached.get() + 1);
                return Sent::NotRun("unreached");
            }
            Waited::Answered(Err(Error::Broken(_))) => {
                permit.release(AttemptOutcome::Bad);
                return Sent::Unknown(BROKEN_REASON);
            }
            Waited::Answered(Ok(response)) => response,
        };
        let said = header::answer(response.headers());
        let status = response.status();
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let nameless = misdirected && header::is_nameless(response.headers());
        // A late or doubled answer to another request may come where this one's
        // is due. Its connection goes with it.
        if !nameless && !header::belongs(response.headers(), self.said.id.as_ref()) {
            permit.release(AttemptOutcome::Bad);
            return Sent::Unknown("not-its-answer");
        }
        if misdirected {
            permit.release(AttemptOutcome::Unreached);
            return Sent::NotRun("misdirected");
        }
        if said.not_run {
            permit.release(AttemptOutcome::Full);
            return Sent::NotRun("turned-away");
        }
        if status.is_success() && (!said.signed || said.encoded) {
            permit.release(AttemptOutcome::Bad);
            return Sent::Unknown("not-the-upstreams-answer");
        }
        self.started.set(Some(self.gateway.clock.now()));
        permit.on_response_started();
        Sent::Answered(response, permit)
    }
}
