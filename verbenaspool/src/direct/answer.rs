//! The entry's own answers.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use verbenaspool_transport::http::body::Body;

/// An answer of the entry itself, which no upstream gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The status.
    pub status: StatusCode,
    /// Why, for the log, the metrics and the caller.
    pub reason: &'static str,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
    /// Whether the caller's connection closes behind it.
    pub close: bool,
}

impl Failure {
    /// An answer by status and reason.
    pub const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            close: false,
        }
    }

    /// The request hasn't run and won't; the caller may come back after a while.
    pub const fn unavailable(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// Nobody knows whether the request ran.
    pub const fn bad_gateway(reason: &'static str) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, reason)
    }

    /// The time that the request had is over, and it may have run.
    pub const fn gateway_timeout(reason: &'static str) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// The answer as the caller gets it.
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
