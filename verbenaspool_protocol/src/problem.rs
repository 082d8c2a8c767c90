//! Errors that callers receive, as JSON with a stable code and a message.

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// The stable code of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The credential is missing or unknown.
    Unauthorized,
    /// The customer may not use the service.
    Forbidden,
    /// No service is configured for the path.
    UnknownService,
    /// The request's body is too large.
    TooLarge,
    /// The request's body was received too slowly.
    SlowSender,
    /// The deadline can't be met.
    Deadline,
    /// There is currently no capacity for the request.
    Overloaded,
    /// No upstream can currently serve the request.
    NoUpstream,
    /// The instance is leaving.
    Leaving,
    /// The attempt was rejected before, or reached another process than the intended one.
    StaleAttempt,
    /// The instance has no configuration yet.
    NotReady,
    /// The idempotency key was used with another request, or its first request is still
    /// in progress.
    KeyConflict,
    /// The platform, which the request needs, is unreachable.
    Platform,
    /// The upstream interrupted its answer, or the answer was lost.
    Upstream,
    /// Upstreams crashed during earlier attempts at the request.
    Quarantined,
}

impl Code {
    /// The HTTP status of the code.
    ///
    /// ```
    /// use verbenaspool_protocol::problem::Code;
    ///
    /// assert_eq!(Code::Overloaded.status(), 429);
    /// ```
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowSender => StatusCode::REQUEST_TIMEOUT,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::KeyConflict => StatusCode::CONFLICT,
            Self::Upstream => StatusCode::BAD_GATEWAY,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::NoUpstream
            | Self::Leaving
            | Self::StaleAttempt
            | Self::NotReady
            | Self::Quarantined
            | Self::Platform => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The stable code.
    pub code: Code,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// What went wrong, as a sentence.
    pub message: String,
    /// After how many milliseconds to retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// A problem with a request that was not executed.
    ///
    /// ```
    /// use verbenaspool_protocol::{outcome::Outcome, problem::{Code, Problem}};
    ///
    /// let problem = Problem::not_run(Code::Leaving, "The instance is leaving.");
    /// assert_eq!(problem.outcome, Outcome::NotRun);
    /// ```
    #[must_use]
    pub fn not_run(code: Code, message: &str) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }

    /// A problem with a request that may have been executed.
    ///
    /// ```
    /// use verbenaspool_protocol::{outcome::Outcome, problem::{Code, Problem}};
    ///
    /// let problem = Problem::unknown(Code::Upstream, "The answer was lost.");
    /// assert_eq!(problem.outcome, Outcome::Unknown);
    /// ```
    #[must_use]
    pub fn unknown(code: Code, message: &str) -> Self {
        Self {
            code,
            outcome: Outcome::Unknown,
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }

    /// Sets the time after which to retry.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_protocol::problem::{Code, Problem};
    ///
    /// let problem = Problem::not_run(Code::Overloaded, "No capacity is free.")
    ///     .with_retry_after(Duration::from_millis(250));
    /// assert_eq!(problem.retry_after_ms, Some(250));
    /// ```
    #[must_use]
    pub fn with_retry_after(mut self, wait: std::time::Duration) -> Self {
        self.retry_after_ms = u64::try_from(wait.as_millis()).ok();
        self
    }
}
