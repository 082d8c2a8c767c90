//! HTTP server with connection and header limits and graceful shutdown.

use std::{
    cell::Cell, fmt::Debug, future::Future, io, net::SocketAddr, panic::AssertUnwindSafe, pin::Pin,
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
use slog::{Logger, warn};

use super::{
    body::Body,
    memory::Budget,
    reader::{Flow, MeteredIo},
    refusal, socket,
};
use crate::shutdown::Signal;

/// How long a stopping server, which refuses new connections, waits for those whose handshake
/// is in progress. A handshake takes a round trip.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum number of pending connections that a stopping server accepts if it can't refuse
/// new ones.
const MAX_PENDING_ACCEPTS: usize = 1_024;

/// How long a stopping server that can't refuse new connections waits for a pending one.
const PENDING_ACCEPT_TIMEOUT: Duration = Duration::from_millis(1);

/// How long a stopping server waits for the first request of a connection that
/// hasn't sent any yet.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// The future that resolves to the response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>>>>;

/// Handles requests.
pub trait Handler {
    /// Handles one request.
    fn handle(self: Rc<Self>, peer: SocketAddr, request: Request<Incoming>) -> ResponseFuture;
}

/// Limits on the resources that peers can occupy.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum number of concurrent connections; further ones are closed immediately.
    pub max_connections: usize,
    /// Time limit for receiving a request's header section. It ends slow senders,
    /// such as those that trickle a byte at a time, and idle connections.
    pub header_timeout: Duration,
    /// Maximum size of the header section in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of header lines.
    pub max_headers: usize,
    /// Budget of the bytes held for all peers.
    pub budget: Budget,
    /// Whether a peer is disconnected that takes less than 256 B/s over 10 s while something is
    /// waiting for it.
    pub closes_slow_readers: bool,
    /// Whether the kernel's buffers of connections are limited. Unlimited ones grow to megabytes
    /// for a peer that doesn't read.
    pub limits_socket_buffers: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            header_timeout: Duration::from_secs(30),
            max_header_bytes: 32 * 1024,
            max_headers: 64,
            budget: Budget::unlimited(),
            closes_slow_readers: false,
            limits_socket_buffers: false,
        }
    }
}

/// Counts the open connections of a server and controls when they close.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    count: Rc<Cell<usize>>,
    closing: Rc<Cell<bool>>,
    slow_readers: Rc<Cell<u64>>,
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

    /// Closes each connection after its next response, which announces this with
    /// `Connection: close`.
    ///
    /// To be called some time before the server stops. A stopping server closes
    /// idle connections, and a request that is being sent on one at that moment
    /// is lost: its sender sees a broken connection and can't know whether the
    /// request ran. The announcement keeps senders from reusing the connection.
    ///
    /// ```
    /// verbenaspool_transport::http::server::Connections::default().close_after_response();
    /// ```
    pub fn close_after_response(&self) {
        self.closing.set(true);
    }

    /// The number of connections that were closed because their peers read too slowly.
    #[must_use]
    pub fn slow_readers(&self) -> u64 {
        self.slow_readers.get()
    }

    fn add(&self) -> ConnectionGuard {
        self.count.set(self.count.get() + 1);
        ConnectionGuard(self.clone())
    }

    /// Sets `Connection: close` if the connection closes after this response.
    fn mark_closing(&self, mut response: Response<Body>) -> Response<Body> {
        if self.closing.get() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

/// Decrements the count when a connection ends for any reason.
struct ConnectionGuard(Connections);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
    }
}

