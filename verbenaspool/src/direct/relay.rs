//! Relays a stream of events from an upstream to the caller.
//!
//! If the upstream fails, stalls or becomes slow and the route is resumable, the stream is
//! resumed on another upstream after the last complete event, within the same response.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{
    future::{Either, select},
    stream,
};
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use verbenaspool_platform::header;
use verbenaspool_policy::dispatch::{
    AttemptOutcome, PlacementRequest, Resumption, slow::StallScope,
};
use verbenaspool_transport::http::{
    body::{self, Body},
    client::EndsWithConnection,
    events::{Fault, Progress, Splitter},
    response_limits::{Limit, exceeded_limit},
};

use super::{
    attempt::{PendingRequest, SendOutcome},
    queue::Permit,
};

/// How long a stream may be without an event before it is moved: several passes, and well
/// below the 2 s after which callers leave.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The stall timeout if the whole group is stalled and no other group runs. By then engines
/// have aborted the streams that they can't continue; a stream that continues earlier does so
/// on its current upstream.
const GROUP_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval of checks whether a stream or request should move to another upstream.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reason to leave an upstream: the connection broke.
const BROKEN_REASON: &str = "broken-off";

/// Reason to leave an upstream: the stream ended inside an event.
const TRUNCATED_REASON: &str = "cut-off";

/// Reason to leave an upstream: the stream stalled.
const STALL_REASON: &str = "fell-silent";

/// Reason to leave an upstream: its response has begun, but has no event within the time in which
/// it should have.
const SILENT_REASON: &str = "silent";

/// Reason to leave an upstream: it is slow and delays its whole group.
pub const SLOW_REASON: &str = "slow";

