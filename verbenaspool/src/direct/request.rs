//! One request: checked, placed, sent, answered.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, Request, Response, StatusCode, Uri,
    header::{EXPECT, HOST},
    request::Parts,
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use verbenaspool_platform::header;
use verbenaspool_policy::dispatch::AttemptOutcome;
use verbenaspool_state::{
    fingerprint::Fingerprint,
    route::{Customer, Kind, Table},
};
use verbenaspool_transport::http::{
    body::Body,
    hop,
    server::{Answer, Handler},
};

use super::{
    answer::Refused,
    attempt::{Sent, Work},
    gateway::Gateway,
    queue::Permit,
    record::Record,
    relay,
};

/// The largest answer that is read whole before it is passed on, so that one
/// that breaks off can be replaced. Those of plain services have some kilobytes.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// When a caller should come back to an entry that knows no configuration yet.
const UNREADY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// When a caller should come back whose request found no entry to take it: at
/// once, to another entry.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A wait beyond all others, for callers that name none.
const MAX_CALLER_WAIT: Duration = Duration::from_hours(1);

impl Handler for Gateway {
    fn handle(self: Rc<Self>, _: SocketAddr, request: Request<Incoming>) -> Answer {
        Box::pin(answer(self, request))
    }
}

/// Answers one request.
async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let said = header::read(&parts.headers);
    let id = said.id.as_ref().and_then(|id| id.to_str().ok());
    let record = Record::new(gateway.clone(), id.unwrap_or("-"));
    let refused = match check(&gateway, &record, parts, body, said).await {
        Ok(work) => match serve(Rc::new(work)).await {
            Ok(response) => return response,
            Err(refused) => refused,
        },
        Err(refused) => refused,
    };
    record.end(refused.status.as_u16(), refused.why);
    refused.response()
}

/// Checks a request and reads its body.
async fn check(
    gateway: &Rc<Gateway>,
    record: &Rc<Record>,
    parts: Parts,
    body: Incoming,
    said: header::Request,
) -> Result<Work, Refused> {
    if gateway.closed.get() {
        // What comes this late into a stop couldn't be finished within it.
        return Err(Refused {
            close: true,
            ..Refused::later("stopping", STOPPING_RETRY_AFTER)
        });
    }
    let began = gateway.clock.now();
    let table = gateway
        .table()
        .ok_or(Refused::later("no-configuration", UNREADY_RETRY_AFTER))?;
    let route = table
        .route(host(&parts).unwrap_or_default(), parts.uri.path())
        .ok_or(Refused::new(StatusCode::NOT_FOUND, "no-route"))?
        .clone();
    let customer = customer(&table, &said, route.public)?;
    let name = customer.map(|customer| customer.name.clone());
    let priority = customer.and_then(|customer| customer.priority);
    let most = table.limits.body_bytes;
    let body = monoio::time::timeout(table.limits.idle_time, read(body, most))
        .await
        .map_err(|_| Refused::new(StatusCode::REQUEST_TIMEOUT, "slow-body"))??;
    let service = route
        .service(rand::random())
        .ok_or(Refused::later("no-service", UNREADY_RETRY_AFTER))?;
    record.routed(&route.name, service, table.version);
    let queue = gateway.queue(service);
    queue.request(&gateway.settings.borrow().bounds.retry_limits());
    let mut headers = parts.headers;
    hop::strip(&mut headers);
    headers.remove(EXPECT);
    header::sanitize(&mut headers, name.as_deref());
    let wait = said.wait.unwrap_or(MAX_CALLER_WAIT);
    let spent = queue.spent(wait);
    let beyond = name.as_ref().is_some_and(|name| queue.beyond(name));
    record.asked(wait, spent, beyond);
    let uri = below(&parts.uri);
    let fingerprint = Fingerprint::of(name.as_deref(), &uri.to_string(), &body);
    record.identified(fingerprint);
    Ok(Work {
        gateway: gateway.clone(),
        record: record.clone(),
        queue,
        method: parts.method,
        uri,
        headers,
        body,
        fingerprint,
        priority: priority.unwrap_or(route.priority),
        beyond,
        target: (began + route.target).saturating_sub(spent),
        deadline: began + wait.min(route.timeout),
        began,
        said,
        route,
        started: std::cell::Cell::default(),
        sendings: std::cell::Cell::default(),
        unreached: std::cell::Cell::default(),
        exposed: std::cell::Cell::default(),
        tried: std::cell::RefCell::default(),
    })
}

/// The host that a request names, without its port.
fn host(parts: &Parts) -> Option<&str> {
    let named = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(named)?;
    Some(host.split_once(':').map_or(host, |(host, _)| host))
}

/// The customer whose key a request bears.
fn customer<'a>(
    table: &'a Table,
    said: &header::Request,
    public: bool,
) -> Result<Option<&'a Customer>, Refused> {
    let found = said.key.as_deref().and_then(|key| table.customer(key));
    if found.is_none() && table.is_keyed() && !public {
        return Err(Refused::new(StatusCode::UNAUTHORIZED, "unknown-key"));
    }
    Ok(found.map(|customer| &**customer))
}

