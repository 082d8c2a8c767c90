//! Streams the upstream's answer to the caller.
//!
//! A broken stream is resumed, if the engine can do so, after the last token that the caller
//! received completely. Otherwise the caller's connection is broken as well: an incomplete
//! answer must never end like a complete one. An answer that breaks off after its end mark is
//! complete and ends normally.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
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

/// The maximum size of an incomplete event that is held back in a resumable stream. A longer
/// event is forwarded as it arrives, and its stream can't be resumed any more.
const MAX_PARTIAL_EVENT_BYTES: usize = 16 * 1024;

/// The maximum number of times one stream is resumed; engines that break it more often are
/// faulty.
const MAX_RESUMES: usize = 3;

/// The timer of the caller's deadline, after which the answer is of no use.
pub struct Deadline(pub Sleep);

/// An attempt and the answer it brings.
pub struct Source {
    /// The body of the agent's answer.
    pub body: Body,
    /// The attempt.
    pub attempt: Attempt,
    /// The span of the attempt.
    pub span: Span,
}

/// The pending search for an attempt that resumes the answer.
type Resuming = Pin<Box<dyn Future<Output = Option<(Exchange, Vec<Name>)>>>>;

/// The state of an answer.
enum State {
    /// The answer is read from an attempt.
    Reading(Source),
    /// Another attempt is being started to resume the answer.
    Resuming(Resuming),
    /// The answer ended, complete or not.
    Ended,
}

/// The body of an answer. It is dropped when the caller leaves, which closes the connection to
/// the agent and so cancels the work there.
pub struct Answer {
    forward: Rc<Forward>,
    state: State,
    /// When the current attempt started to answer.
    started_at: Duration,
    deadline: Option<Deadline>,
    events: Option<Counter>,
    /// The upstreams tried so far, while the answer can be resumed.
    tried: Option<Vec<Name>>,
    resumes: usize,
    partial_event: BytesMut,
}

impl Answer {
    /// Wraps the answer from a source. `events` says whether it is an event stream; `tried`
    /// lists the upstreams tried, if it can be resumed.
    #[must_use]
    pub fn new(
        forward: Rc<Forward>,
        source: Source,
        deadline: Option<Deadline>,
        events: bool,
        tried: Option<Vec<Name>>,
    ) -> Self {
        Self {
            started_at: forward.entry.clock.now(),
            forward,
            state: State::Reading(source),
            deadline,
            events: events.then(Counter::default),
            tried,
            resumes: 0,
            partial_event: BytesMut::new(),
        }
    }

    /// Converts the answer to a body. An answer without content ends here.
    #[must_use]
    pub fn into_body(mut self) -> Body {
        if self.is_end_stream() {
            self.finish();
            return Body::empty();
        }
        Body::wrap(self)
    }

    /// Ends a complete answer.
    fn finish(&mut self) {
        if let Some(subject) = &self.forward.subject {
            self.forward.entry.record_success(subject, self.started_at);
        }
        self.close(Ending::Ran, Outcome::Ran);
    }

    /// Ends the answer and records its outcome.
    fn close(&mut self, ending: Ending, outcome: Outcome) {
        self.end_attempt(ending);
        self.forward.observation.end(Ended::Outcome(outcome));
    }

    /// Ends the current attempt.
    fn end_attempt(&mut self, ending: Ending) {
        let state = std::mem::replace(&mut self.state, State::Ended);
        if let State::Reading(mut source) = state {
            if ending != Ending::Ran {
                source.span.fail("the answer was interrupted");
            }
            let tokens = self.events.as_ref().map_or(0, |events| events.count);
            let prompt = self.forward.prompt.tokens;
            source.attempt.finish(ending, prompt, tokens);
        }
    }

    /// Processes a chunk and returns the data that may be forwarded.
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
        // Forwarded data can't be taken back, and a resumed stream starts with a whole event,
        // so an incomplete event is held back.
        self.partial_event.extend_from_slice(&data[..end]);
        let complete = if end > 0 {
            self.partial_event.split().freeze()
        } else {
            Bytes::new()
        };
        self.partial_event.extend_from_slice(&data[end..]);
        complete
    }

    /// Starts to resume a broken answer. Returns false if that isn't possible.
    fn try_resume(&mut self) -> bool {
        let Some(tried) = self.tried.take() else {
            return false;
        };
        if self.resumes >= MAX_RESUMES {
            return false;
        }
        self.resumes += 1;
        self.end_attempt(Ending::Unknown);
        // The caller has received nothing of an incomplete event.
        self.partial_event.clear();
        let events = self.events.get_or_insert_default();
        events.discard_partial();
        let resuming = self.forward.clone().resume(events.count, tried);
        self.state = State::Resuming(Box::pin(resuming));
        true
    }

    /// Continues the answer from another attempt.
    fn continue_from(&mut self, exchange: Exchange, tried: Vec<Name>) {
        self.forward.observation.meter().resumed.increment();
        self.tried = Some(tried);
        self.started_at = self.forward.entry.clock.now();
        self.state = State::Reading(Source {
            body: exchange.response.into_body(),
            attempt: exchange.attempt,
            span: exchange.span,
        });
    }

    /// Whether the answer is complete, though the upstream's message hasn't ended.
    fn is_complete(&self) -> bool {
        let marks_end = matches!(self.forward.service.kind, Kind::Model(_));
        marks_end
            && self
                .events
                .as_ref()
                .is_some_and(|events| events.end_mark_seen)
    }

    /// Ends a complete answer before the upstream's message ends.
    fn complete(&mut self) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        self.partial_event.clear();
        self.finish();
        Poll::Ready(None)
    }

    /// Whether the caller's deadline has passed.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(deadline) = &mut self.deadline else {
            return false;
        };
        deadline.0.as_mut().poll(cx).is_ready()
    }

    /// Ends an incomplete answer with an error.
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
                        return self.fail("the answer was interrupted".into());
                    }
                    Poll::Pending => Poll::Pending,
                },
            };
            if frame.is_pending() && self.poll_deadline(cx) {
                if self.is_complete() {
                    return self.complete();
                }
                self.end_attempt(Ending::Cancelled);
                return self.fail("the deadline has passed".into());
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
                        // Trailers are dropped: agents send none.
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
