//! Errors as callers get them: JSON with a stable code and a sentence.

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// The stable code of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The request is not well formed.
    BadRequest,
    /// The credential is missing or stands for nobody.
    Unauthorized,
    /// The customer may not use the service.
    Forbidden,
    /// No service has the path.
    UnknownService,
    /// The request's body is too large.
    TooLarge,
    /// The request's body came too slowly.
    SlowSender,
    /// The deadline can't be met.
    Deadline,
    /// There is no capacity for the request now.
    Overloaded,
    /// No upstream can serve the request now.
    NoUpstream,
    /// The instance is leaving.
    Leaving,
    /// The attempt was refused before, or by another process than was meant.
    StaleAttempt,
    /// The instance has no configuration yet.
    NotReady,
    /// The same idempotency key came with another request, or its first
    /// request is still open.
    KeyConflict,
    /// The platform can't be reached, and the request needs it.
    Platform,
    /// The upstream broke off or the answer was lost.
    Upstream,
    /// Upstreams crash under the request.
    Quarantined,
}

impl Code {
    /// The HTTP status that goes with the code.
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

/// The body of an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The stable code.
    pub code: Code,
    /// What became of the request.
    pub outcome: Outcome,
    /// What went wrong, in a sentence.
    pub message: String,
    /// When a repeat makes sense, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// A problem of a request that did not run.
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

    /// A problem of a request that may have run.
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

    /// The same problem with a time after which a repeat makes sense.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_protocol::problem::{Code, Problem};
    ///
    /// let problem = Problem::not_run(Code::Overloaded, "No capacity is free.")
    ///     .after(Duration::from_millis(250));
    /// assert_eq!(problem.retry_after_ms, Some(250));
    /// ```
    #[must_use]
    pub fn after(mut self, wait: std::time::Duration) -> Self {
        self.retry_after_ms = u64::try_from(wait.as_millis()).ok();
        self
    }
}