/// Why a stopping server may have lost requests.
#[derive(Debug, thiserror::Error)]
#[error("pending connections may have been reset, as new ones can't be refused: {0}")]
pub struct Error(#[from] io::Error);

/// Serves until shutdown, then waits for requests in flight to finish.
///
/// On shutdown, new connections are refused, pending ones are still accepted, and then the
/// listener is closed. Idle connections are closed, and busy ones close after their response.
///
/// # Errors
/// The kernel can't refuse new connections before the listener closes, so connections that
/// were established at that moment may have been reset.
pub async fn serve(
    listener: TcpListener,
    limits: Limits,
    handler: Rc<dyn Handler>,
    connections: Connections,
    signal: Signal,
) -> Result<(), Error> {
    let server = Server {
        limits,
        handler,
        connections: connections.clone(),
        signal: signal.clone(),
    };
    if server.limits.limits_socket_buffers {
        socket::limit_buffers(&listener);
    }
    let mut stop_signal = signal.clone();
    loop {
        let accept = Box::pin(listener.accept());
        let stop = Box::pin(stop_signal.wait());
        match select(stop, accept).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, peer)), _)) => server.spawn_connection(stream, peer),
            // Accepting fails when file descriptors run out; wait for some to be closed.
            Either::Right((Err(_), _)) => monoio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    // Pending connections may have sent their request already and would be reset when the
    // listener is closed, so none may come between the last accept and the close.
    let refused = refusal::begin(&listener);
    let (max_accepts, timeout) = match refused {
        Ok(()) => (usize::MAX, HANDSHAKE_TIMEOUT),
        Err(_) => (MAX_PENDING_ACCEPTS, PENDING_ACCEPT_TIMEOUT),
    };
    for _ in 0..max_accepts {
        match monoio::time::timeout(timeout, listener.accept()).await {
            Ok(Ok((stream, peer))) => server.spawn_connection(stream, peer),
            _ => break,
        }
    }
    drop(listener);
    while connections.count() > 0 {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(refused?)
}

/// Serves like [`serve`] and logs its error.
pub async fn serve_and_log(
    listener: TcpListener,
    limits: Limits,
    handler: Rc<dyn Handler>,
    connections: Connections,
    signal: Signal,
    log: Logger,
) {
    if let Err(error) = serve(listener, limits, handler, connections, signal).await {
        warn!(log, "listener closed abruptly"; "reason" => error.to_string());
    }
}

/// State shared by the connections of a server.
struct Server {
    limits: Limits,
    handler: Rc<dyn Handler>,
    connections: Connections,
    signal: Signal,
}

impl Server {
    /// Serves a connection in a new task, unless the limit is reached.
    fn spawn_connection(&self, stream: TcpStream, peer: SocketAddr) {
        if self.connections.count() >= self.limits.max_connections {
            return;
        }
        let guard = self.connections.add();
        let (limits, handler) = (self.limits.clone(), self.handler.clone());
        let (connections, signal) = (self.connections.clone(), self.signal.clone());
        monoio::spawn(async move {
            let served = serve_connection(stream, peer, limits, handler, connections, signal);
            // A panic of the handler closes only this connection. Otherwise the caller's
            // retries would terminate one process after another. The panic hook has
            // logged it.
            let _ = AssertUnwindSafe(served).catch_unwind().await;
            drop(guard);
        });
    }
}

/// Serves one connection until it closes.
async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    handler: Rc<dyn Handler>,
    connections: Connections,
    mut signal: Signal,
) {
    // Nagle's algorithm would delay the small writes of streamed tokens.
    let _ = stream.set_nodelay(true);
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let has_request = Rc::new(Cell::new(false));
    let request_seen = has_request.clone();
    let flow = Flow::new(&limits.budget);
    let slow_reader = flow.slow_reader();
    let slow_readers = connections.slow_readers.clone();
    let io = MeteredIo::new(
        MonoioIo::new(stream),
        flow.clone(),
        limits.closes_slow_readers,
    );
    let service = service_fn(move |mut request: Request<Incoming>| {
        request_seen.set(true);
        flow.on_request();
        request.extensions_mut().insert(flow.slow_reader());
        let response = handler.clone().handle(peer, request);
        let (connections, flow) = (connections.clone(), flow.clone());
        async move {
            let response = connections.mark_closing(response.await);
            Ok::<_, std::convert::Infallible>(response.map(|body| flow.meter(body)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(MonoioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(8192))
        .max_headers(limits.max_headers)
        .half_close(false);
    let mut connection = Box::pin(builder.serve_connection(io, service));
    let is_stopping = {
        let stop = Box::pin(signal.wait());
        matches!(select(stop, &mut connection).await, Either::Left(_))
    };
    if is_stopping {
        // hyper closes a connection that hasn't received any byte yet, but a peer that
        // has just connected is about to send its first request.
        if !has_request.get() {
            let grace = Box::pin(monoio::time::sleep(FIRST_REQUEST_GRACE));
            if let Either::Right(_) = select(grace, &mut connection).await {
                return;
            }
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
    if slow_reader.is_closed() {
        slow_readers.set(slow_readers.get() + 1);
    }
}
