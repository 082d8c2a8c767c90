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
const MAX_PENDING_ACCEPTS: usize = 1_024;

/// How long a stopping server waits for one more of them.
const PENDING_ACCEPT_TIMEOUT: Duration = Duration::from_millis(1);

/// How long a stopping server waits for the first request of a connection that
/// has brought none yet.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// The answer to a request, when it comes.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>>>>;

/// What answers requests.
pub trait Handler {
    /// Answers one request.
    fn handle(self: Rc<Self>, peer: SocketAddr, request: Request<Incoming>) -> ResponseFuture;
}

/// Bounds on what a peer may make the server hold.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections at once; one more is closed at once.
    pub max_connections: usize,
    /// How long a request's head may take to arrive, which ends senders that
    /// trickle a byte at a time, and idle connections as well.
    pub header_timeout: Duration,
    /// The largest head in bytes.
    pub max_header_bytes: usize,
    /// The most header lines.
    pub max_headers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            header_timeout: Duration::from_secs(30),
            max_header_bytes: 32 * 1024,
            max_headers: 64,
        }
    }
}

/// Counts the open connections of a server, and says when they are to close.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    count: Rc<Cell<usize>>,
    closing: Rc<Cell<bool>>,
}

impl Connections {
    /// The number of open connections.
    ///
    /// ```
    /// use verbenaspool_transport::http::server::Connections;
    ///
    /// assert_eq!(Connections::default().count(), 0);
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
    /// verbenaspool_transport::http::server::Connections::default().close_after_response();
    /// ```
    pub fn close_after_response(&self) {
        self.closing.set(true);
    }

    fn add(&self) -> ConnectionGuard {
        self.count.set(self.count.get() + 1);
        ConnectionGuard(self.clone())
    }

    /// Tells the peer, where its connection closes behind this answer.
    fn mark_closing(&self, mut response: Response<Body>) -> Response<Body> {
        if self.closing.get() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

/// Gives a connection's place back when it ends, however it ends.
struct ConnectionGuard(Connections);

impl Drop for ConnectionGuard {
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
    connections: Connections,
    signal: Signal,
) {
    let server = Server {
        limits,
        handler,
        connections: connections.clone(),
        signal: signal.clone(),
    };
    let mut stop_signal = signal.clone();
    loop {
        let accept = Box::pin(listener.accept());
        let stop = Box::pin(stop_signal.wait());
        match select(stop, accept).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, peer)), _)) => server.spawn_connection(stream, peer),
            // Accepting fails when descriptors run out; a pause lets some close.
            Either::Right((Err(_), _)) => monoio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    // What waits to be accepted may have sent its request already, and would be
    // reset with the listener.
    for _ in 0..MAX_PENDING_ACCEPTS {
        match monoio::time::timeout(PENDING_ACCEPT_TIMEOUT, listener.accept()).await {
            Ok(Ok((stream, peer))) => server.spawn_connection(stream, peer),
            _ => break,
        }
    }
    drop(listener);
    while connections.count() > 0 {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// What the connections of a server share.
struct Server {
    limits: Limits,
    handler: Rc<dyn Handler>,
    connections: Connections,
    signal: Signal,
}

impl Server {
    /// Serves a connection in a task of its own, if there is room for it.
    fn spawn_connection(&self, stream: TcpStream, peer: SocketAddr) {
        if self.connections.count() >= self.limits.max_connections {
            return;
        }
        let guard = self.connections.add();
        let (limits, handler) = (self.limits.clone(), self.handler.clone());
        let (connections, signal) = (self.connections.clone(), self.signal.clone());
        monoio::spawn(async move {
            let served = serve_connection(stream, peer, limits, handler, connections, signal);
            // A request that panics its handler closes its connection only: its caller sends
            // it again, and would end one process after the other. The panic hook has written
            // a line.
            let _ = AssertUnwindSafe(served).catch_unwind().await;
            drop(guard);
        });
    }
}

/// Serves one connection to its end.
async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    handler: Rc<dyn Handler>,
    connections: Connections,
    mut signal: Signal,
) {
    // Tokens go out in small writes, which must not wait for each other's acknowledgement.
    let _ = stream.set_nodelay(true);
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let has_request = Rc::new(Cell::new(false));
    let request_seen = has_request.clone();
    let service = service_fn(move |request| {
        request_seen.set(true);
        let response = handler.clone().handle(peer, request);
        let connections = connections.clone();
        async move { Ok::<_, std::convert::Infallible>(connections.mark_closing(response.await)) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(MonoioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(8192))
        .max_headers(limits.max_headers)
        .half_close(false);
    let mut connection = Box::pin(builder.serve_connection(MonoioIo::new(stream), service));
    let is_stopping = {
        let stop = Box::pin(signal.wait());
        matches!(select(stop, &mut connection).await, Either::Left(_))
    };
    if is_stopping {
        // hyper closes a connection that has brought no byte yet, but its first
        // request is about to come: nobody connects for less.
        if !has_request.get() {
            let grace = Box::pin(monoio::time::sleep(FIRST_REQUEST_GRACE));
            if let Either::Right(_) = select(grace, &mut connection).await {
                return;
            }
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
