//! Streams the tokens of an answer, one per step.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame};
use http_body_util::BodyExt;

use verbenaspool_transport::{clock::Sleep, http::body::Error};

use super::{Completion, Parts, batch::Slot, text};

/// The tokens of an answer as a response body. A body that is dropped before its end, as when the
/// caller leaves, leaves the batch at once.
pub struct Stream {
    parts: Rc<Parts>,
    slot: Option<Slot>,
    prompt: String,
    next: u32,
    end: u32,
    /// The token at which the stream fails.
    fail_at: Option<u32>,
    step: Sleep,
    streamed: bool,
}

impl Stream {
    pub(crate) fn new(parts: Rc<Parts>, slot: Slot, completion: &Completion, offset: u32) -> Self {
        for _ in 0..offset {
            slot.record_token();
        }
        let prompt = if parts.faults.take_other_answer() {
            format!("not {}", completion.prompt)
        } else {
            completion.prompt.clone()
        };
        Self {
            fail_at: parts.faults.take_token_failure(),
            step: parts.batch.step(),
            slot: Some(slot),
            prompt,
            next: offset,
            end: completion.max_tokens,
            streamed: completion.stream,
            parts,
        }
    }

    /// Collects the tokens into one text.
    pub(crate) async fn collect(self) -> Result<String, Error> {
        let bytes = BodyExt::collect(self).await?.to_bytes();
        String::from_utf8(bytes.to_vec()).map_err(Into::into)
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.fail_at == Some(self.next) {
            return Poll::Ready(Some(Err("the engine broke off".into())));
        }
        if self.next >= self.end {
            let send_done_event = self.slot.take().is_some() && self.streamed;
            return Poll::Ready(send_done_event.then(|| Ok(Frame::data(text::DONE_EVENT.into()))));
        }
        ready!(self.step.as_mut().poll(cx));
        self.step = self.parts.batch.step();
        if let Some(slot) = &self.slot {
            slot.record_token();
        }
        let token = if self.streamed {
            text::event(&self.prompt, self.next)
        } else {
            text::token(&self.prompt, self.next)
        };
        self.next += 1;
        Poll::Ready(Some(Ok(Frame::data(token.into()))))
    }
}

/// A body that fails at once.
pub(crate) struct Broken;

impl Body for Broken {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        Poll::Ready(Some(Err("the engine broke off".into())))
    }
}
