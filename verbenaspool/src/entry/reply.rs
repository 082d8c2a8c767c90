//! Answers that the entry gives by itself.

use http::{
    HeaderValue, Response,
    header::{CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE},
};
use verbenaspool_policy::decision::{Reason, Rejection};
use verbenaspool_protocol::{
    header,
    problem::{Code, Problem},
};
use verbenaspool_transport::http::body::Body;

/// The media type of a problem.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// How a caller is told to authenticate.
const BEARER: HeaderValue = HeaderValue::from_static("Bearer");

/// A problem as a response.
///
/// ```
/// use verbenaspool::entry::reply;
/// use verbenaspool_protocol::problem::{Code, Problem};
///
/// let response = reply::problem(&Problem::not_run(Code::Leaving, "The instance is leaving."));
/// assert_eq!(response.status(), 503);
/// assert_eq!(response.headers()["x-verbenaspool-outcome"], "not-run");
/// ```
#[must_use]
pub fn problem(problem: &Problem) -> Response<Body> {
    let text = serde_json::to_vec(problem).unwrap_or_default();
    let mut response = Response::new(Body::full(text));
    *response.status_mut() = problem.code.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, JSON);
    headers.insert(
        header::OUTCOME,
        HeaderValue::from_static(problem.outcome.as_str()),
    );
    if problem.code == Code::Unauthorized {
        headers.insert(WWW_AUTHENTICATE, BEARER);
    }
    if let Some(ms) = problem.retry_after_ms {
        headers.insert(RETRY_AFTER, ms.div_ceil(1000).into());
    }
    response
}

/// A refusal by the balancer as a problem.
///
/// ```
/// use std::time::Duration;
///
/// use verbenaspool::entry::reply;
/// use verbenaspool_policy::decision::{Reason, Rejection};
///
/// let rejection = Rejection { reason: Reason::QueueFull, retry_after: Duration::from_millis(40) };
/// assert_eq!(reply::rejection(rejection).retry_after_ms, Some(40));
/// ```
#[must_use]
pub fn rejection(rejection: Rejection) -> Problem {
    let (code, message) = match rejection.reason {
        Reason::Late => (
            Code::Deadline,
            "The deadline can't be met with the work already ahead.",
        ),
        Reason::Expired => (
            Code::Deadline,
            "The request waited, and its deadline can't be met any more.",
        ),
        Reason::QueueFull => (
            Code::Overloaded,
            "The customer has as many requests waiting as it may.",
        ),
        Reason::Displaced => (
            Code::Overloaded,
            "More urgent work took the request's place in the queue.",
        ),
        Reason::NoUpstream => (
            Code::NoUpstream,
            "No upstream can serve the request at this time.",
        ),
        Reason::NoRetry => (
            Code::Overloaded,
            "The request did not run; repeat it later.",
        ),
    };
    Problem::not_run(code, message).after(rejection.retry_after)
}