/// A stream that was aborted before its last event.
#[derive(Debug, thiserror::Error)]
#[error("stream aborted: {0}")]
struct Broken(&'static str);

/// The state of a relayed stream.
struct Relay {
    request: Rc<PendingRequest>,
    permit: Option<Permit>,
    /// The body of the current upstream's response, if there is an upstream. An empty body
    /// instead would look like a stream that ended normally.
    body: Option<Body>,
    /// Whether the body ends with the connection, which a crash of the upstream ends as well.
    ends_with_connection: bool,
    splitter: Splitter,
    /// What was received while another upstream was being requested.
    received: VecDeque<Next>,
    /// When the last event arrived, or the response started.
    last_event_at: Duration,
    /// The earliest time to try to move a stalled or slow stream.
    next_move_at: Duration,
    /// Whether the stream has ended or was aborted.
    done: bool,
}

/// The result of waiting for data of a stream.
enum Next {
    /// Bytes were received.
    Data(Bytes),
    /// Events are complete.
    Events(Bytes),
    /// The stream must not be continued from this upstream, for this reason.
    Fault(&'static str),
    /// The upstream ended the stream.
    End,
    /// The connection broke, for this reason.
    Broken(&'static str),
    /// No event was received for too long.
    Stalled,
    /// The response has begun, but has no event in time.
    Silent,
    /// The upstream is slow and delays its whole group.
    Slow,
    /// The request's deadline has passed.
    TimedOut,
}

/// Converts an upstream's response to one whose body is relayed.
pub fn relay(
    request: Rc<PendingRequest>,
    response: Response<Body>,
    permit: Permit,
) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    super::request::strip_hop_headers(&mut parts.headers);
    let now = request.gateway.clock.now();
    let relay = Relay {
        splitter: Splitter::after(header::last_event(&request.headers)),
        request,
        permit: Some(permit),
        body: Some(body),
        ends_with_connection: parts.extensions.get::<EndsWithConnection>().is_some(),
        received: VecDeque::new(),
        last_event_at: now,
        next_move_at: Duration::ZERO,
        done: false,
    };
    let frames = stream::unfold(relay, |relay| async move {
        if relay.done {
            return None;
        }
        relay.next_events().await
    });
    let body = Body::wrap(StreamBody::new(Box::pin(frames)));
    Response::from_parts(parts, body)
}

impl Relay {
    /// Waits for the next complete events. Moves the stream to other upstreams as needed.
    async fn next_events(mut self) -> Option<(Result<Frame<Bytes>, body::Error>, Self)> {
        // Nothing is read from the upstream until the caller has taken the events before, which
        // isn't the upstream's silence.
        self.last_event_at = self.request.gateway.clock.now();
        loop {
            match self.wait_for_data().await {
                Next::Data(bytes) => match self.accept_bytes(&bytes) {
                    Ok(Some(events)) => return Some((Ok(Frame::data(events)), self)),
                    Ok(None) => {}
                    Err(reason) => self.received.push_back(Next::Fault(reason)),
                },
                Next::Events(events) => return Some((Ok(Frame::data(events)), self)),
                Next::End if self.splitter.at_event_end() => {
                    self.release_upstream(AttemptOutcome::Good);
                    self.request.record_success();
                    self.request.record.set_result(200, "whole");
                    let rest = self.splitter.take_rest();
                    self.done = true;
                    return (!rest.is_empty()).then(|| (Ok(Frame::data(rest)), self));
                }
                Next::End => match self.fail_over(TRUNCATED_REASON, AttemptOutcome::Bad).await {
                    Ok(()) => {}
                    Err(reason) => return Some(self.abort(reason)),
                },
                Next::Broken(reason) | Next::Fault(reason) => {
                    match self.fail_over(reason, AttemptOutcome::Bad).await {
                        Ok(()) => {}
                        Err(reason) => return Some(self.abort(reason)),
                    }
                }
                Next::Stalled => match self.try_move(STALL_REASON).await {
                    Ok(()) => {}
                    Err(reason) => return Some(self.abort(reason)),
                },
                Next::Silent => match self.try_move(SILENT_REASON).await {
                    Ok(()) => {}
                    Err(reason) => return Some(self.abort(reason)),
                },
                Next::Slow => match self.try_move(SLOW_REASON).await {
                    Ok(()) => {}
                    Err(reason) => return Some(self.abort(reason)),
                },
                Next::TimedOut => {
                    self.release_upstream(AttemptOutcome::Unknown);
                    return Some(self.abort("timeout"));
                }
            }
        }
    }

    /// Waits for data from the current upstream, or for a reason to leave it.
    async fn wait_for_data(&mut self) -> Next {
        if let Some(next) = self.received.pop_front() {
            return next;
        }
        loop {
            let now = self.request.gateway.clock.now();
            if now >= self.request.deadline {
                return Next::TimedOut;
            }
            if let Some(reason) = self.move_reason(now) {
                return reason;
            }
            let wait = self.request.deadline.saturating_sub(now).min(POLL_INTERVAL);
            let Some(body) = &mut self.body else {
                return Next::Broken("lost");
            };
            match monoio::time::timeout(wait, body.frame()).await {
                Ok(None) if self.is_broken_off().await => return Next::Broken(BROKEN_REASON),
                Ok(None) => return Next::End,
                Ok(Some(Err(error))) => {
                    return match exceeded_limit(&error) {
                        Some(limit) => Next::Fault(self.record_exceeded(limit)),
                        None => Next::Broken(BROKEN_REASON),
                    };
                }
                Ok(Some(Ok(frame))) => return Next::Data(frame.into_data().unwrap_or_default()),
                Err(_) => {}
            }
        }
    }

    /// Whether an answer that ended with its connection was broken off: it has no event, or the
    /// upstream has exited.
    async fn is_broken_off(&self) -> bool {
        self.ends_with_connection
            && (!self.request.is_written() || self.request.is_ended_by_exit().await)
    }

    /// Why the stream should move to another upstream now, if it should.
    fn move_reason(&self, now: Duration) -> Option<Next> {
        let permit = self.permit.as_ref()?;
        if now < self.next_move_at {
            return None;
        }
        if permit.is_slow() {
            return Some(Next::Slow);
        }
        let silent_for = now.saturating_sub(self.last_event_at);
        // Events may have arrived while this entry didn't run; they are read first.
        let overdue = silent_for >= POLL_INTERVAL && now >= self.request.first_event_by.get();
        if overdue && self.request.attempt_events.get() == 0 {
            return Some(Next::Silent);
        }
        if silent_for < STALL_TIMEOUT {
            return None;
        }
        let wait = permit.classify_stall(self.last_event_at) == StallScope::Service
            && silent_for < GROUP_STALL_TIMEOUT;
        (!wait).then_some(Next::Stalled)
    }

    /// Processes received bytes and returns the events that are now complete.
    fn accept_bytes(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, &'static str> {
        let Progress {
            events,
            count,
            fault,
        } = self.splitter.push(bytes);
        let fault = fault.map(|fault| match fault {
            Fault::OutOfOrder => "out-of-order",
            Fault::Exceeded(limit) => self.record_exceeded(limit),
        });
        if count == 0 {
            return fault.map_or(Ok(None), Err);
        }
        self.received.extend(fault.map(Next::Fault));
        let now = self.request.gateway.clock.now();
        if let Some(permit) = &self.permit {
            let pause = now.saturating_sub(self.last_event_at);
            let has_event = self.request.attempt_events.get() > 0;
            permit.record_event((has_event && count == 1).then_some(pause));
            let late = self.request.route.target_gap.is_some_and(|gap| pause > gap);
            if late && self.request.record.is_longest_pause(pause) {
                self.request
                    .record
                    .set_diagnostics(self.request.queue.diagnostics());
            }
        }
        self.last_event_at = now;
        let attempt_events = &self.request.attempt_events;
        attempt_events.set(attempt_events.get() + count);
        self.request.record.record_events(count);
        self.request.check_attempt_sound();
        Ok(Some(events))
    }

    /// Records that the stream exceeded a limit. Returns the reason to leave the upstream.
    fn record_exceeded(&self, limit: Limit) -> &'static str {
        let upstream = self.permit.as_ref().map(|permit| permit.upstream.clone());
        let gateway = &self.request.gateway;
        gateway
            .exceeded_limits
            .record(upstream.as_deref().unwrap_or("-"), limit);
        limit.name()
    }

    /// The placement request for resuming the stream, which waits until the caller leaves. An
    /// engine aborts a stalled stream 1.5 s after its last event, half a second before that.
    fn placement_request(&self, reason: &'static str) -> PlacementRequest {
        PlacementRequest {
            place_by: self.request.caller_leaves_at(self.last_event_at),
            resumption: if reason == SLOW_REASON {
                Resumption::Moved
            } else {
                Resumption::Interrupted
            },
            ..self.request.placement_request()
        }
    }

    /// Leaves the current upstream and resumes the stream on another one.
    async fn fail_over(
        &mut self,
        reason: &'static str,
        outcome: AttemptOutcome,
    ) -> Result<(), &'static str> {
        let upstream = self.permit.as_ref().map(|permit| permit.upstream.clone());
        self.request
            .record
            .record_attempt(upstream.as_deref().unwrap_or("-"), reason);
        self.release_upstream(outcome);
        if let Some(upstream) =
            upstream.filter(|_| [BROKEN_REASON, TRUNCATED_REASON].contains(&reason))
        {
            self.request.detect_crash(&upstream).await;
        }
        if !self.request.route.resumable {
            return Err(reason);
        }
        loop {
            if let Some(block) = self.request.block_reason() {
                return Err(block.name());
            }
            if !self.request.may_retry() {
                return Err(reason);
            }
            let Ok(permit) = self.request.admit(self.placement_request(reason)).await else {
                return Err(reason);
            };
            if self.resume(permit).await {
                return Ok(());
            }
        }
    }

    /// Requests a permit at another upstream while the current one is stalled or slow. If the
    /// current one sends an event first, the stream stays there.
    async fn try_move(&mut self, reason: &'static str) -> Result<(), &'static str> {
        self.next_move_at = self.request.gateway.clock.now() + STALL_TIMEOUT;
        if !self.request.route.resumable || self.request.block_reason().is_some() {
            return Ok(());
        }
        if !self.request.may_retry() {
            // A stream that stays on a slow rank delays the streams of all other ranks. It is
            // aborted, and its caller resumes it after the last complete event.
            return if reason == SLOW_REASON {
                Err(reason)
            } else {
                Ok(())
            };
        }
        let request = self.request.clone();
        let mut placement = self.placement_request(reason);
        if let Some(permit) = &self.permit
            && permit.classify_stall(self.last_event_at) == StallScope::Group
            && reason == STALL_REASON
        {
            placement.excluded.extend(permit.group_members());
        }
        let mut admitted = Box::pin(request.admit(placement));
        let permit = loop {
            let Some(body) = &mut self.body else {
                return Ok(());
            };
            let frame = match select(admitted, Box::pin(body.frame())).await {
                Either::Left((Ok(permit), _)) => break permit,
                Either::Left((Err(_), _)) => return Ok(()),
                Either::Right((frame, rest)) => {
                    admitted = rest;
                    frame
                }
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                end => {
                    self.push_back(end);
                    return Ok(());
                }
            };
            // The events come before a fault that arrived with them.
            match self.accept_bytes(&data) {
                Ok(None) => {}
                Ok(Some(events)) => {
                    self.received.push_front(Next::Events(events));
                    return Ok(());
                }
                Err(reason) => {
                    self.received.push_front(Next::Fault(reason));
                    return Ok(());
                }
            }
        };
        if !self.request.may_retry() {
            return Ok(());
        }
        let upstream = self.permit.as_ref().map(|permit| permit.upstream.clone());
        let upstream = upstream.as_deref().unwrap_or("-");
        self.request.record.record_attempt(upstream, reason);
        // Slowness is known from the agent's reports and isn't counted as a failure.
        let outcome = match reason {
            SLOW_REASON => AttemptOutcome::Unknown,
            SILENT_REASON => {
                let now = request.gateway.clock.now();
                request.silence_outcome(now.saturating_sub(request.sent_at.get()))
            }
            _ => AttemptOutcome::Silent,
        };
        self.release_upstream(outcome);
        if self.resume(permit).await {
            return Ok(());
        }
        self.fail_over(reason, outcome).await
    }

    /// Puts back a frame that arrived while another upstream was being requested.
    fn push_back(&mut self, frame: Option<Result<Frame<Bytes>, body::Error>>) {
        let rest = self.body.take().unwrap_or_else(Body::empty);
        let first = stream::iter(frame);
        let rest = stream::unfold(rest, |mut rest| async move {
            let frame = rest.frame().await?;
            Some((frame, rest))
        });
        let whole = stream::StreamExt::chain(first, rest);
        self.body = Some(Body::wrap(StreamBody::new(Box::pin(whole))));
    }

    /// Resumes the stream on an upstream. Returns whether it succeeded.
    async fn resume(&mut self, permit: Permit) -> bool {
        self.splitter.discard_partial();
        self.received.clear();
        let last = self.splitter.last_id();
        match self.request.send(permit, last).await {
            SendOutcome::Answered(response, permit) if response.status() == StatusCode::OK => {
                let extensions = response.extensions();
                self.ends_with_connection = extensions.get::<EndsWithConnection>().is_some();
                self.body = Some(response.into_body());
                self.permit = Some(permit);
                self.last_event_at = self.request.gateway.clock.now();
                true
            }
            _ => false,
        }
    }

    /// Releases the permit at the current upstream, and closes its connection unless the stream
    /// ended normally.
    fn release_upstream(&mut self, outcome: AttemptOutcome) {
        if let Some(permit) = self.permit.take() {
            permit.release(outcome);
        }
        if outcome != AttemptOutcome::Good {
            self.body = None;
        }
    }

    /// Ends the response with an error, so that it doesn't look complete.
    fn abort(mut self, reason: &'static str) -> (Result<Frame<Bytes>, body::Error>, Self) {
        self.release_upstream(AttemptOutcome::Unknown);
        self.request.record.set_result(200, reason);
        self.done = true;
        (Err(Box::new(Broken(reason))), self)
    }
}
