//! Handles a request: validates it, sends it to upstreams and returns the response.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{
    HeaderMap, Request, Response, StatusCode, Uri,
    header::{EXPECT, HOST},
    request::Parts,
};
use http_body::Body as _;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use verbenaspool_platform::header;
use verbenaspool_policy::{dispatch::AttemptOutcome, quarantine::Subject};
use verbenaspool_protocol::digest;
use verbenaspool_state::{
    fingerprint::Fingerprint,
    route::{Customer, Kind, Table},
};
use verbenaspool_transport::http::{
    body::Body,
    client::EndsWithConnection,
    hop,
    memory::Budget,
    reader::SlowReader,
    server::{Handler, ResponseFuture},
};

use super::{
    answer::Failure,
    attempt::{PendingRequest, SendOutcome},
    buffered,
    gateway::Gateway,
    queue::Permit,
    record::Record,
    relay,
};

/// Retry-After of an entry that hasn't loaded a configuration yet.
const UNREADY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-After of an entry that is stopping. Another entry can take the request immediately.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry-After of an entry that has no memory for a request's body. Another entry may have some at
/// once; this one has some when requests end or slow readers are disconnected.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The wait of callers that don't announce one, longer than any that is announced.
const MAX_CALLER_WAIT: Duration = Duration::from_hours(1);

impl Handler for Gateway {
    fn handle(self: Rc<Self>, _: SocketAddr, request: Request<Incoming>) -> ResponseFuture {
        Box::pin(handle_request(self, request))
    }
}

/// Handles one request.
async fn handle_request(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let caller_headers = header::parse_request(&parts.headers);
    let id = caller_headers.id.as_ref().and_then(|id| id.to_str().ok());
    let record = Record::new(gateway.clone(), id.unwrap_or("-"));
    record.set_reader(parts.extensions.get::<SlowReader>().cloned());
    let failure = match prepare(&gateway, &record, parts, body, caller_headers).await {
        Ok(request) => match serve(Rc::new(request)).await {
            Ok(response) => return response,
            Err(failure) => failure,
        },
        Err(failure) => failure,
    };
    record.set_result(failure.status.as_u16(), failure.reason);
    failure.into_response()
}

/// Validates a request and reads its body.
async fn prepare(
    gateway: &Rc<Gateway>,
    record: &Rc<Record>,
    parts: Parts,
    body: Incoming,
    caller_headers: header::Request,
) -> Result<PendingRequest, Failure> {
    if gateway.closed.get() {
        // A request that arrives this late couldn't finish before the process stops.
        return Err(Failure {
            close: true,
            ..Failure::unavailable("stopping", STOPPING_RETRY_AFTER)
        });
    }
    let received_at = gateway.clock.now();
    let table = gateway.table().ok_or(Failure::unavailable(
        "no-configuration",
        UNREADY_RETRY_AFTER,
    ))?;
    record.record_table();
    let route = table
        .route(host(&parts).unwrap_or_default(), parts.uri.path())
        .ok_or_else(|| gateway.refusal(StatusCode::NOT_FOUND, "no-route"))?
        .clone();
    let customer = authenticate(&table, &caller_headers, route.public)
        .map_err(|status| gateway.refusal(status, "unknown-key"))?;
    let name = customer.map(|customer| customer.name.clone());
    let priority = customer.and_then(|customer| customer.priority);
    let max_bytes = table.limits.body_bytes;
    let body = read_body(body, max_bytes, &gateway.memory.callers);
    let body = monoio::time::timeout(table.limits.idle_time, body)
        .await
        .map_err(|_| Failure::new(StatusCode::REQUEST_TIMEOUT, "slow-body"))??;
    let service = route
        .service(rand::random())
        .ok_or(Failure::unavailable("no-service", UNREADY_RETRY_AFTER))?;
    record.set_route(&route.name, service);
    let queue = gateway.queue(service);
    queue.record_request(&gateway.settings.borrow().limits.retry_limits());
    let mut headers = parts.headers;
    hop::strip(&mut headers);
    headers.remove(EXPECT);
    header::sanitize(&mut headers, name.as_deref());
    let wait = caller_headers.wait.unwrap_or(MAX_CALLER_WAIT);
    let prior_wait = queue.prior_wait(wait);
    // Shares replace the rule on the usual rate.
    let shares = gateway.settings.borrow().shares.enabled;
    let (over_usual_rate, work) = if shares {
        let tokens = caller_headers.tokens;
        (
            false,
            queue.record_arrival(name.as_ref(), &route.name, tokens),
        )
    } else {
        let over = |name| queue.observe_customer(name);
        (name.as_ref().is_some_and(over), 1.0)
    };
    record.set_caller_state(wait, prior_wait, over_usual_rate);
    record.keep_reader_for(wait.min(route.timeout));
    let uri = path_and_query(&parts.uri);
    let shared_parts = caller_headers.shared_parts.iter();
    let subject = Subject {
        request: Fingerprint::of(name.as_deref(), &uri.to_string(), &body),
        service: digest::hash(service),
        customer: digest::hash(name.as_deref().unwrap_or_default()),
        parts: shared_parts
            .map(|part| Fingerprint::of_part(service, part.as_bytes()))
            .collect(),
    };
    record.set_content(subject.request, &caller_headers.shared_parts);
    Ok(PendingRequest {
        gateway: gateway.clone(),
        record: record.clone(),
        queue,
        method: parts.method,
        uri,
        headers,
        body,
        subject,
        priority: priority.unwrap_or(route.priority),
        over_usual_rate,
        customer: name,
        work,
        target: (received_at + route.target_latency).saturating_sub(prior_wait),
        deadline: received_at + wait.min(route.timeout),
        received_at,
        caller_headers,
        route,
        response_started_at: std::cell::Cell::default(),
        sent_at: std::cell::Cell::default(),
        first_event_by: std::cell::Cell::default(),
        attempt_events: std::cell::Cell::default(),
        attempt_sound: std::cell::Cell::default(),
        attempts: std::cell::Cell::default(),
        connect_failures: std::cell::Cell::default(),
        may_have_run: std::cell::Cell::default(),
        is_interrupted: std::cell::Cell::default(),
        tried: std::cell::RefCell::default(),
        replica: std::cell::RefCell::default(),
    })
}

