//! One attempt: the request sent to the agent, and what its answer means.

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

/// Timeout for asking an agent about an attempt. The agent answers from memory, so one that is
/// silent for this long is probably dead, and the caller is waiting.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// The prefix of verbenaspool's own header names.
const OWN_PREFIX: &str = "x-verbenaspool-";

/// Capacity reserved for verbenaspool's own headers to an agent.
const ADDED_HEADERS: usize = 8;

/// An answer and the attempt that it belongs to.
pub struct Exchange {
    /// The attempt.
    pub attempt: Attempt,
    /// The answer.
    pub response: Response<Body>,
    /// The span of the attempt, which ends with the answer's body.
    pub span: Span,
}

/// The agent that an attempt is sent to, and the attempt's id.
#[derive(Clone)]
pub struct Target {
    /// The attempt's id.
    pub id: attempt::Id,
    /// The addresses of the upstream's agent.
    pub address: Address,
    /// The agent process; any other process at this address rejects the attempt.
    pub process: u64,
}

/// The failure of an attempt.
pub struct Failure {
    /// How the attempt ended.
    pub ending: Ending,
    /// The problem to return to the caller if there is no further attempt.
    pub problem: Problem,
}

/// What the head of an answer says about the attempt.
enum Verdict {
    /// The attempt ran, and this is its answer.
    Answered,
    /// The attempt did not run.
    NotRun,
    /// The agent doesn't know whether the attempt ran.
    Unknown,
    /// The answer belongs to another attempt, or names none.
    Mismatched,
}

/// Sends one attempt; `resume` is the number of tokens that the caller already has.
///
/// # Errors
/// The attempt failed; its ending has been reported to the balancer.
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

/// Sends one attempt to a target that was resolved before.
///
/// # Errors
/// The attempt failed; its ending has been reported to the balancer.
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
    span.set_attribute("upstream", upstream.as_str());
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

/// Sends the attempt and classifies the answer.
async fn try_once(
    forward: &Forward,
    attempt: &Attempt,
    target: Target,
    span: &Span,
    resume: Option<u32>,
) -> Result<Response<Body>, Failure> {
    let id = target.id;
    let request = agent_request(forward, &target, span, resume);
    forward.observation.meter().attempts.increment();
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
        Ok(Err(client::Error::Broken(_) | client::Error::LimitExceeded(_))) => {
            Err(settle(forward, &target).await)
        }
        // The caller is answered at once; dropping the request cancels it.
        Err(_) => Err(Failure {
            ending: Ending::Cancelled,
            problem: Problem::unknown(Code::Deadline, "The answer did not come in time."),
        }),
    }
}

/// Finds an upstream's addresses and agent process. The agent would reject an attempt that
/// names no process, so it is asked for a report if the process isn't known.
///
/// # Errors
/// The upstream is not listed any more or its agent doesn't answer; nothing was sent.
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

/// Builds the request to the agent.
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
    if let Some(subject) = &forward.subject {
        let fingerprint = subject.request.to_string();
        headers.insert(header::FINGERPRINT, header_value(&fingerprint));
        if !subject.parts.is_empty() {
            let parts: Vec<String> = subject.parts.iter().map(ToString::to_string).collect();
            headers.insert(header::PROMPT_PARTS, header_value(&parts.join(",")));
        }
    }
    headers.insert(header::CUSTOMER, header_value(forward.customer.as_str()));
    let time_left_ms = u64::try_from(forward.time_left().as_millis()).unwrap_or(u64::MAX);
    headers.insert(header::DEADLINE_MS, time_left_ms.into());
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

/// Returns the caller's headers without those that are not forwarded: hop-by-hop headers, its
/// credential, and verbenaspool's own headers.
///
/// The values are copied. The originals are slices of the 8 KB buffer that the head was read
/// into, which would otherwise live as long as the request: 8 MB for 1,000 open streams.
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

/// Classifies the head of an answer to an attempt.
fn classify_head(id: attempt::Id, headers: &HeaderMap) -> Verdict {
    // A late or misrouted answer to another attempt must never reach this caller.
    if header_text(headers, header::ATTEMPT).and_then(|text| text.parse().ok()) != Some(id) {
        return Verdict::Mismatched;
    }
    match Outcome::from_header(header_text(headers, header::OUTCOME)) {
        Outcome::Ran => Verdict::Answered,
        Outcome::NotRun => Verdict::NotRun,
        Outcome::Unknown => Verdict::Unknown,
    }
}

/// Records the load that came with an answer.
fn record_load(forward: &Forward, attempt: &Attempt, headers: &HeaderMap) {
    let load = header_text(headers, header::LOAD).and_then(|text| serde_json::from_str(text).ok());
    if let Some(load) = load {
        let load: Load = load;
        forward.entry.record_load(attempt.upstream(), &load);
    }
}

/// Asks the agent about an attempt whose answer was lost, and returns the failure.
async fn settle(forward: &Forward, target: &Target) -> Failure {
    forward.observation.meter().settled.increment();
    let control = target.address.control;
    match attempt_status(forward, target.id, control, target.process).await {
        Some(settle::Answer::Refused) => not_run("The upstream broke off before the request."),
        _ => answer_lost(),
    }
}

/// Asks an agent about the status of an attempt. Returns none if it doesn't answer.
pub async fn attempt_status(
    forward: &Forward,
    attempt: attempt::Id,
    control: SocketAddr,
    agent: u64,
) -> Option<settle::Answer> {
    let request = settle::Request { attempt, agent };
    let timeout = SETTLE_TIMEOUT.min(forward.time_left());
    let rpc = &forward.entry.rpc;
    rpc.call(control, settle::METHOD, &request, timeout)
        .await
        .ok()
}

/// The value of a header, if it is present and plain text.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Converts an id or a name, which are ASCII, to a header value.
fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("ids and names are plain ASCII")
}

/// The failure of an attempt that did not run.
fn not_run(message: &str) -> Failure {
    Failure {
        ending: Ending::NotRun,
        problem: Problem::not_run(Code::NoUpstream, message),
    }
}

/// The failure of an attempt whose answer was lost.
pub fn answer_lost() -> Failure {
    Failure {
        ending: Ending::Unknown,
        problem: Problem::unknown(
            Code::Upstream,
            "The answer was lost; the request may have run.",
        ),
    }
}
