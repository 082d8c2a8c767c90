//! Error responses that the entry generates itself.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use verbenaspool_transport::http::body::Body;

/// An error response of the entry, as opposed to one forwarded from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The HTTP status.
    pub status: StatusCode,
    /// The reason for logs, metrics and the caller.
    pub reason: &'static str,
    /// The value of Retry-After, if a retry can succeed.
    pub retry_after: Option<Duration>,
    /// Whether the caller's connection is closed after the response.
    pub close: bool,
}

impl Failure {
    /// Creates a failure without a Retry-After.
    pub const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            close: false,
        }
    }

    /// Status 503: the request has not run and will not; the caller may retry.
    pub const fn unavailable(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// Status 502: it is unknown whether the request ran.
    pub const fn bad_gateway(reason: &'static str) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, reason)
    }

    /// Status 504: the request's deadline has passed, and it may have run.
    pub const fn gateway_timeout(reason: &'static str) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// The HTTP response for the caller.
    pub fn into_response(self) -> Response<Body> {
        let mut response = Response::new(Body::full(format!("{}\n", self.reason)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("text/plain");
        headers.insert(header::CONTENT_TYPE, content_type);
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = seconds.parse() {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if self.close {
            let close = HeaderValue::from_static("close");
            headers.insert(header::CONNECTION, close);
        }
        response
    }
}
