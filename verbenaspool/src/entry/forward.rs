//! One request's way to an upstream: attempts, until one of them answers.

use std::{rc::Rc, time::Duration};

use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, Version,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};
use http_body::Body as _;
use verbenaspool_policy::{attempt::Ending, request::Request as Work};
use verbenaspool_protocol::{
    attempt, header,
    load::Load,
    outcome::Outcome,
    problem::{Code, Problem},
    settle,
};
use verbenaspool_state::name::Name;
use verbenaspool_transport::http::{body::Body, client};

use super::{
    Entry,
    answer::{Answer, Events},
    caller::priority_name,
    queue::{Attempt, Queue},
    reply,
    upload::{Fault, Upload},
    upstreams::Address,
};

/// How long an agent may take to say what became of an attempt. It answers from
/// memory; a silent one is as good as dead, and the caller waits.
const SETTLE: Duration = Duration::from_millis(500);

/// Headers that belong to one connection, or are ours to set.
const DROPPED: [HeaderName; 9] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// What the names of our own headers begin with.
const OWN: &str = "x-verbenaspool-";

/// A request that was let in, ready to be sent.
pub struct Forward {
    /// The entry.
    pub entry: Rc<Entry>,
    /// The service's queue.
    pub queue: Rc<Queue>,
    /// The request's method.
    pub method: Method,
    /// The path and query below the service's own path.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The caller's body.
    pub upload: Upload,
    /// The customer.
    pub customer: Name,
    /// How urgent it is.
    pub priority: u8,
    /// When the whole answer must be there.
    pub deadline: Duration,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The estimated length of its prompt.
    pub prompt_tokens: u32,
    /// The most tokens it may generate.
    pub max_tokens: u32,
    /// Hashes of its prompt's prefixes.
    pub prefixes: Vec<u64>,
}

/// How an attempt that brought no answer ended.
struct Failure {
    ending: Ending,
    problem: Problem,
}

impl Forward {
    /// Sends the request until an attempt answers or no other is allowed.
    pub async fn run(self) -> Response<Body> {
        match self.attempts().await {
            Ok(response) => response,
            Err(problem) => reply::problem(&problem),
        }
    }

