//! The data path: admits an attempt, sends it to the agent's upstream and streams the
//! response back.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::{Either, select};
use http::{
    HeaderMap, HeaderValue, Request, Response, Uri,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, TRANSFER_ENCODING},
};
use http_body::Body as _;
use http_body_util::Limited;
use hyper::body::Incoming;
use slog::{debug, warn};
use tokio::sync::oneshot;

use verbenaspool_coordination::attempt::{Ending, Rejection};
use verbenaspool_protocol::{
    attempt, header,
    outcome::Outcome,
    problem::{Code, Problem},
};
use verbenaspool_transport::{
    http::{
        body::Body,
        client, hop,
        server::{self, Handler},
    },
    trace::{
        context::Context,
        span::{self, Span},
    },
};

use crate::{
    answer::{Answer, Framing},
    crashes,
    envelope::{self, Envelope},
    guard::AttemptGuard,
    route,
    settings::Kind,
    shared::Shared,
};

/// Delay after which to retry a request that was rejected because the instance is full.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(250);

/// Delay after which to retry while the upstream can't be reached.
const RETRY_AFTER_UNREACHABLE: Duration = Duration::from_secs(1);

/// Handles the requests of entries.
#[derive(Debug)]
pub(crate) struct Proxy(pub(crate) Rc<Shared>);

impl Handler for Proxy {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> server::ResponseFuture {
        Box::pin(async move {
            let shared = self.0.clone();
            let envelope = envelope::read(request.headers(), shared.number, &shared.identity);
            // The id of a rejected attempt is returned too: an entry takes a response
            // without it for the response to another request.
            let attempt = envelope::attempt_id(request.headers());
            let answer = match envelope {
                Ok(envelope) => forward(&shared, envelope, request).await,
                Err(problem) => Err(problem),
            };
            let mut response = answer.unwrap_or_else(|problem| problem_response(&shared, &problem));
            set_agent_headers(&shared, attempt, response.headers_mut());
            response
        })
    }
}

/// Admits an attempt and forwards it to the upstream.
async fn forward(
    shared: &Rc<Shared>,
    envelope: Envelope,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    route::check_path(&shared.settings.upstream, request.uri().path())?;
    let max_body_bytes = shared.settings.limits.body_bytes;
    if request.body().size_hint().lower() > max_body_bytes as u64 {
        let message = "The request's body is larger than the instance takes.";
        return Err(Problem::not_run(Code::TooLarge, message));
    }
    let key = envelope.attempt.into();
    let mut span = start_span(shared, request.headers());
    let admitted = shared.ledger.borrow_mut().admit(key, shared.clock.now());
    if let Err(rejection) = admitted {
        span.fail("refused");
        return Err(rejection_problem(rejection));
    }
    let subject = envelope.fingerprint.map(|fingerprint| crashes::Subject {
        fingerprint,
        parts: envelope.parts,
        customer: envelope.customer,
    });
    let guard = AttemptGuard::new(shared.clone(), key, subject, span);
    let mut request = upstream_request(request, shared.upstream(), max_body_bytes);
    if let Ok(context) = HeaderValue::from_str(&guard.trace_context()) {
        request.headers_mut().insert(header::TRACEPARENT, context);
    }
    match shared.settings.upstream.kind {
        Kind::Engine => {
            let max_time = shared.max_request_time();
            let timeout = envelope
                .deadline
                .map_or(max_time, |left| left.min(max_time));
            send(guard, request, timeout).await
        }
        Kind::Plain => send_detached(guard, request).await,
    }
}

/// Starts the agent's span as a child of the entry's.
fn start_span(shared: &Shared, headers: &HeaderMap) -> Span {
    let remote = headers
        .get(header::TRACEPARENT)
        .and_then(|value| value.to_str().ok())
        .and_then(Context::parse);
    shared.tracer.root(remote, "agent", span::Kind::Server)
}

/// Sends a request to a plain service in a separate task. If the entry disconnects in the
/// meantime, the request still runs to its end and the ledger records how it ended.
async fn send_detached(
    guard: AttemptGuard,
    request: Request<Body>,
) -> Result<Response<Body>, Problem> {
    let (answer, answered) = oneshot::channel();
    monoio::spawn(async move {
        let max_time = guard.shared().max_request_time();
        let _ = answer.send(send(guard, request, max_time).await);
    });
    answered
        .await
        .unwrap_or_else(|_| Err(Problem::unknown(Code::Upstream, "The answer was lost.")))
}

