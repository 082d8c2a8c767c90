//! The caller's request body, which is streamed to the upstream and can be sent again while
//! little of it has been read.
//!
//! Many callers may upload at once, and some bodies are large or slow. Without limits a few
//! large bodies would fill the memory, and slow ones would hold slots of upstreams. What has
//! been read is buffered only up to a small limit; a larger body can't be sent a second time,
//! so its request is not retried.

use std::{
    cell::RefCell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use verbenaspool_transport::{
    clock::{Clock, Sleep},
    http::body::{self, Body},
};

/// The number of bytes of a body that are buffered for a retry. A usual prompt fits, and 1,000
/// callers use at most 16 MB.
pub const MAX_REPLAY_BYTES: usize = 16 * 1024;

/// Limits on a caller's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The maximum size of a body in bytes.
    pub max_bytes: u64,
    /// The maximum pause between two chunks.
    pub max_pause: Duration,
}

/// Why a caller's body can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The body is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The body paused for too long.
    #[error("the body paused for longer than allowed")]
    Slow,
    /// The body ended early or was malformed.
    #[error("the body ended early or is malformed")]
    Broken,
    /// Too much of the body has been read for it to be sent again.
    #[error("the body can't be sent again")]
    NotReplayable,
}

/// The body, shared between the attempts that send it.
pub struct Upload(Rc<RefCell<Inner>>);

impl std::fmt::Debug for Upload {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Upload").finish_non_exhaustive()
    }
}

struct Inner {
    source: Body,
    bounds: Bounds,
    clock: Rc<dyn Clock>,
    pause_timer: Option<Sleep>,
    /// The chunks read so far; none once they exceed [`MAX_REPLAY_BYTES`] or are released.
    replay_buffer: Option<Vec<Bytes>>,
    bytes_read: u64,
    fault: Option<Fault>,
    /// The number of the view that may read. Earlier views get an error.
    active_view: u64,
}

impl Upload {
    /// Wraps a caller's body.
    #[must_use]
    pub fn new(source: Body, bounds: Bounds, clock: Rc<dyn Clock>) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            source,
            bounds,
            clock,
            pause_timer: None,
            replay_buffer: Some(Vec::new()),
            bytes_read: 0,
            fault: None,
            active_view: 0,
        })))
    }

    /// Why the body can't be read, if it failed.
    #[must_use]
    pub fn fault(&self) -> Option<Fault> {
        self.0.borrow().fault
    }

    /// Whether the body can be sent again from its start.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        let inner = self.0.borrow();
        inner.replay_buffer.is_some() && inner.fault.is_none()
    }

    /// Releases the buffered chunks once the request runs, or replaces them by copies if the
    /// request may be sent again. A chunk is a slice of the whole buffer that it was read into,
    /// which would otherwise live as long as the answer.
    pub fn release_buffer(&self, keep_copy: bool) {
        let mut inner = self.0.borrow_mut();
        let buffer = inner.replay_buffer.take();
        if keep_copy {
            let copied =
                |chunks: Vec<Bytes>| chunks.iter().map(|data| data.to_vec().into()).collect();
            inner.replay_buffer = buffer.map(copied);
        }
    }

    /// The chunks read so far, if they are still buffered.
    #[must_use]
    pub fn buffered(&self) -> Vec<Bytes> {
        self.0.borrow().replay_buffer.clone().unwrap_or_default()
    }

    /// Reads the first chunk, which stays part of the body. Returns none for an empty body.
    ///
    /// # Errors
    /// The body failed before its first chunk.
    pub async fn first_chunk(&self) -> Result<Option<Bytes>, Fault> {
        let mut view = self.body();
        loop {
            match std::future::poll_fn(|cx| Pin::new(&mut view).poll_frame(cx)).await {
                None => return Ok(None),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Ok(Some(data)),
                    Err(_) => return Ok(None),
                },
                Some(Err(_)) => return Err(self.fault().unwrap_or(Fault::Broken)),
            }
        }
    }

    /// Waits for the whole body and returns it. The body must be small enough to be buffered.
    ///
    /// # Errors
    /// The body failed.
    pub async fn read_to_end(&self) -> Result<Vec<Bytes>, Fault> {
        let mut view = self.body();
        while let Some(frame) = std::future::poll_fn(|cx| Pin::new(&mut view).poll_frame(cx)).await
        {
            if frame.is_err() {
                return Err(self.fault().unwrap_or(Fault::Broken));
            }
        }
        Ok(self.buffered())
    }

    /// Returns a view of the body from its start, for one attempt. Earlier views can't read any
    /// more.
    #[must_use]
    pub fn body(&self) -> View {
        let mut inner = self.0.borrow_mut();
        inner.active_view += 1;
        View {
            upload: self.0.clone(),
            number: inner.active_view,
            next_chunk: 0,
        }
    }
}

impl Inner {
    /// Reads the next chunk from the caller.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.source).poll_frame(cx) else {
                return self.poll_pause(cx);
            };
            self.pause_timer = None;
            match frame {
                None => return Poll::Ready(None),
                Some(Err(_)) => return Poll::Ready(Some(Err(Fault::Broken))),
                Some(Ok(frame)) => {
                    // Trailers are dropped: agents and upstreams don't read them.
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(self.record_chunk(data)));
                    }
                }
            }
        }
    }

    /// Fails once the sender has paused for too long: it would hold a slot of the upstream
    /// while it sends hardly anything.
    fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        let timer = self
            .pause_timer
            .get_or_insert_with(|| self.clock.sleep(self.bounds.max_pause));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Some(Err(Fault::Slow)))
    }

    /// Checks the size limit and buffers a chunk.
    fn record_chunk(&mut self, data: Bytes) -> Result<Bytes, Fault> {
        self.bytes_read += data.len() as u64;
        if self.bytes_read > self.bounds.max_bytes {
            return Err(Fault::TooLarge);
        }
        if self.bytes_read > MAX_REPLAY_BYTES as u64 {
            self.replay_buffer = None;
        }
        if let Some(buffer) = &mut self.replay_buffer {
            buffer.push(data.clone());
        }
        Ok(data)
    }
}

/// The body as read by one attempt.
pub struct View {
    upload: Rc<RefCell<Inner>>,
    number: u64,
    next_chunk: usize,
}

impl http_body::Body for View {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        let upload = self.upload.clone();
        let mut inner = upload.borrow_mut();
        if let Some(fault) = inner.fault {
            return Poll::Ready(Some(Err(fault.into())));
        }
        if inner.active_view != self.number {
            return Poll::Ready(Some(Err(Fault::NotReplayable.into())));
        }
        let buffered = inner
            .replay_buffer
            .as_ref()
            .and_then(|chunks| chunks.get(self.next_chunk));
        if let Some(data) = buffered.cloned() {
            self.next_chunk += 1;
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        match ready!(inner.poll_source(cx)) {
            None => Poll::Ready(None),
            Some(Ok(data)) => {
                self.next_chunk += 1;
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Err(fault)) => {
                inner.fault = Some(fault);
                Poll::Ready(Some(Err(fault.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let inner = self.upload.borrow();
        let buffered = inner.replay_buffer.as_ref().map_or(0, Vec::len);
        inner.fault.is_none() && self.next_chunk >= buffered && inner.source.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let inner = self.upload.borrow();
        let Some(rest) = inner.source.size_hint().exact() else {
            return SizeHint::default();
        };
        let unread: usize = inner.replay_buffer.as_ref().map_or(0, |chunks| {
            chunks[self.next_chunk..].iter().map(Bytes::len).sum()
        });
        SizeHint::with_exact(rest + unread as u64)
    }
}