/// The request's host, without the port.
fn host(parts: &Parts) -> Option<&str> {
    let named = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(named)?;
    Some(host.split_once(':').map_or(host, |(host, _)| host))
}

/// Identifies the customer by the request's API key. Fails with the status for a request that needs one and
/// has none that is known.
fn authenticate<'a>(
    table: &'a Table,
    caller_headers: &header::Request,
    public: bool,
) -> Result<Option<&'a Customer>, StatusCode> {
    let found = caller_headers
        .api_key
        .as_deref()
        .and_then(|key| table.customer(key));
    if found.is_none() && table.requires_api_key() && !public {
        return Err(StatusCode::UNAUTHORIZED);
    }
    Ok(found.map(|customer| &**customer))
}

/// Reads a complete request body, whose bytes are taken from a budget as they arrive: a caller that
/// announces a long body and sends little of it occupies no more than that.
async fn read_body(body: Incoming, max_bytes: usize, budget: &Budget) -> Result<Bytes, Failure> {
    let no_memory = Failure {
        close: true,
        ..Failure::unavailable("no-memory", MEMORY_RETRY_AFTER)
    };
    let length = body.size_hint().lower();
    let length = usize::try_from(length).map_or(max_bytes, |length| length.min(max_bytes));
    if length > 0 && !budget.fits(length) {
        return Err(no_memory);
    }
    let mut held = budget.take_beyond(0);
    let mut bytes = BytesMut::with_capacity(length);
    let mut body = Limited::new(body, max_bytes);
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                if !held.try_grow(data.len()) {
                    return Err(no_memory);
                }
                bytes.extend_from_slice(&data);
            }
            Err(error) if error.is::<LengthLimitError>() => {
                return Err(Failure {
                    close: true,
                    ..Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "large-body")
                });
            }
            Err(_) => {
                return Err(Failure {
                    close: true,
                    ..Failure::new(StatusCode::BAD_REQUEST, "broken-body")
                });
            }
        }
    }
    Ok(held.keep_with(bytes.freeze()))
}

/// The path and query of a URI, without scheme and authority.
fn path_and_query(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Removes the headers of a response that apply only to the connection to the upstream.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    hop::strip(headers);
}

/// Serves a request, up to its deadline.
async fn serve(request: Rc<PendingRequest>) -> Result<Response<Body>, Failure> {
    let response = run_attempts(&request);
    match monoio::time::timeout(request.time_left(), response).await {
        Ok(result) => result,
        Err(_) if request.may_have_run.get() => Err(Failure::gateway_timeout("timeout")),
        Err(_) => Err(Failure::unavailable(
            "timeout",
            request.queue.retry_after(request.caller_time_left()),
        )),
    }
}