/// Sends a request to the upstream and waits for the head of its response.
async fn send(
    guard: AttemptGuard,
    request: Request<Body>,
    timeout: Duration,
) -> Result<Response<Body>, Problem> {
    let shared = guard.shared().clone();
    let sent_at = shared.clock.now();
    let answer = Box::pin(shared.client.send(shared.upstream(), request));
    match select(answer, shared.clock.sleep(timeout)).await {
        Either::Left((Ok(response), _)) => {
            shared
                .meter
                .response_head_time
                .record(shared.clock.now().saturating_sub(sent_at));
            Ok(entry_response(response, guard))
        }
        Either::Left((Err(client::Error::NotSent(_)), _)) if is_backing_off(&shared) => {
            guard.close(Ending::NotRun);
            let message = "The upstream wants no requests for now.";
            let backoff = shared.client.backoff_left(shared.upstream());
            Err(Problem::not_run(Code::Overloaded, message).with_retry_after(backoff))
        }
        Either::Left((Err(client::Error::NotSent(reason)), _)) => {
            warn!(shared.log, "can't reach the upstream"; "reason" => reason);
            guard.close(Ending::NotRun);
            let message = "The upstream can't be reached.";
            Err(Problem::not_run(Code::NoUpstream, message)
                .with_retry_after(RETRY_AFTER_UNREACHABLE))
        }
        Either::Left((
            Err(error @ (client::Error::Broken(_) | client::Error::LimitExceeded(_))),
            _,
        )) => {
            let reason = match error {
                client::Error::Broken(reason) => reason,
                error => error.to_string(),
            };
            warn!(shared.log, "upstream closed the connection before its response"; "reason" => reason);
            guard.close(Ending::Broken);
            let message = "The upstream broke off before its answer.";
            Err(Problem::unknown(Code::Upstream, message))
        }
        Either::Right(_) => {
            guard.close(Ending::Broken);
            let message = "The upstream did not answer before the deadline.";
            Err(Problem::unknown(Code::Deadline, message))
        }
    }
}

/// Whether the upstream wants no requests for now.
fn is_backing_off(shared: &Shared) -> bool {
    !shared.client.backoff_left(shared.upstream()).is_zero()
}

/// Builds the request that is sent to the upstream.
fn upstream_request(
    request: Request<Incoming>,
    upstream: SocketAddr,
    max_body_bytes: usize,
) -> Request<Body> {
    let (mut parts, body) = request.into_parts();
    // Only the path was checked: an absolute-form target would name another host.
    if let Some(target) = parts.uri.path_and_query() {
        parts.uri = Uri::from(target.clone());
    }
    hop::strip(&mut parts.headers);
    parts.headers.remove(header::AGENT);
    parts.headers.remove(header::FINGERPRINT);
    parts.headers.remove(header::PROMPT_PARTS);
    if let Ok(host) = HeaderValue::from_str(&upstream.to_string()) {
        parts.headers.insert(HOST, host);
    }
    Request::from_parts(parts, Body::wrap(Limited::new(body, max_body_bytes)))
}

/// Builds the response that is sent to the entry.
fn entry_response(response: Response<Body>, mut guard: AttemptGuard) -> Response<Body> {
    guard.start_response();
    let (mut parts, body) = response.into_parts();
    let delimited = parts.headers.contains_key(CONTENT_LENGTH)
        || parts.headers.contains_key(TRANSFER_ENCODING)
        || body.is_end_stream();
    let framing = if delimited {
        Framing::Delimited
    } else {
        Framing::ConnectionClose
    };
    hop::strip(&mut parts.headers);
    let outcome = HeaderValue::from_static(Outcome::Ran.as_str());
    parts.headers.insert(header::OUTCOME, outcome);
    Response::from_parts(parts, Body::wrap(Answer::new(body, guard, framing)))
}

/// The problem that reports a rejection. Its outcome is "not run", except for a repeated
/// attempt, which may have run.
fn rejection_problem(rejection: Rejection) -> Problem {
    match rejection {
        Rejection::Leaving => Problem::not_run(Code::Leaving, "The instance is leaving."),
        Rejection::Full => {
            let message = "The instance runs as many requests as it may.";
            Problem::not_run(Code::Overloaded, message).with_retry_after(RETRY_AFTER_FULL)
        }
        Rejection::Tombstone => {
            Problem::not_run(Code::StaleAttempt, "The attempt was refused before.")
        }
        Rejection::Repeated => {
            Problem::unknown(Code::StaleAttempt, "The attempt was admitted before.")
        }
    }
}

/// Builds the response that reports a problem.
fn problem_response(shared: &Shared, problem: &Problem) -> Response<Body> {
    shared.meter.count_problem(problem.code);
    debug!(shared.log, "request rejected"; "reason" => &problem.message);
    let body = serde_json::to_vec(problem).unwrap_or_default();
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = problem.code.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let outcome = HeaderValue::from_static(problem.outcome.as_str());
    headers.insert(header::OUTCOME, outcome);
    response
}

/// Sets the attempt id, by which the entry detects the response to another request, and
/// the load.
fn set_agent_headers(shared: &Shared, attempt: Option<attempt::Id>, headers: &mut HeaderMap) {
    headers.remove(header::ATTEMPT);
    if let Some(attempt) = attempt
        && let Ok(value) = HeaderValue::from_str(&attempt.to_string())
    {
        headers.insert(header::ATTEMPT, value);
    }
    let load = serde_json::to_string(&shared.load()).unwrap_or_default();
    if let Ok(value) = HeaderValue::from_str(&load) {
        headers.insert(header::LOAD, value);
    }
}
