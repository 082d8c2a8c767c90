//! The upstream's answer on its way to the caller.
//!
//! A broken stream goes on where the engine can resume it, at the last token
//! that the caller got whole. Otherwise the caller's connection is broken as
//! well: a broken answer must never end like a whole one. One that breaks off after
//! its end mark is whole, and ends so.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::{Bytes, BytesMut};
use http_body::{Body as _, Frame, SizeHint};
use verbenaspool_policy::attempt::Ending;
use verbenaspool_protocol::outcome::Outcome;
use verbenaspool_state::{name::Name, service::Kind};
use verbenaspool_transport::{
    clock::Sleep,
    http::body::{self, Body},
    trace::span::Span,
};

use super::{
    events::Counter, exchange::Exchange, forward::Forward, observe::Ended, queue::Attempt,
};

/// How many bytes of an event that isn't whole are held back, in streams that
/// can be resumed. A longer event passes as it comes, and its stream can't be
/// resumed any more.
const MAX_PARTIAL_EVENT_BYTES: usize = 16 * 1024;

/// How often one stream is resumed; engines that break it more often are sick.
const MAX_RESUMES: usize = 3;

/// The moment when an answer is of no use any more.
pub struct Deadline(pub Sleep);

/// An attempt that answers.
pub struct Source {
    /// What comes from the agent.
    pub body: Body,
    /// The attempt.
    pub attempt: Attempt,
    /// The hop.
    pub span: Span,
}

/// Another attempt that is to go on with the answer.
type Resuming = Pin<Box<dyn Future<Output = Option<(Exchange, Vec<Name>)>>>>;

/// Where the answer comes from at this time.
enum State {
    /// From an attempt.
    Reading(Source),
    /// From nowhere, until another attempt goes on.
    Resuming(Resuming),
    /// It ended, well or badly.
    Ended,
}

/// An answer's body with the request it belongs to. A caller that leaves drops
/// it, which closes the connection to the agent and so cancels the work there.
pub struct Answer {
    forward: Rc<Forward>,
    state: State,
    deadline: Option<Deadline>,
    events: Option<Counter>,
    /// The upstreams tried, while the answer can be resumed.
    tried: Option<Vec<Name>>,
    resumes: usize,
    partial_event: BytesMut,
}

impl Answer {
    /// Wraps the answer that a source brings. `events` says whether it is a
    /// stream of events, `tried` which upstreams were tried, if it can be resumed.
    #[must_use]
    pub fn new(
        forward: Rc<Forward>,
        source: Source,
        deadline: Option<Deadline>,
        events: bool,
        tried: Option<Vec<Name>>,
    ) -> Self {
        Self {
            forward,
            state: State::Reading(source),
            deadline,
            events: events.then(Counter::default),
            tried,
            resumes: 0,
            partial_event: BytesMut::new(),
        }
    }

    /// The answer as a body; one without a byte has ended already.
    #[must_use]
    pub fn into_body(mut self) -> Body {
        if self.is_end_stream() {
            self.finish();
            return Body::empty();
        }
        Body::wrap(self)
    }

    /// Ends well.
    fn finish(&mut self) {
        if let Some(fingerprint) = self.forward.fingerprint {
            self.forward.entry.record_success(fingerprint);
        }
        self.close(Ending::Ran, Outcome::Ran);
    }

    /// Ends, and says how.
    fn close(&mut self, ending: Ending, outcome: Outcome) {
        self.end_attempt(ending);
        self.forward.observation.end(Ended::Outcome(outcome));
    }

    /// Ends the attempt at hand.
    fn end_attempt(&mut self, ending: Ending) {
        let state = std::mem::replace(&mut self.state, State::Ended);
        if let State::Reading(mut source) = state {
            if ending != Ending::Ran {
                source.span.fail("the answer broke off");
            }
            let tokens = self.events.as_ref().map_or(0, |events| events.count);
            let prompt = self.forward.prompt.tokens;
            source.attempt.finish(ending, prompt, tokens);
        }
    }

