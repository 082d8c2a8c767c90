//! The body of an upstream's response, which closes its attempt when it ends.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use slog::warn;

use verbenaspool_coordination::attempt::Ending;
use verbenaspool_transport::http::body::{self, Body};

use crate::{guard::AttemptGuard, settings::Kind};

/// How the end of a response is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By a content length or a last chunk.
    Delimited,
    /// By closing the connection, which a crash does as well.
    ConnectionClose,
}

/// The body of an upstream's response.
///
/// If the upstream fails during the response, the entry must not take it for complete:
/// the body returns an error, and the server closes its connection without an end
/// mark. A response that ends only by a closed connection can't be distinguished from
/// an interrupted one, so it counts as interrupted.
pub(crate) struct Answer {
    inner: Option<Body>,
    guard: Option<AttemptGuard>,
    framing: Framing,
}

impl Answer {
    pub(crate) fn new(inner: Body, guard: AttemptGuard, framing: Framing) -> Self {
        let mut answer = Self {
            inner: Some(inner),
            guard: Some(guard),
            framing,
        };
        if answer.is_end_stream() {
            answer.end(Ending::Ran);
        }
        answer
    }

    fn end(&mut self, ending: Ending) {
        if let Some(guard) = self.guard.take() {
            if ending == Ending::Broken {
                warn!(guard.shared().log, "upstream interrupted its response");
            }
            guard.close(ending);
        }
    }

    /// Reads the response to its end, so that the ledger records how the attempt ended.
    async fn drain(mut self) {
        while let Some(frame) = self.frame().await {
            if frame.is_err() {
                return;
            }
        }
    }
}

impl http_body::Body for Answer {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        let Some(inner) = self.inner.as_mut() else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(inner).poll_frame(cx));
        match frame {
            None if self.framing == Framing::ConnectionClose => {
                self.end(Ending::Broken);
                self.inner = None;
                Poll::Ready(Some(Err("the response's end is not marked".into())))
            }
            None => {
                self.end(Ending::Ran);
                Poll::Ready(None)
            }
            Some(Err(error)) => {
                self.end(Ending::Broken);
                Poll::Ready(Some(Err(error)))
            }
            Some(Ok(frame)) => {
                if let Some(guard) = &mut self.guard {
                    guard.record_written();
                }
                if self.is_end_stream() {
                    self.end(Ending::Ran);
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let ended = self.inner.as_ref().is_none_or(Body::is_end_stream);
        ended && self.framing == Framing::Delimited
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.as_ref().map(Body::size_hint).unwrap_or_default()
    }
}

impl Drop for Answer {
    /// Handles an entry that disconnected during the response. An engine stops the work
    /// when its connection closes. The response of a plain service is read to its end,
    /// so that the ledger records how the attempt ended.
    fn drop(&mut self) {
        let Some(guard) = self.guard.take() else {
            return;
        };
        let shared = guard.shared().clone();
        if shared.settings.upstream.kind == Kind::Engine {
            return;
        }
        let remaining = Self {
            inner: self.inner.take(),
            guard: Some(guard),
            framing: self.framing,
        };
        let max_time = shared.max_request_time();
        monoio::spawn(async move {
            let timeout = shared.clock.sleep(max_time);
            let drain = Box::pin(remaining.drain());
            futures_util::future::select(drain, timeout).await;
        });
    }
}
