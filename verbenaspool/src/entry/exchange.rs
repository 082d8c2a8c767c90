//! One attempt: what goes to the agent, and what its answer means.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::BytesMut;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, Version,
    header::{AUTHORIZATION, EXPECT, HOST},
};
use verbenaspool_policy::attempt::Ending;
use verbenaspool_protocol::{
    attempt, header,
    load::Load,
    outcome::Outcome,
    problem::{Code, Problem},
    settle,
};
use verbenaspool_transport::{
    http::{body::Body, client, hop},
    trace::span::{Kind, Span},
};

use super::{caller::priority_name, forward::Forward, queue::Attempt, upstreams::Address};

/// How long an agent may take to say what became of an attempt. It answers from
/// memory; a silent one is as good as dead, and the caller waits.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// What the names of our own headers begin with.
const OWN_PREFIX: &str = "x-verbenaspool-";

/// Our own headers to an agent, for the size of the map.
const ADDED_HEADERS: usize = 8;

/// An answer with the attempt that brought it.
pub struct Exchange {
    /// The attempt.
    pub attempt: Attempt,
    /// The answer.
    pub response: Response<Body>,
    /// The hop, which ends with the answer's body.
    pub span: Span,
}

/// Where an attempt is to go, and the id that it goes under.
#[derive(Clone)]
pub struct Target {
    /// The attempt's id.
    pub id: attempt::Id,
    /// The upstream.
    pub address: Address,
    /// The agent process that is meant; another refuses the attempt.
    pub process: u64,
}

/// How an attempt that brought no answer ended.
pub struct Failure {
    /// How it ended.
    pub ending: Ending,
    /// What to tell the caller, should no other attempt be made.
    pub problem: Problem,
}

/// What an answer's head says of the attempt.
enum Verdict {
    /// It ran, and this is its answer.
    Answered,
    /// It was refused.
    NotRun,
    /// The agent can't say.
    Unknown,
    /// The answer is another attempt's, or says nothing.
    Mismatched,
}

/// Makes one attempt; `resume` is how many tokens the caller has already.
///
/// # Errors
/// It brought no answer.
pub async fn send(
    forward: &Rc<Forward>,
    attempt: Attempt,
    resume: Option<u32>,
) -> Result<Exchange, Failure> {
    match resolve_target(forward, &attempt).await {
        Ok(target) => send_to(forward, attempt, target, resume).await,
        Err(failure) => {
            attempt.finish(failure.ending, forward.prompt.tokens, 0);
            Err(failure)
        }
    }
}

/// Makes one attempt under a ticket that it has already.
///
/// # Errors
/// It brought no answer.
pub async fn send_to(
    forward: &Rc<Forward>,
    attempt: Attempt,
    target: Target,
    resume: Option<u32>,
) -> Result<Exchange, Failure> {
    let upstream = attempt.upstream().clone();
    let mut span = forward
        .observation
        .child_span("entry to agent", Kind::Client);
    span.set("upstream", upstream.as_str());
    let result = try_once(forward, &attempt, target, &span, resume).await;
    match result {
        Ok(response) => Ok(Exchange {
            attempt,
            response,
            span,
        }),
        Err(failure) => {
            span.fail(failure.problem.outcome.as_str());
            attempt.finish(failure.ending, forward.prompt.tokens, 0);
            Err(failure)
        }
    }
}

/// Sends the attempt and judges what comes back.
async fn try_once(
    forward: &Forward,
    attempt: &Attempt,
    target: Target,
    span: &Span,
    resume: Option<u32>,
) -> Result<Response<Body>, Failure> {
    let id = target.id;
    let request = agent_request(forward, &target, span, resume);
    forward.observation.meter().attempts.count();
    let sending = forward.entry.client.send(target.address.agent, request);
    match monoio::time::timeout(forward.time_left(), sending).await {
        Ok(Ok(response)) => {
            record_load(forward, attempt, response.headers());
            match classify_head(id, response.headers()) {
                Verdict::Answered => Ok(response),
                Verdict::NotRun => Err(not_run("The upstream refused the request.")),
                Verdict::Unknown => Err(answer_lost()),
                Verdict::Mismatched => Err(settle(forward, &target).await),
            }
        }
        Ok(Err(client::Error::NotSent(_))) => Err(not_run("The upstream can't be reached.")),
        Ok(Err(client::Error::Broken(_))) => Err(settle(forward, &target).await),
        // The final answer goes out at once; dropping the request cancels it.
        Err(_) => Err(Failure {
            ending: Ending::Cancelled,
            problem: Problem::unknown(Code::Deadline, "The answer did not come in time."),
        }),
    }
}

/// Finds the upstream, and which agent process answers beside it: an attempt
/// that names none would be refused.
///
/// # Errors
/// The upstream is gone or silent, and nothing was sent.
pub async fn resolve_target(forward: &Forward, attempt: &Attempt) -> Result<Target, Failure> {
    let name = attempt.upstream();
    let entry = &forward.entry;
    let gone = || not_run("The upstream is gone.");
    let mut address = entry.upstreams.address(name).ok_or_else(gone)?;
    if address.process.is_none() {
        entry.request_report(name).await;
        address = entry.upstreams.address(name).ok_or_else(gone)?;
    }
    let unreachable = || not_run("The upstream can't be reached.");
    Ok(Target {
        id: entry.attempts.next(),
        process: address.process.ok_or_else(unreachable)?,
        address,
    })
}

