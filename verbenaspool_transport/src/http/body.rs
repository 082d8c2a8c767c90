//! Message bodies, streamed chunk by chunk.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

/// Why a body ended early.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// A type-erased body.
///
/// It is polled by whoever forwards it. A slow reader stops the polling and thereby
/// the reads from the sender's socket, which provides back-pressure.
pub struct Body(Pin<Box<dyn http_body::Body<Data = Bytes, Error = Error>>>);

impl std::fmt::Debug for Body {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Body").finish_non_exhaustive()
    }
}

impl Body {
    /// Creates an empty body.
    ///
    /// ```
    /// use http_body::Body as _;
    /// use verbenaspool_transport::http::body::Body;
    ///
    /// assert!(Body::empty().is_end_stream());
    /// ```
    #[must_use]
    pub fn empty() -> Self {
        Self::full(Bytes::new())
    }

    /// Creates a body from bytes in memory.
    ///
    /// ```
    /// use http_body::Body as _;
    /// use verbenaspool_transport::http::body::Body;
    ///
    /// assert_eq!(Body::full("abc").size_hint().exact(), Some(3));
    /// ```
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let never = |error: Infallible| match error {};
        Self::wrap(Full::new(bytes.into()).map_err(never))
    }

    /// Wraps another body.
    ///
    /// ```
    /// use verbenaspool_transport::http::body::Body;
    ///
    /// let body = Body::wrap(Body::full("abc"));
    /// # drop(body);
    /// ```
    pub fn wrap(body: impl http_body::Body<Data = Bytes, Error = Error> + 'static) -> Self {
        Self(Box::pin(body))
    }
}

impl From<Incoming> for Body {
    fn from(body: Incoming) -> Self {
        Self::wrap(body.map_err(Into::into))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        self.0.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size_hint()
    }
}