/// Reads a body whole.
async fn read(body: Incoming, most: usize) -> Result<Bytes, Refused> {
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(why) if why.is::<LengthLimitError>() => Err(Refused {
            close: true,
            ..Refused::new(StatusCode::PAYLOAD_TOO_LARGE, "large-body")
        }),
        Err(_) => Err(Refused {
            close: true,
            ..Refused::new(StatusCode::BAD_REQUEST, "broken-body")
        }),
    }
}

/// The path and query by themselves.
fn below(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Takes out of an answer's headers what concerns the upstream's connection.
pub fn clean(headers: &mut HeaderMap) {
    hop::strip(headers);
}

/// Serves a request within its time.
async fn serve(work: Rc<Work>) -> Result<Response<Body>, Refused> {
    let served = attempts(&work);
    match monoio::time::timeout(work.left(), served).await {
        Ok(served) => served,
        Err(_) if work.exposed.get() => Err(Refused::late("timeout")),
        Err(_) => Err(Refused::later(
            "timeout",
            work.queue.come_back(work.caller_left()),
        )),
    }
}

/// Sends a request to one upstream after another, as far as it may be.
async fn attempts(work: &Rc<Work>) -> Result<Response<Body>, Refused> {
    let mut failed = None;
    loop {
        if let Some(bar) = work.barred() {
            return failed.ok_or_else(|| work.refuse(bar));
        }
        let admitted = work.admit(work.ask()).await;
        work.record.known(work.queue.known());
        let permit = match admitted {
            Ok(permit) => permit,
            Err(refusal) => {
                if let Some(response) = failed {
                    return Ok(response);
                }
                return Err(if work.exposed.get() {
                    Refused::unknown("unknown")
                } else {
                    Refused::later(refusal.reason.name(), refusal.retry_after)
                });
            }
        };
        let again = match work.send(permit, None).await {
            Sent::Answered(response, permit) => match take(work, response, permit).await {
                Taken::Failed(response) if work.route.is_repeatable() => {
                    work.exposed.set(false);
                    failed = Some(response);
                    work.may_repeat()
                }
                Taken::Whole(response) | Taken::Failed(response) => return Ok(response),
                Taken::Broken => work.route.is_repeatable() && work.may_repeat(),
            },
            Sent::NotRun("unreached") => work.may_reconnect(),
            Sent::Barred => true,
            Sent::NotRun(_) => work.may_repeat(),
            Sent::Unknown(_) => work.route.is_repeatable() && work.may_repeat(),
        };
        if again {
            continue;
        }
        if let Some(response) = failed {
            return Ok(response);
        }
        return Err(if work.exposed.get() && work.left().is_zero() {
            Refused::late("timeout")
        } else if work.exposed.get() {
            Refused::unknown("unknown")
        } else {
            Refused::later("turned-away", work.queue.come_back(work.caller_left()))
        });
    }
}

/// What came of an upstream's answer.
enum Taken {
    /// It can be passed on.
    Whole(Response<Body>),
    /// It can be passed on, but tells a failure.
    Failed(Response<Body>),
    /// It broke off.
    Broken,
}

/// Takes an upstream's answer in: streams are passed on as they come, others are
/// read whole first.
async fn take(work: &Rc<Work>, response: Response<Body>, permit: Permit) -> Taken {
    let status = response.status();
    if work.route.kind == Kind::Streaming && status == StatusCode::OK {
        return Taken::Whole(relay::relay(work.clone(), response, permit));
    }
    let (mut parts, body) = response.into_parts();
    clean(&mut parts.headers);
    let Ok(body) = Limited::new(body, MAX_BUFFERED_BYTES).collect().await else {
        let upstream = permit.upstream.clone();
        permit.release(AttemptOutcome::Bad);
        work.record.sent(&upstream, "broken-off");
        work.detect_crash(&upstream).await;
        return Taken::Broken;
    };
    let response = Response::from_parts(parts, Body::full(body.to_bytes()));
    work.record.end(status.as_u16(), "answered");
    if status.is_server_error() {
        // The time that the request had was over; the upstream may be well.
        let late = status == StatusCode::GATEWAY_TIMEOUT;
        permit.release(if late {
            AttemptOutcome::Unknown
        } else {
            AttemptOutcome::Bad
        });
        // These statuses promise that the request didn't run, which this
        // upstream didn't say.
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Taken::Broken;
        }
        return Taken::Failed(response);
    }
    permit.release(AttemptOutcome::Good);
    work.gateway.on_success(work.fingerprint);
    let promises = [StatusCode::TOO_MANY_REQUESTS, StatusCode::REQUEST_TIMEOUT];
    if promises.contains(&status) {
        return Taken::Broken;
    }
    Taken::Whole(response)
}