/// The request as the agent gets it.
fn agent_request(
    forward: &Forward,
    target: &Target,
    span: &Span,
    resume: Option<u32>,
) -> Request<Body> {
    let mut request = Request::new(Body::wrap(forward.upload.body()));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    let headers = request.headers_mut();
    headers.clone_from(&forward.headers);
    headers.insert(HOST, target.address.host.clone());
    headers.insert(header::ATTEMPT, header_value(&target.id.to_string()));
    headers.insert(header::AGENT, target.process.into());
    headers.insert(header::INSTANCE, target.address.instance.clone());
    if let Some(fingerprint) = forward.fingerprint {
        headers.insert(header::FINGERPRINT, header_value(&fingerprint.to_string()));
    }
    headers.insert(header::CUSTOMER, header_value(forward.customer.as_str()));
    let time_left_ms = u64::try_from(forward.time_left().as_millis()).unwrap_or(u64::MAX);
    headers.insert(header::DEADLINE, time_left_ms.into());
    let priority = HeaderValue::from_static(priority_name(forward.priority));
    headers.insert(header::PRIORITY, priority);
    headers.insert(
        header::TRACEPARENT,
        header_value(&span.context().to_string()),
    );
    if let Some(tokens) = resume {
        headers.insert(header::RESUME, tokens.into());
    }
    request
}

/// A caller's headers without what is not passed on: what concerns its
/// connection, its credential, and words that only we may say.
///
/// The values are copied. They are windows into the 8 KB that the head was read
/// into, which would otherwise live as long as the request: 8 MB for 1,000
/// open streams.
pub fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    hop::strip(&mut headers);
    headers.remove(AUTHORIZATION);
    headers.remove(EXPECT);
    headers.remove(HOST);
    let is_own = |name: &HeaderName| name.as_str().starts_with(OWN_PREFIX);
    let value_bytes = headers.values().map(HeaderValue::len).sum();
    let mut copied = BytesMut::with_capacity(value_bytes);
    let mut forwarded = HeaderMap::with_capacity(headers.len() + ADDED_HEADERS);
    for (name, value) in headers.iter().filter(|(name, _)| !is_own(name)) {
        copied.extend_from_slice(value.as_bytes());
        if let Ok(value) = HeaderValue::from_maybe_shared(copied.split().freeze()) {
            forwarded.append(name, value);
        }
    }
    forwarded
}

/// What an answer's head says of an attempt.
fn classify_head(id: attempt::Id, headers: &HeaderMap) -> Verdict {
    // An answer to another attempt, late or crossed, must never reach this caller.
    if header_text(headers, header::ATTEMPT).and_then(|text| text.parse().ok()) != Some(id) {
        return Verdict::Mismatched;
    }
    match Outcome::read(header_text(headers, header::OUTCOME)) {
        Outcome::Ran => Verdict::Answered,
        Outcome::NotRun => Verdict::NotRun,
        Outcome::Unknown => Verdict::Unknown,
    }
}

/// Takes in the load that came with an answer.
fn record_load(forward: &Forward, attempt: &Attempt, headers: &HeaderMap) {
    let load = header_text(headers, header::LOAD).and_then(|text| serde_json::from_str(text).ok());
    if let Some(load) = load {
        let load: Load = load;
        forward.entry.record_load(attempt.upstream(), &load);
    }
}

/// Asks the agent what became of an attempt whose answer was lost.
async fn settle(forward: &Forward, target: &Target) -> Failure {
    forward.observation.meter().settled.count();
    let control = target.address.control;
    match attempt_status(forward, target.id, control, target.process).await {
        Some(settle::Answer::Refused) => not_run("The upstream broke off before the request."),
        _ => answer_lost(),
    }
}

/// Asks an agent what became of an attempt; none where it doesn't answer.
pub async fn attempt_status(
    forward: &Forward,
    attempt: attempt::Id,
    control: SocketAddr,
    agent: u64,
) -> Option<settle::Answer> {
    let request = settle::Question { attempt, agent };
    let timeout = SETTLE_TIMEOUT.min(forward.time_left());
    let rpc = &forward.entry.rpc;
    rpc.call(control, settle::METHOD, &request, timeout)
        .await
        .ok()
}

/// A header as text, where it is text.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header value of our own making, which is plain ASCII.
fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("ids and names are plain ASCII")
}

/// An attempt that did not run.
fn not_run(message: &str) -> Failure {
    Failure {
        ending: Ending::NotRun,
        problem: Problem::not_run(Code::NoUpstream, message),
    }
}

/// An attempt whose answer was lost.
pub fn answer_lost() -> Failure {
    Failure {
        ending: Ending::Unknown,
        problem: Problem::unknown(
            Code::Upstream,
            "The answer was lost; the request may have run.",
        ),
    }
}
