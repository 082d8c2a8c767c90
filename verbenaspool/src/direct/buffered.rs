//! Receives the body of a response that isn't a stream, before any of it is forwarded.
//!
//! An upstream in trouble may send a body byte by byte, or without end. A request that may be
//! repeated leaves it while there is time for another attempt.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use http_body_util::BodyExt;
use verbenaspool_policy::dispatch::AttemptOutcome;
use verbenaspool_transport::http::{
    body::Body,
    progress::BodyProgress,
    response_limits::{Limit, exceeded_limit},
};

use super::{attempt::PendingRequest, queue::Permit};

/// The largest response that is buffered before it is forwarded, so that the request can be
/// retried if the connection breaks. Responses that aren't streams have a few kilobytes.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Interval of checks whether a body can still end in time: a fraction of the time over which its
/// rate is measured.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A check that comes this late shows that the entry itself was stopped. The rate then says nothing
/// about the upstream.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(75);

/// Why a body wasn't received.
#[derive(Debug)]
pub enum Failure {
    /// Its connection broke.
    Broken,
    /// It exceeded a limit.
    Exceeded(Limit),
}

/// Receives a complete body.
///
/// # Errors
/// It can't be forwarded. A body that is only too slow fails if the request can be sent to another
/// upstream; otherwise it may still end by the deadline.
pub async fn receive_body(
    request: &PendingRequest,
    permit: &Permit,
    mut body: Body,
) -> Result<Bytes, Failure> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) {
        return Err(Failure::Exceeded(Limit::BodyBytes));
    }
    let clock = &request.gateway.clock;
    let mut progress = BodyProgress::new(clock.now(), length);
    let mut received = BytesMut::new();
    let mut is_slow = false;
    loop {
        let check_due = clock.now() + CHECK_INTERVAL;
        let frame = monoio::time::timeout(CHECK_INTERVAL, body.frame()).await;
        let now = clock.now();
        if now > check_due + MAX_CHECK_DELAY {
            progress.restart(now);
        }
        match frame {
            Ok(None) => return Ok(received.freeze()),
            Ok(Some(Err(error))) => {
                return Err(exceeded_limit(&error).map_or(Failure::Broken, Failure::Exceeded));
            }
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                if received.len() + data.len() > MAX_BUFFERED_BYTES {
                    return Err(Failure::Exceeded(Limit::BodyBytes));
                }
                progress.record(now, data.len());
                received.extend_from_slice(&data);
            }
            Err(_) => {}
        }
        if progress.can_end_by(now, request.deadline) {
            continue;
        }
        if request.route.is_retryable() && request.may_retry() {
            return Err(Failure::Exceeded(Limit::BodyRate));
        }
        // The deadline may pass within the body, which drops the permit.
        if !std::mem::replace(&mut is_slow, true) {
            permit.set_outcome(AttemptOutcome::Bad);
            if !request.route.is_retryable() {
                let gateway = &request.gateway;
                gateway
                    .exceeded_limits
                    .record(&permit.upstream, Limit::BodyRate);
            }
        }
    }
}

/// Records the failure of a body and releases its permit.
pub async fn record_failure(request: &PendingRequest, permit: Permit, failure: Failure) {
    let upstream = permit.upstream.clone();
    permit.release(AttemptOutcome::Bad);
    match failure {
        Failure::Broken => {
            request.record.record_attempt(&upstream, "broken-off");
            request.detect_crash(&upstream).await;
        }
        Failure::Exceeded(limit) => {
            request.is_interrupted.set(true);
            request.record.record_attempt(&upstream, limit.name());
            request.gateway.exceeded_limits.record(&upstream, limit);
        }
    }
}