    /// The request as the balancer sees it.
    fn work(&self) -> Work<'_> {
        Work {
            customer: &self.customer,
            priority: self.priority,
            deadline: self.deadline,
            idempotent: self.idempotent,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            prefixes: &self.prefixes,
        }
    }

    /// Makes attempts, each decided by the balancer.
    ///
    /// Once an attempt may have run, so may the request: a later attempt's
    /// refusal is true of that attempt only. Passed on as it is, it would tell
    /// the caller that nothing ran, and the caller would send the work again.
    async fn attempts(&self) -> Result<Response<Body>, Problem> {
        let mut perhaps = false;
        let mut tried = Vec::new();
        let mut attempt = self
            .queue
            .admit(&self.work())
            .await
            .map_err(reply::refusal)?;
        loop {
            tried.push(attempt.upstream().clone());
            let failure = match self.once(attempt).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            perhaps |= failure.ending != Ending::NotRun;
            let problem = match failure.problem.outcome {
                Outcome::NotRun if perhaps => lost(),
                _ => failure.problem,
            };
            if let Some(problem) = self.fault() {
                return Err(problem);
            }
            // Work that may have run is repeated only where it may run twice.
            let safe = failure.ending == Ending::NotRun
                || failure.ending == Ending::Unknown && self.idempotent;
            if !safe || !self.upload.replayable() {
                return Err(problem);
            }
            let next = self.queue.retry(&self.work(), failure.ending, &tried).await;
            attempt = match next {
                Ok(attempt) => attempt,
                Err(refusal) => return Err(problem.after(refusal.retry_after)),
            };
        }
    }

    /// What the caller's own body did wrong; it was the cause of the failure then.
    fn fault(&self) -> Option<Problem> {
        let problem = match self.upload.fault()? {
            // The upstream got a broken request, and may have acted on its start.
            Fault::TooLarge => Problem::unknown(Code::TooLarge, "The body is too large."),
            Fault::Slow => Problem::unknown(Code::SlowSender, "The body paused for too long."),
            Fault::Broken => Problem::unknown(Code::BadRequest, "The body broke off."),
            Fault::Gone => return None,
        };
        Some(problem)
    }

    /// Makes one attempt.
    async fn once(&self, attempt: Attempt) -> Result<Response<Body>, Failure> {
        let Some(address) = self.entry.upstreams.address(attempt.upstream()) else {
            attempt.finish(Ending::NotRun, 0, 0);
            return Err(not_run("The upstream is gone."));
        };
        let id = self.entry.attempts.next();
        let request = self.request(id, &address);
        let left = self.left();
        let sent = self.entry.client.send(address.agent, request);
        let (ending, problem) = match monoio::time::timeout(left, sent).await {
            Ok(Ok(response)) => match self.judge(&attempt, id, response) {
                Ok(response) => return Ok(self.pass(attempt, response)),
                Err(Some(failure)) => (failure.ending, failure.problem),
                Err(None) => self.settle(id, &address).await,
            },
            Ok(Err(client::Error::NotSent(_))) => (
                Ending::NotRun,
                not_run("The upstream can't be reached.").problem,
            ),
            Ok(Err(client::Error::Broken(_))) => self.settle(id, &address).await,
            // The answer goes out at once; dropping the attempt cancels it.
            Err(_) => (
                Ending::Cancelled,
                Problem::unknown(Code::Deadline, "The answer did not come in time."),
            ),
        };
        attempt.finish(ending, self.prompt_tokens, 0);
        Err(Failure { ending, problem })
    }

    /// The time left before the deadline.
    fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.entry.clock.now())
    }

    /// The request as the agent gets it.
    fn request(&self, id: attempt::Id, address: &Address) -> Request<Body> {
        let body = Body::wrap(self.upload.body());
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        let headers = request.headers_mut();
        headers.reserve(self.headers.len() + 6);
        for (name, value) in &self.headers {
            if !DROPPED.contains(name) && !name.as_str().starts_with(OWN) {
                headers.append(name.clone(), value.clone());
            }
        }
        headers.insert(HOST, address.host.clone());
        headers.insert(header::ATTEMPT, value(&id.to_string()));
        headers.insert(header::CUSTOMER, value(self.customer.as_str()));
        let left = u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX);
        headers.insert(header::DEADLINE, left.into());
        headers.insert(
            header::PRIORITY,
            HeaderValue::from_static(priority_name(self.priority)),
        );
        if let Some(agent) = address.process {
            headers.insert(header::AGENT, agent.into());
        }
        request
    }

    /// Whether a response answers this attempt: it may, it may refuse it, or it
    /// says nothing about it.
    fn judge(
        &self,
        attempt: &Attempt,
        id: attempt::Id,
        response: Response<Body>,
    ) -> Result<Response<Body>, Option<Failure>> {
        let headers = response.headers();
        // An answer to another attempt, late or crossed, must never reach this caller.
        if read(headers, header::ATTEMPT).and_then(|text| text.parse().ok()) != Some(id) {
            return Err(None);
        }
        let load = read(headers, header::LOAD).and_then(|text| serde_json::from_str(text).ok());
        if let Some(load) = load {
            self.learn(attempt.upstream(), &load);
        }
        match Outcome::read(read(headers, header::OUTCOME)) {
            Outcome::Ran => Ok(response),
            Outcome::NotRun => Err(Some(not_run("The upstream refused the request."))),
            Outcome::Unknown => Err(Some(Failure {
                ending: Ending::Unknown,
                problem: lost(),
            })),
        }
    }

    /// Takes in the load that came with an answer.
    fn learn(&self, upstream: &Name, load: &Load) {
        self.entry.upstreams.heard(upstream, load.agent);
        if let Some(load) = self.entry.upstreams.load(upstream, load) {
            self.queue
                .with(|balancer, now| balancer.report(now, upstream, &load));
        }
    }

    /// Asks the agent what became of an attempt whose answer was lost.
    async fn settle(&self, id: attempt::Id, address: &Address) -> (Ending, Problem) {
        let unknown = (Ending::Unknown, lost());
        let Some(agent) = address.process else {
            return unknown;
        };
        let question = settle::Question { attempt: id, agent };
        let wait = SETTLE.min(self.left());
        let answer = self
            .entry
            .rpc
            .call(address.control, settle::METHOD, &question, wait)
            .await;
        match answer {
            Ok(settle::Answer::Refused) => (
                Ending::NotRun,
                not_run("The upstream broke off before the request.").problem,
            ),
            _ => unknown,
        }
    }

    /// Passes an answer on as it comes.
    fn pass(&self, attempt: Attempt, response: Response<Body>) -> Response<Body> {
        self.upload.settle();
        let (mut parts, body) = response.into_parts();
        for name in [&CONNECTION, &TRANSFER_ENCODING, &UPGRADE, &TRAILER] {
            parts.headers.remove(name);
        }
        parts.headers.remove(header::LOAD);
        parts.version = Version::HTTP_11;
        let events = streams(&parts.headers).then(Events::default);
        let answer = Answer::new(body, attempt, self.prompt_tokens, events);
        let body = if answer.is_end_stream() {
            Body::empty()
        } else {
            Body::wrap(answer)
        };
        Response::from_parts(parts, body)
    }
}

/// Whether an answer is a stream of server-sent events.
fn streams(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

/// A header as text, where it is text.
fn read<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header value of our own making, which is plain ASCII.
fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("ids and names are plain ASCII")
}

/// An attempt that did not run.
fn not_run(message: &str) -> Failure {
    Failure {
        ending: Ending::NotRun,
        problem: Problem::not_run(Code::NoUpstream, message),
    }
}

/// An answer that was lost.
fn lost() -> Problem {
    Problem::unknown(
        Code::Upstream,
        "The answer was lost; the request may have run.",
    )
}