/// Sends a request to one upstream after another until one succeeds or no retry is allowed.
async fn run_attempts(request: &Rc<PendingRequest>) -> Result<Response<Body>, Failure> {
    let mut failed = None;
    loop {
        if let Some(reason) = request.block_reason() {
            return failed.ok_or_else(|| request.blocked_failure(reason));
        }
        let admitted = request.admit(request.placement_request()).await;
        request.record.set_diagnostics(request.queue.diagnostics());
        let over_share = request.queue.is_over_share(request.customer.as_deref());
        request.record.set_share(over_share, request.work);
        let permit = match admitted {
            Ok(permit) => permit,
            Err(rejection) => {
                if let Some(response) = failed {
                    return Ok(response);
                }
                return Err(if request.may_have_run.get() {
                    Failure::bad_gateway("unknown")
                } else {
                    Failure::unavailable(rejection.reason.name(), rejection.retry_after)
                });
            }
        };
        let retry = match request.send(permit, None).await {
            SendOutcome::Answered(response, permit) => match receive(request, response, permit)
                .await
            {
                Received::Failed(response) if request.route.is_retryable() => {
                    request.may_have_run.set(false);
                    failed = Some(response);
                    request.may_retry()
                }
                Received::Complete(response) | Received::Failed(response) => return Ok(response),
                Received::Unusable => request.route.is_retryable() && request.may_retry(),
            },
            SendOutcome::NotRun("unreached") => request.may_retry_connect(),
            SendOutcome::Blocked => true,
            SendOutcome::NotRun(_) => request.may_retry(),
            SendOutcome::Unknown(_) => request.route.is_retryable() && request.may_retry(),
        };
        if retry {
            continue;
        }
        if let Some(response) = failed {
            return Ok(response);
        }
        return Err(
            if request.may_have_run.get() && request.time_left().is_zero() {
                Failure::gateway_timeout("timeout")
            } else if request.may_have_run.get() {
                Failure::bad_gateway("unknown")
            } else {
                Failure::unavailable(
                    "turned-away",
                    request.queue.retry_after(request.caller_time_left()),
                )
            },
        );
    }
}

/// The result of receiving an upstream's response.
enum Received {
    /// It can be forwarded.
    Complete(Response<Body>),
    /// It reports a server error, and is forwarded if no retry is possible.
    Failed(Response<Body>),
    /// It is incomplete, or its status must not be forwarded.
    Unusable,
}

/// Receives an upstream's response. Streams are relayed as they arrive, other responses are
/// buffered.
async fn receive(
    request: &Rc<PendingRequest>,
    response: Response<Body>,
    permit: Permit,
) -> Received {
    let status = response.status();
    if request.route.kind == Kind::Streaming && status == StatusCode::OK {
        return Received::Complete(relay::relay(request.clone(), response, permit));
    }
    let (mut parts, body) = response.into_parts();
    let not_run = header::parse_answer(&parts.headers).not_run;
    strip_hop_headers(&mut parts.headers);
    let ends_with_connection = parts.extensions.get::<EndsWithConnection>().is_some();
    let mut body = buffered::receive_body(request, &permit, body).await;
    if ends_with_connection && body.is_ok() && request.is_ended_by_exit().await {
        body = Err(buffered::Failure::Broken);
    }
    let body = match body {
        Ok(body) => body,
        Err(failure) => {
            buffered::record_failure(request, permit, failure).await;
            return Received::Unusable;
        }
    };
    let response = Response::from_parts(parts, Body::full(body));
    request.record.set_result(status.as_u16(), "answered");
    if status.is_server_error() {
        // The request's deadline has passed, which says nothing about the upstream's health.
        let timed_out = status == StatusCode::GATEWAY_TIMEOUT;
        permit.release(if timed_out {
            AttemptOutcome::Unknown
        } else {
            AttemptOutcome::Bad
        });
        // To callers this status guarantees that the request didn't run. The upstream didn't
        // confirm that.
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Received::Unusable;
        }
        return Received::Failed(response);
    }
    if not_run {
        permit.release(AttemptOutcome::Unknown);
        return Received::Complete(response);
    }
    permit.release(AttemptOutcome::Good);
    request.record_success();
    // The same guarantee goes with these statuses.
    let not_run_statuses = [StatusCode::TOO_MANY_REQUESTS, StatusCode::REQUEST_TIMEOUT];
    if not_run_statuses.contains(&status) {
        return Received::Unusable;
    }
    Received::Complete(response)
}
