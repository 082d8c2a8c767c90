//! The server: accepts connections, bounds what callers may send, and lets
//! requests in flight end when the process stops.

use std::{
    cell::Cell, fmt::Debug, future::Future, net::SocketAddr, pin::Pin, rc::Rc, time::Duration,
};

use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use monoio::{
    io::IntoPollIo,
    net::{TcpListener, TcpStream},
};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};

use super::body::Body;
use crate::shutdown::Signal;

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

/// Counts the open connections of a server.
#[derive(Debug, Clone, Default)]
pub struct Open(Rc<Cell<usize>>);

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
        self.0.get()
    }

    fn enter(&self) -> Guard {
        self.0.set(self.0.get() + 1);
        Guard(self.clone())
    }
}

/// Gives a connection's place back when it ends, however it ends.
struct Guard(Open);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
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
    mut signal: Signal,
) {
    let mut ended = signal.clone();
    loop {
        let accept = Box::pin(listener.accept());
        let stop = Box::pin(ended.wait());
        match select(stop, accept).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, peer)), _)) => {
                if open.count() >= limits.connections {
                    continue;
                }
                let guard = open.enter();
                let served = converse(
                    stream,
                    peer,
                    limits.clone(),
                    handler.clone(),
                    signal.clone(),
                );
                monoio::spawn(async move {
                    served.await;
                    drop(guard);
                });
            }
            // Accepting fails when descriptors run out; a pause lets some close.
            Either::Right((Err(_), _)) => monoio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    drop(listener);
    signal.wait().await;
    while open.count() > 0 {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Serves one connection to its end.
async fn converse(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    handler: Rc<dyn Handler>,
    mut signal: Signal,
) {
    // Tokens go out in small writes, which must not wait for each other's acknowledgement.
    let _ = stream.set_nodelay(true);
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let service = service_fn(move |request| {
        let answer = handler.clone().handle(peer, request);
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
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
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
