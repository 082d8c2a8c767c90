//! The upstream's answer on its way to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use verbenaspool_policy::attempt::Ending;
use verbenaspool_transport::http::body::{self, Body};

use super::queue::Attempt;

/// An answer's body with the attempt it belongs to.
///
/// It ends the attempt in the balancer when the last byte has passed. A caller
/// that leaves drops it, which closes the connection to the agent and so
/// cancels the work there.
pub struct Answer {
    inner: Body,
    attempt: Attempt,
    prompt_tokens: u32,
    events: Option<Events>,
}

impl Answer {
    /// Wraps an answer's body; `events` where it is a stream of tokens.
    #[must_use]
    pub fn new(inner: Body, attempt: Attempt, prompt_tokens: u32, events: Option<Events>) -> Self {
        let answer = Self {
            inner,
            attempt,
            prompt_tokens,
            events,
        };
        if answer.inner.is_end_stream() {
            answer.finish(Ending::Ran);
        }
        answer
    }

    /// Tells the balancer how the attempt ended.
    fn finish(&self, ending: Ending) {
        let tokens = self.events.as_ref().map_or(0, |events| events.count);
        self.attempt.finish(ending, self.prompt_tokens, tokens);
    }
}

impl http_body::Body for Answer {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            None => self.finish(Ending::Ran),
            Some(Err(_)) => self.finish(Ending::Unknown),
            Some(Ok(frame)) => {
                if let (Some(events), Some(data)) = (&mut self.events, frame.data_ref()) {
                    events.read(data);
                }
                if self.inner.is_end_stream() {
                    self.finish(Ending::Ran);
                }
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Counts the server-sent events that have passed whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Events {
    /// How many have passed.
    pub count: u32,
    /// Whether the last byte was a line's end, carriage returns aside.
    newline: bool,
}

impl Events {
    /// Reads a chunk; an event ends with an empty line, wherever chunks are cut.
    ///
    /// ```
    /// use verbenaspool::entry::answer::Events;
    ///
    /// let mut events = Events::default();
    /// events.read(b"data: net\n");
    /// events.read(b"\ndata: mended\r\n\r\ndata: to");
    /// assert_eq!(events.count, 2);
    /// ```
    pub fn read(&mut self, chunk: &[u8]) {
        for &byte in chunk {
            match byte {
                b'\n' if self.newline => {
                    self.count += 1;
                    self.newline = false;
                }
                b'\n' => self.newline = true,
                b'\r' => {}
                _ => self.newline = false,
            }
        }
    }
}
