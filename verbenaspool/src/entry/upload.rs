//! The caller's request body, which passes on as it comes and can be sent again
//! as long as little of it has passed.
//!
//! Load: many callers that upload at once, some of them large or slow. Without
//! bounds a few large bodies would fill the memory, and slow ones would hold
//! slots of upstreams. What passed is kept only up to a small bound; a body
//! that outgrew it can't be sent a second time, and its request is not retried.

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

/// How many bytes of a body are kept for a second sending. A usual prompt fits,
/// and 1,000 callers hold at most 16 MB.
pub const MAX_REPLAY_BYTES: usize = 16 * 1024;

/// Bounds on a caller's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The largest body in bytes.
    pub bytes: u64,
    /// The longest pause between two chunks.
    pub pause: Duration,
}

/// What a caller's body did wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// It paused for too long.
    #[error("the body paused for too long")]
    Slow,
    /// It broke off or was malformed.
    #[error("the body broke off")]
    Broken,
    /// Too much of it has passed to be sent again.
    #[error("the body can't be sent again")]
    Gone,
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
    pause: Option<Sleep>,
    /// What passed already; none once it outgrew its bound.
    kept: Option<Vec<Bytes>>,
    passed: u64,
    fault: Option<Fault>,
    /// The attempt that may read; earlier ones get nothing more.
    reader: u64,
}

impl Upload {
    /// Takes a caller's body.
    #[must_use]
    pub fn new(source: Body, bounds: Bounds, clock: Rc<dyn Clock>) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            source,
            bounds,
            clock,
            pause: None,
            kept: Some(Vec::new()),
            passed: 0,
            fault: None,
            reader: 0,
        })))
    }

    /// What the caller did wrong, if it did.
    #[must_use]
    pub fn fault(&self) -> Option<Fault> {
        self.0.borrow().fault
    }

    /// Whether the body can be sent from its start.
    #[must_use]
    pub fn replayable(&self) -> bool {
        let inner = self.0.borrow();
        inner.kept.is_some() && inner.fault.is_none()
    }

    /// The request runs: what passed is let go, or, where it may be sent again,
    /// copied. A chunk is a window into the whole buffer that it was read into,
    /// which would live as long as the answer.
    pub fn settle(&self, keep: bool) {
        let mut inner = self.0.borrow_mut();
        let kept = inner.kept.take();
        if keep {
            let copied = |kept: Vec<Bytes>| kept.iter().map(|data| data.to_vec().into()).collect();
            inner.kept = kept.map(copied);
        }
    }

    /// What has passed so far and is kept.
    #[must_use]
    pub fn kept(&self) -> Vec<Bytes> {
        self.0.borrow().kept.clone().unwrap_or_default()
    }

    /// The first chunk, which stays part of the body; none for an empty body.
    ///
    /// # Errors
    /// The body is faulty from the start.
    pub async fn first(&self) -> Result<Option<Bytes>, Fault> {
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

    /// Waits until all of the body is here, and gives it. To be asked only of a body that is
    /// small enough to be kept.
    ///
    /// # Errors
    /// The body is faulty.
    pub async fn whole(&self) -> Result<Vec<Bytes>, Fault> {
        let mut view = self.body();
        while let Some(frame) = std::future::poll_fn(|cx| Pin::new(&mut view).poll_frame(cx)).await
        {
            if frame.is_err() {
                return Err(self.fault().unwrap_or(Fault::Broken));
            }
        }
        Ok(self.kept())
    }

    /// The body from its start, for one attempt.
    #[must_use]
    pub fn body(&self) -> View {
        let mut inner = self.0.borrow_mut();
        inner.reader += 1;
        View {
            upload: self.0.clone(),
            reader: inner.reader,
            next: 0,
        }
    }
}

impl Inner {
    /// The next chunk from the caller.
    fn pull(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.source).poll_frame(cx) else {
                return self.wait(cx);
            };
            self.pause = None;
            match frame {
                None => return Poll::Ready(None),
                Some(Err(_)) => return Poll::Ready(Some(Err(Fault::Broken))),
                Some(Ok(frame)) => {
                    // Trailers are dropped: nothing behind us reads them.
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(self.take(data)));
                    }
                }
            }
        }
    }

    /// Ends a sender that pauses too long: it would hold a slot of the upstream
    /// with hardly a byte sent.
    fn wait(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        let pause = self
            .pause
            .get_or_insert_with(|| self.clock.sleep(self.bounds.pause));
        ready!(pause.as_mut().poll(cx));
        Poll::Ready(Some(Err(Fault::Slow)))
    }

    /// Counts and keeps a chunk.
    fn take(&mut self, data: Bytes) -> Result<Bytes, Fault> {
        self.passed += data.len() as u64;
        if self.passed > self.bounds.bytes {
            return Err(Fault::TooLarge);
        }
        if self.passed > MAX_REPLAY_BYTES as u64 {
            self.kept = None;
        }
        if let Some(kept) = &mut self.kept {
            kept.push(data.clone());
        }
        Ok(data)
    }
}

/// The body as one attempt reads it.
pub struct View {
    upload: Rc<RefCell<Inner>>,
    reader: u64,
    next: usize,
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
        if inner.reader != self.reader {
            return Poll::Ready(Some(Err(Fault::Gone.into())));
        }
        let kept = inner.kept.as_ref().and_then(|kept| kept.get(self.next));
        if let Some(data) = kept.cloned() {
            self.next += 1;
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        match ready!(inner.pull(cx)) {
            None => Poll::Ready(None),
            Some(Ok(data)) => {
                self.next += 1;
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
        let kept = inner.kept.as_ref().map_or(0, Vec::len);
        inner.fault.is_none() && self.next >= kept && inner.source.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let inner = self.upload.borrow();
        let Some(rest) = inner.source.size_hint().exact() else {
            return SizeHint::default();
        };
        let unread: usize = inner
            .kept
            .as_ref()
            .map_or(0, |kept| kept[self.next..].iter().map(Bytes::len).sum());
        SizeHint::with_exact(rest + unread as u64)
    }
}
