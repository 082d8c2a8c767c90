//! A stream on its way from an upstream to the caller, event by event.
//!
//! Where the upstream breaks off or falls silent and the route may be resumed,
//! the stream goes on at another upstream after the last whole event, inside
//! the same answer.

use std::{rc::Rc, time::Duration};

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
use verbenaspool_transport::http::body::{self, Body};

use super::{
    attempt::{Sent, Work},
    events::Events,
    queue::Permit,
};

/// How long a stream may be silent before it is moved: several passes, and well
/// below the two seconds after which callers leave.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The same where its whole group is silent and no other one runs: an engine cuts off
/// what can't go on by then, and whatever goes on sooner comes from this upstream.
const GROUP_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How often it is looked whether a silent stream should be moved.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why a stream leaves an upstream: its connection broke.
const BROKEN_REASON: &str = "broken-off";

/// Why a stream leaves an upstream: it ended inside an event.
const CUT_REASON: &str = "cut-off";

/// Why a stream leaves an upstream: nothing came for too long.
const SILENT_REASON: &str = "fell-silent";

/// Why a stream leaves an upstream: it holds back its whole group.
pub const SLOW_REASON: &str = "slow";

/// A stream that ends before its last event.
#[derive(Debug, thiserror::Error)]
#[error("the stream broke off: {0}")]
struct Broken(&'static str);

/// A stream on its way.
struct Relay {
    work: Rc<Work>,
    permit: Option<Permit>,
    /// What the present upstream sends; none while there is no upstream. An empty
    /// body instead would look like a stream that ended whole.
    body: Option<Body>,
    events: Events,
    /// When the last event came, or the answer began.
    since: Duration,
    /// Whether an event has come from the present upstream.
    flows: bool,
    /// Until when a silent stream isn't tried to be moved.
    stays: Duration,
    over: bool,
}

/// What came of waiting for more of a stream.
enum Next {
    /// Bytes.
    Data(Bytes),
    /// The upstream ended the stream.
    End,
    /// The upstream broke off.
    Broken(&'static str),
    /// Nothing came for too long.
    Silent,
    /// The upstream is slow, and holds back its whole group.
    Slow,
    /// The request's time is over.
    Late,
}

/// The answer whose body is relayed.
pub fn relay(work: Rc<Work>, response: Response<Body>, permit: Permit) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    super::request::clean(&mut parts.headers);
    let now = work.gateway.clock.now();
    let relay = Relay {
        events: Events::after(header::resumed(&work.headers)),
        work,
        permit: Some(permit),
        body: Some(body),
        since: now,
        flows: false,
        stays: Duration::ZERO,
        over: false,
    };
    let frames = stream::unfold(relay, |relay| async move {
        if relay.over {
            return None;
        }
        relay.next().await
    });
    let body = Body::wrap(StreamBody::new(Box::pin(frames)));
    Response::from_parts(parts, body)
}

impl Relay {
    /// The next whole events.
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, body::Error>, Self)> {
        loop {
            match self.wait().await {
                Next::Data(bytes) => match self.take(&bytes) {
                    Ok(Some(events)) => return Some((Ok(Frame::data(events)), self)),
                    Ok(None) => {}
                    Err(why) => match self.move_on(why, AttemptOutcome::Bad).await {
                        Ok(()) => {}
                        Err(why) => return Some(self.fail(why)),
                    },
                },
                Next::End if self.events.is_whole() => {
                    self.finish(AttemptOutcome::Good);
                    self.work.gateway.on_success(self.work.fingerprint);
                    self.work.record.end(200, "whole");
                    return None;
                }
                Next::End => match self.move_on(CUT_REASON, AttemptOutcome::Bad).await {
                    Ok(()) => {}
                    Err(why) => return Some(self.fail(why)),
                },
                Next::Broken(why) => match self.move_on(why, AttemptOutcome::Bad).await {
                    Ok(()) => {}
                    Err(why) => return Some(self.fail(why)),
                },
                Next::Silent => match self.escape(SILENT_REASON).await {
                    Ok(()) => {}
                    Err(why) => return Some(self.fail(why)),
                },
                Next::Slow => match self.escape(SLOW_REASON).await {
                    Ok(()) => {}
                    Err(why) => return Some(self.fail(why)),
                },
                Next::Late => {
                    self.finish(AttemptOutcome::Unknown);
                    return Some(self.fail("timeout"));
                }
            }
        }
    }

    /// Waits for more.
    async fn wait(&mut self) -> Next {
        loop {
            let now = self.work.gateway.clock.now();
            if now >= self.work.deadline {
                return Next::Late;
            }
            if let Some(why) = self.leaves(now) {
                return why;
            }
            let wait = self.work.deadline.saturating_sub(now).min(POLL_INTERVAL);
            let Some(body) = &mut self.body else {
                return Next::Broken("lost");
            };
            match monoio::time::timeout(wait, body.frame()).await {
                Ok(None) => return Next::End,
                Ok(Some(Err(_))) => return Next::Broken(BROKEN_REASON),
                Ok(Some(Ok(frame))) => return Next::Data(frame.into_data().unwrap_or_default()),
                Err(_) => {}
            }
        }
    }

    /// Why the stream should go on at another upstream, if it should.
    fn leaves(&self, now: Duration) -> Option<Next> {
        let permit = self.permit.as_ref()?;
        if now < self.stays {
            return None;
        }
        if permit.is_slow() {
            return Some(Next::Slow);
        }
        let silent = now.saturating_sub(self.since);
        if silent < STALL_TIMEOUT {
            return None;
        }
        let waits =
            permit.silence(self.since) == StallScope::Service && silent < GROUP_STALL_TIMEOUT;
        (!waits).then_some(Next::Silent)
    }

    /// Takes bytes in and returns the whole events among them.
    fn take(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, &'static str> {
        let (events, count) = self.events.push(bytes).map_err(|_| "out-of-order")?;
        if count == 0 {
            return Ok(None);
        }
        let now = self.work.gateway.clock.now();
        if let Some(permit) = &self.permit {
            let pause = now.saturating_sub(self.since);
            permit.event((self.flows && count == 1).then_some(pause));
            let late = self.work.route.target_gap.is_some_and(|gap| pause > gap);
            if late && self.work.record.is_longest(pause) {
                self.work.record.known(self.work.queue.known());
            }
        }
        self.since = now;
        self.flows = true;
        self.work.record.events(count);
        Ok(Some(events))
    }

    /// What the stream asks for to go on elsewhere, until its caller leaves: an engine
    /// cuts off what stalls 1.5 s after the last event, half a second before that.
    fn ask(&self, why: &'static str) -> PlacementRequest {
        PlacementRequest {
            place_by: self.work.leaves(self.since),
            resumption: if why == SLOW_REASON {
                Resumption::Moved
            } else {
                Resumption::Interrupted
            },
            ..self.work.ask()
        }
    }

    /// Goes on at another upstream, after the last whole event.
    async fn move_on(
        &mut self,
        why: &'static str,
        ending: AttemptOutcome,
    ) -> Result<(), &'static str> {
        let from = self.permit.as_ref().map(|permit| permit.upstream.clone());
        self.work.record.sent(from.as_deref().unwrap_or("-"), why);
        self.finish(ending);
        if let Some(upstream) = from.filter(|_| [BROKEN_REASON, CUT_REASON].contains(&why)) {
            self.work.detect_crash(&upstream).await;
        }
        if !self.work.route.resumable {
            return Err(why);
        }
        loop {
            if let Some(bar) = self.work.barred() {
                return Err(bar.reason());
            }
            if !self.work.may_repeat() {
                return Err(why);
            }
            let Ok(permit) = self.work.admit(self.ask(why)).await else {
                return Err(why);
            };
            if self.resume(permit).await {
                return Ok(());
            }
        }
    }

    /// Looks for another upstream while the present one is silent or slow; where it
    /// goes on first, nothing is lost.
    async fn escape(&mut self, why: &'static str) -> Result<(), &'static str> {
        self.stays = self.work.gateway.clock.now() + STALL_TIMEOUT;
        if !self.work.route.resumable || self.work.barred().is_some() {
            return Ok(());
        }
        if !self.work.may_repeat() {
            // A stream that stays on a slow rank holds back the streams of all others. Its
            // caller resumes it after the last whole event.
            return if why == SLOW_REASON { Err(why) } else { Ok(()) };
        }
        let work = self.work.clone();
        let mut ask = self.ask(why);
        if let Some(permit) = &self.permit
            && permit.silence(self.since) == StallScope::Group
            && why == SILENT_REASON
        {
            ask.excluded.extend(permit.group_members());
        }
        let Some(body) = &mut self.body else {
            return Ok(());
        };
        let admitted = Box::pin(work.admit(ask));
        let frame = Box::pin(body.frame());
        let permit = match select(admitted, frame).await {
            Either::Left((Ok(permit), frame)) => {
                drop(frame);
                permit
            }
            Either::Left((Err(_), _)) => return Ok(()),
            Either::Right((frame, admitted)) => {
                drop(admitted);
                self.keep(frame);
                return Ok(());
            }
        };
        if !self.work.may_repeat() {
            return Ok(());
        }
        let from = self.permit.as_ref().map(|permit| permit.upstream.clone());
        let from = from.as_deref().unwrap_or("-");
        self.work.record.sent(from, why);
        // A slow upstream is known to be so by the report of its agent.
        let ending = if why == SLOW_REASON {
            AttemptOutcome::Unknown
        } else {
            AttemptOutcome::Silent
        };
        self.finish(ending);
        if self.resume(permit).await {
            return Ok(());
        }
        self.move_on(why, ending).await
    }

    /// Puts back what came while another upstream was looked for.
    fn keep(&mut self, frame: Option<Result<Frame<Bytes>, body::Error>>) {
        let rest = self.body.take().unwrap_or_else(Body::empty);
        let first = stream::iter(frame);
        let rest = stream::unfold(rest, |mut rest| async move {
            let frame = rest.frame().await?;
            Some((frame, rest))
        });
        let whole = stream::StreamExt::chain(first, rest);
        self.body = Some(Body::wrap(StreamBody::new(Box::pin(whole))));
    }

    /// Resumes the stream at an upstream.
    async fn resume(&mut self, permit: Permit) -> bool {
        self.events.cut();
        let last = self.events.last();
        match self.work.send(permit, last).await {
            Sent::Answered(response, permit) if response.status() == StatusCode::OK => {
                self.body = Some(response.into_body());
                self.permit = Some(permit);
                self.since = self.work.gateway.clock.now();
                self.flows = false;
                true
            }
            _ => false,
        }
    }

    /// Gives the permit at the present upstream back, and closes its connection.
    fn finish(&mut self, ending: AttemptOutcome) {
        if let Some(permit) = self.permit.take() {
            permit.release(ending);
        }
        if ending != AttemptOutcome::Good {
            self.body = None;
        }
    }

    /// Breaks the answer off, so that it can't look whole.
    fn fail(mut self, why: &'static str) -> (Result<Frame<Bytes>, body::Error>, Self) {
        self.finish(AttemptOutcome::Unknown);
        self.work.record.end(200, why);
        self.over = true;
        (Err(Box::new(Broken(why))), self)
    }
}