    /// Takes a chunk in and gives what may pass.
    fn process_chunk(&mut self, data: Bytes) -> Bytes {
        let Some(events) = &mut self.events else {
            return data;
        };
        let end = events.read(&data);
        if self.tried.is_none() || end == data.len() && self.partial_event.is_empty() {
            return data;
        }
        if self.partial_event.len() + data.len() > MAX_PARTIAL_EVENT_BYTES {
            self.tried = None;
            self.partial_event.extend_from_slice(&data);
            return self.partial_event.split().freeze();
        }
        // A part of an event that has passed can't be taken back, so it waits
        // for its rest: a resumed stream begins with a whole event.
        self.partial_event.extend_from_slice(&data[..end]);
        let complete = if end > 0 {
            self.partial_event.split().freeze()
        } else {
            Bytes::new()
        };
        self.partial_event.extend_from_slice(&data[end..]);
        complete
    }

    /// Starts to go on with a broken answer, if that is possible.
    fn try_resume(&mut self) -> bool {
        let Some(tried) = self.tried.take() else {
            return false;
        };
        if self.resumes >= MAX_RESUMES {
            return false;
        }
        self.resumes += 1;
        self.end_attempt(Ending::Unknown);
        // Of an event that isn't whole the caller has got nothing.
        self.partial_event.clear();
        let events = self.events.get_or_insert_default();
        events.discard_partial();
        let resuming = self.forward.clone().resume(events.count, tried);
        self.state = State::Resuming(Box::pin(resuming));
        true
    }

    /// Takes over what another attempt goes on with.
    fn continue_from(&mut self, exchange: Exchange, tried: Vec<Name>) {
        self.forward.observation.meter().resumed.count();
        self.tried = Some(tried);
        self.state = State::Reading(Source {
            body: exchange.response.into_body(),
            attempt: exchange.attempt,
            span: exchange.span,
        });
    }

    /// Whether the caller has the whole answer already, though its message hasn't ended.
    fn is_complete(&self) -> bool {
        let marks_end = matches!(self.forward.service.kind, Kind::Model(_));
        marks_end
            && self
                .events
                .as_ref()
                .is_some_and(|events| events.end_mark_seen)
    }

    /// Ends well without the end of the upstream's message.
    fn complete(&mut self) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        self.partial_event.clear();
        self.finish();
        Poll::Ready(None)
    }

    /// Whether the caller's deadline is over.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(deadline) = &mut self.deadline else {
            return false;
        };
        deadline.0.as_mut().poll(cx).is_ready()
    }

    /// Breaks off.
    fn fail(&mut self, error: body::Error) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        self.close(Ending::Unknown, Outcome::Unknown);
        Poll::Ready(Some(Err(error)))
    }
}

impl http_body::Body for Answer {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        loop {
            let frame = match &mut self.state {
                State::Ended => return Poll::Ready(None),
                State::Reading(source) => Pin::new(&mut source.body).poll_frame(cx),
                State::Resuming(resuming) => match resuming.as_mut().poll(cx) {
                    Poll::Ready(Some((exchange, tried))) => {
                        self.continue_from(exchange, tried);
                        continue;
                    }
                    Poll::Ready(None) => {
                        return self.fail("the answer broke off".into());
                    }
                    Poll::Pending => Poll::Pending,
                },
            };
            if frame.is_pending() && self.poll_deadline(cx) {
                if self.is_complete() {
                    return self.complete();
                }
                self.end_attempt(Ending::Cancelled);
                return self.fail("the deadline is over".into());
            }
            match ready!(frame) {
                None => {
                    self.finish();
                    let rest = self.partial_event.split().freeze();
                    return Poll::Ready((!rest.is_empty()).then(|| Ok(Frame::data(rest))));
                }
                Some(Err(_)) if self.is_complete() => return self.complete(),
                Some(Err(_)) if self.try_resume() => {}
                Some(Err(error)) => return self.fail(error),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        // Trailers are dropped: nothing of ours sends any.
                        continue;
                    };
                    let data = self.process_chunk(data);
                    if self.is_end_stream() {
                        self.finish();
                    }
                    if !data.is_empty() {
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.state {
            State::Reading(source) => source.body.is_end_stream() && self.partial_event.is_empty(),
            State::Resuming(_) => false,
            State::Ended => self.partial_event.is_empty(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Reading(source) if self.tried.is_none() => source.body.size_hint(),
            _ => SizeHint::default(),
        }
    }
}
