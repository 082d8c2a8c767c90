//! The time for which a server wants no further requests, as its rejections state it.

use std::time::Duration;

use http::{HeaderMap, StatusCode, header::RETRY_AFTER};

/// The longest time that is read, a month.
const MAX_RETRY_AFTER_SECONDS: f64 = 30.0 * 24.0 * 3_600.0;

/// What the head of a rejection says about further requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// The server wants none for this time.
    Wait(Duration),
    /// It names a time that can't be read.
    Unreadable,
}

/// Parses the time of a rejection with status 503, in seconds, with or without a fraction; `None`
/// if a response names no time or isn't such a rejection. A date counts as unreadable, because the
/// time of day differs between instances.
///
/// ```
/// use std::time::Duration;
///
/// use http::{HeaderMap, StatusCode};
/// use verbenaspool_transport::http::retry_after::{self, RetryAfter};
///
/// let mut headers = HeaderMap::new();
/// headers.insert("retry-after", "1.5".parse().unwrap());
/// let wait = RetryAfter::Wait(Duration::from_millis(1_500));
/// assert_eq!(retry_after::parse(StatusCode::SERVICE_UNAVAILABLE, &headers), Some(wait));
/// assert_eq!(retry_after::parse(StatusCode::OK, &headers), None);
/// ```
#[must_use]
pub fn parse(status: StatusCode, headers: &HeaderMap) -> Option<RetryAfter> {
    let value = headers.get(RETRY_AFTER)?;
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = value.to_str().unwrap_or_default().trim();
    let seconds = text.parse::<f64>().ok();
    let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
    Some(seconds.map_or(RetryAfter::Unreadable, |seconds| {
        RetryAfter::Wait(Duration::from_secs_f64(
            seconds.min(MAX_RETRY_AFTER_SECONDS),
        ))
    }))
}
