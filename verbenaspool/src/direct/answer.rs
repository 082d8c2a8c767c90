//! The entry's own answers.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use verbenaspool_transport::http::body::Body;

/// An answer of the entry itself, which no upstream gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// The status.
    pub status: StatusCode,
    /// Why, for the log, the metrics and the caller.
    pub why: &'static str,
    /// When to come back, where that helps.
    pub after: Option<Duration>,
    /// Whether the caller's connection closes behind it.
    pub close: bool,
}

impl Refused {
    /// An answer by status and reason.
    pub const fn new(status: StatusCode, why: &'static str) -> Self {
        Self {
            status,
            why,
            after: None,
            close: false,
        }
    }

    /// The request hasn't run and won't; the caller may come back after a while.
    pub const fn later(why: &'static str, after: Duration) -> Self {
        Self {
            after: Some(after),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, why)
        }
    }

    /// Nobody knows whether the request ran.
    pub const fn unknown(why: &'static str) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, why)
    }

    /// The time that the request had is over, and it may have run.
    pub const fn late(why: &'static str) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, why)
    }

    /// The answer as the caller gets it.
    pub fn response(self) -> Response<Body> {
        let mut response = Response::new(Body::full(format!("{}\n", self.why)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let text = HeaderValue::from_static("text/plain");
        headers.insert(header::CONTENT_TYPE, text);
        if let Some(after) = self.after {
            let seconds = format!("{:.3}", after.as_secs_f64());
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
