//! The server: accepts connections, bounds what callers may send, and lets
//! requests in flight end when the process stops.

use std::{
    cell::Cell, fmt::Debug, future::Future, net::SocketAddr, panic::AssertUnwindSafe, pin::Pin,
    rc::Rc, time::Duration,
};

use futures_util::{
    FutureExt,
    future::{Either, select},
};
use http::{HeaderValue, Request, Response, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use monoio::{
    io::IntoPollIo,
    net::{TcpListener, TcpStream},
};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};

use super::body::Body;
use crate::shutdown::Signal;

/// The most connections that are still accepted when a server stops.
const BACKLOG: usize = 1_024;

/// How long a stopping server waits for one more of them.
const LAST: Duration = Duration::from_millis(1);

/// How long a stopping server waits for the first request of a connection that
/// has brought none yet.
const GRACE: Duration = Duration::from_millis(500);

/// The answer to a request, when it comes.
pub type Answer = Pin<Box<dyn Future<Output = Response<Body>>>>;

/// What answers requests.
pub trait Handler {
    /// Answers one request.
    fn handle(self: Rc<Self>, peer: SocketAddr, request: Request<Incoming>) -> Answer;
}

/// Bounds on what a peer may make the server hold.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections at once; one more is closed at once.
    pub connections: usize,
    /// How long a request's head may take to arrive, which ends senders that
    /// trickle a byte at a time, and idle connections as well.
    pub head: Duration,
    /// The largest head in bytes.
    pub head_bytes: usize,
    /// The most header lines.
    pub headers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            head: Duration::from_secs(30),
            head_bytes: 32 * 1024,
            headers: 64,
        }
    }
}

/// Counts the open connections of a server, and says when they are to close.
#[derive(Debug, Clone, Default)]
pub struct Open {
    count: Rc<Cell<usize>>,
    closing: Rc<Cell<bool>>,
}

impl Open {
    /// The number of open connections.
    ///
    /// ```
    /// use verbenaspool_transport::http::server::Open;
    ///
    /// assert_eq!(Open::default().count(), 0);
    /// ```
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Closes each connection behind its next answer, which says so.
    ///
    /// A server that is about to stop calls this a while before. It closes idle
    /// connections when it stops, and a request that is on its way into one at
    /// that moment is lost: its sender sees a broken connection and can't know
    /// whether the request ran. A sender that was told doesn't use the
    /// connection again.
    ///
    /// ```
    /// verbenaspool_transport::http::server::Open::default().close();
    /// ```
    pub fn close(&self) {
        self.closing.set(true);
    }

    fn enter(&self) -> Guard {
        self.count.set(self.count.get() + 1);
        Guard(self.clone())
    }

    /// Tells the peer, where its connection closes behind this answer.
    fn mark(&self, mut answer: Response<Body>) -> Response<Body> {
        if self.closing.get() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        answer
    }
}

/// Gives a connection's place back when it ends, however it ends.
struct Guard(Open);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
    }
}

/// Serves until the signal comes and the last request in flight has ended.
///
/// After the signal no connection is accepted, idle ones are closed, and busy
/// ones close behind their answer.
pub async fn serve(
    listener: TcpListener,
    limits: Limits,
    handler: Rc<dyn Handler>,
    open: Open,
    signal: Signal,
) {
    let server = Server {
        limits,
        handler,
        open: open.clone(),
        signal: signal.clone(),
    };
    let mut ended = signal.clone();
    loop {
        let accept = Box::pin(listener.accept());
        let stop = Box::pin(ended.wait());
        match select(stop, accept).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, peer)), _)) => server.take(stream, peer),
            // Accepting fails when descriptors run out; a pause lets some close.
            Either::Right((Err(_), _)) => monoio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    // What waits to be accepted may have sent its request already, and would be
    // reset with the listener.
    for _ in 0..BACKLOG {
        match monoio::time::timeout(LAST, listener.accept()).await {
            Ok(Ok((stream, peer))) => server.take(stream, peer),
            _ => break,
        }
    }
    drop(listener);
    while open.count() > 0 {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// What the connections of a server share.
struct Server {
    limits: Limits,
    handler: Rc<dyn Handler>,
    open: Open,
    signal: Signal,
}

impl Server {
    /// Serves a connection in a task of its own, if there is room for it.
    fn take(&self, stream: TcpStream, peer: SocketAddr) {
        if self.open.count() >= self.limits.connections {
            return;
        }
        let guard = self.open.enter();
        let (limits, handler) = (self.limits.clone(), self.handler.clone());
        let (open, signal) = (self.open.clone(), self.signal.clone());
        monoio::spawn(async move {
            let conversation = converse(stream, peer, limits, handler, open, signal);
            // A request that panics its handler closes its connection only: its caller sends
            // it again, and would end one process after the other. The panic hook has written
            // a line.
            let _ = AssertUnwindSafe(conversation).catch_unwind().await;
            drop(guard);
        });
    }
}

/// Serves one connection to its end.
async fn converse(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    handler: Rc<dyn Handler>,
    open: Open,
    mut signal: Signal,
) {
    // Tokens go out in small writes, which must not wait for each other's acknowledgement.
    let _ = stream.set_nodelay(true);
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let asked = Rc::new(Cell::new(false));
    let seen = asked.clone();
    let service = service_fn(move |request| {
        seen.set(true);
        let answer = handler.clone().handle(peer, request);
        let open = open.clone();
        async move { Ok::<_, std::convert::Infallible>(open.mark(answer.await)) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(MonoioTimer)
        .header_read_timeout(limits.head)
        .max_buf_size(limits.head_bytes.max(8192))
        .max_headers(limits.headers)
        .half_close(false);
    let mut connection = Box::pin(builder.serve_connection(MonoioIo::new(stream), service));
    let stopped = {
        let stop = Box::pin(signal.wait());
        matches!(select(stop, &mut connection).await, Either::Left(_))
    };
    if stopped {
        // hyper closes a connection that has brought no byte yet, but its first
        // request is about to come: nobody connects for less.
        if !asked.get() {
            let grace = Box::pin(monoio::time::sleep(GRACE));
            if let Either::Right(_) = select(grace, &mut connection).await {
                return;
            }
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
