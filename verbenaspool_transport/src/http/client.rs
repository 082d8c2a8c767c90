//! HTTP client with pooled connections and one outstanding request on each.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    error::Error as _,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{
    HeaderMap, Method, Request, Response,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use http_body::{Body as _, Frame, SizeHint};
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use monoio::{io::IntoPollIo, net::TcpStream};
use monoio_compat::hyper::MonoioIo;
use verbenaspool_state::backoff;

use super::{
    body::{self, Body},
    response_limits::{
        Exceeded, Limit, MAX_READ_BUFFER_BYTES, Metered, MeteredConnection, Observer,
    },
    retry_after::{self, RetryAfter},
    socket,
};

/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Maximum size of a connection's read buffer, which bounds a response's head and each frame of its
/// body. hyper's default of 400 KB is held for each response that isn't taken.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// How often it is checked whether a server that wants no requests still runs. A restart takes
/// longer.
const BACKOFF_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How long idle connections are kept by default; our own servers close theirs
/// after 30 seconds.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte of the request was sent.
    #[error("the request was not sent: {0}")]
    NotSent(String),
    /// Part of the request may have been sent before the connection broke.
    #[error("the connection broke before the answer: {0}")]
    Broken(String),
    /// The head of the response exceeded a limit, and its connection was closed. The request may
    /// have run.
    #[error("the response exceeded the limit {}", .0.name())]
    LimitExceeded(Limit),
}

/// An extension of responses whose body has neither a length nor chunks, and ends with the
/// connection. A crash of the server ends it as well.
#[derive(Debug, Clone, Copy)]
pub struct EndsWithConnection;

/// The times until which servers want no requests, since the first client that knows them.
#[derive(Debug, Clone)]
struct Backoffs {
    started_at: Instant,
    until: Rc<RefCell<backoff::Backoffs<SocketAddr>>>,
    /// When it was last checked whether a server still runs.
    last_probe: Rc<Cell<Instant>>,
}

impl Backoffs {
    /// Records what a response says about further requests.
    fn record<B>(&self, address: SocketAddr, response: &Response<B>) {
        let notice = retry_after::parse(response.status(), response.headers());
        if let Some(RetryAfter::Wait(time)) = notice {
            let now = self.started_at.elapsed();
            self.until.borrow_mut().record(now, address, time);
        }
    }

    /// How much longer a server wants no requests.
    fn left(&self, address: SocketAddr) -> Duration {
        let now = self.started_at.elapsed();
        self.until.borrow().left(now, &address)
    }

    /// Whether it is time to check whether a server still runs.
    fn is_probe_due(&self) -> bool {
        let due = self.last_probe.get().elapsed() >= BACKOFF_PROBE_INTERVAL;
        if due {
            self.last_probe.set(Instant::now());
        }
        due
    }
}

/// An HTTP client. Clones share its connections.
#[derive(Clone)]
pub struct Client {
    pool: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// The servers that want no requests for now, if this client keeps to that.
    backoffs: Option<Backoffs>,
    /// When expired idle connections were last removed.
    last_pruned: Rc<Cell<Instant>>,
    /// Is told about extra bytes of servers, if responses are limited.
    limits: Option<Observer>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client")
            .field("connect_timeout", &self.connect_timeout)
            .field("idle_timeout", &self.idle_timeout)
            .field("limited", &self.limits.is_some())
            .finish_non_exhaustive()
    }
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    /// What has been received on it, if responses are limited.
    metered: Option<Rc<MeteredConnection>>,
}

impl Connection {
    /// Sends a request and waits for the response headers.
    async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Body>>> {
        if let Some(metered) = &self.metered {
            metered.begin(request.method() == Method::HEAD);
        }
        self.sender.try_send_request(request).await
    }

    /// The error of a request that may have been sent.
    fn error(&self, connection: &str, error: &hyper::Error) -> Error {
        match self.limit_exceeded() {
            Some(limit) => Error::LimitExceeded(limit),
            None => Error::Broken(describe(connection, error)),
        }
    }

    /// The limit that the response exceeded.
    fn limit_exceeded(&self) -> Option<Limit> {
        self.metered.as_ref().and_then(|metered| metered.exceeded())
    }

    /// Whether its responses are complete and no bytes followed them.
    fn is_reusable(&self) -> bool {
        let metered = self.metered.as_ref();
        metered.is_none_or(|metered| metered.is_reusable())
    }
}

/// An idle connection and when it expires.
type IdleConnection = (Connection, Instant);

impl Client {
    /// Creates a client with a time limit for connecting.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_transport::http::client::Client;
    ///
    /// let client = Client::new(Duration::from_secs(1));
    /// # drop(client);
    /// ```
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            pool: Rc::default(),
            connect_timeout,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            backoffs: None,
            last_pruned: Rc::new(Cell::new(Instant::now())),
            limits: None,
        }
    }

    /// Limits what servers may send besides bodies, as [`super::response_limits`] describes. The
    /// observer is told about extra bytes, which fail no request.
    ///
    /// ```
    /// use std::{rc::Rc, time::Duration};
    ///
    /// use verbenaspool_transport::http::client::Client;
    ///
    /// let client = Client::new(Duration::from_secs(1)).with_response_limits(Rc::new(|_, _| {}));
    /// # drop(client);
    /// ```
    #[must_use]
    pub fn with_response_limits(mut self, observer: Observer) -> Self {
        self.limits = Some(observer);
        self
    }

    /// Sets how long idle connections are kept.
    ///
    /// The timeout must be shorter than the server's: a server may close an idle
    /// connection just as a request is being sent on it, and then the client can't
    /// know whether the request ran.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_transport::http::client::Client;
    ///
    /// let client = Client::new(Duration::from_secs(1)).with_idle_timeout(Duration::from_secs(2));
    /// # drop(client);
    /// ```
    #[must_use]
    pub fn with_idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Sends a server nothing for as long as its rejections ask in `Retry-After`. A server that
    /// refuses connections meanwhile has ended, and its successor hasn't asked for anything.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_transport::http::client::Client;
    ///
    /// let client = Client::new(Duration::from_secs(1)).with_backoff();
    /// assert!(client.backoff_left("127.0.0.1:1".parse().unwrap()).is_zero());
    /// ```
    #[must_use]
    pub fn with_backoff(mut self) -> Self {
        self.backoffs = Some(Backoffs {
            started_at: Instant::now(),
            until: Rc::default(),
            last_probe: Rc::new(Cell::new(Instant::now())),
        });
        self
    }

    /// How much longer a server wants no requests of this client and its clones.
    #[must_use]
    pub fn backoff_left(&self, address: SocketAddr) -> Duration {
        let backoffs = self.backoffs.as_ref();
        backoffs.map_or(Duration::ZERO, |backoffs| backoffs.left(address))
    }

    /// Fails if a server wants no requests for now.
    async fn check_backoff(&self, address: SocketAddr) -> Result<(), Error> {
        let Some(backoffs) = &self.backoffs else {
            return Ok(());
        };
        let left = backoffs.left(address);
        if left.is_zero() {
            return Ok(());
        }
        if backoffs.is_probe_due() && self.is_refused_by(address, self.connect_timeout).await {
            backoffs.until.borrow_mut().end(&address);
        }
        let reason = format!("the server wants no requests for {} ms", left.as_millis());
        Err(Error::NotSent(reason))
    }

    /// Sends a request and waits for the response headers.
    ///
    /// # Errors
    /// [`Error::NotSent`] guarantees that no byte of the request was sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, Error> {
        self.check_backoff(address).await?;
        let mut request = request;
        // The peer may have just closed an idle connection. If nothing of the request
        // was written, it is sent on the next idle connection and finally on a new one.
        while let Some(mut connection) = self.take_idle(address) {
            match connection.send(request).await {
                Ok(response) => return Ok(self.pool_after_response(address, connection, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(connection.error("idle", error.error())),
                },
            }
        }
        self.send_on_new_connection(address, request).await
    }

    /// Sends a request on a new connection and waits for the response headers.
    ///
    /// To be used for requests that must not run twice. A server may close or reset
    /// an idle connection just as a request is being sent on it, and then the client
    /// can't know whether the request ran.
    ///
    /// # Errors
    /// [`Error::NotSent`] guarantees that no byte of the request was sent.
    pub async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, Error> {
        self.check_backoff(address).await?;
        let mut connection = self.connect(address).await?;
        match connection.send(request).await {
            Ok(response) => Ok(self.pool_after_response(address, connection, response)),
            // hyper returns the request only if it wrote none of it.
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Error::NotSent(error.error().to_string())),
                None => Err(connection.error("new", error.error())),
            },
        }
    }

    /// Whether the address actively refuses a connection within the timeout, so that its
    /// instance is reachable but no process listens on the port. An unreachable instance
    /// doesn't count.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_transport::{http::client::Client, runtime};
    ///
    /// let client = Client::new(Duration::from_secs(1));
    /// let refuses = client.is_refused_by("127.0.0.1:1".parse().unwrap(), Duration::from_secs(1));
    /// assert!(runtime::run(refuses).unwrap());
    /// ```
    pub async fn is_refused_by(&self, address: SocketAddr, timeout: Duration) -> bool {
        let connected = monoio::time::timeout(timeout, TcpStream::connect(address)).await;
        matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Closes the idle connections to an address that is no longer used.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_transport::http::client::Client;
    ///
    /// Client::new(Duration::from_secs(1)).close_idle("127.0.0.1:1".parse().unwrap());
    /// ```
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.borrow_mut().remove(&address);
    }

    /// Takes an idle connection that is still open and hasn't expired.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut pool = self.pool.borrow_mut();
        let connections = pool.get_mut(&address)?;
        while let Some((connection, expires_at)) = connections.pop() {
            let usable = connection.sender.is_ready() && connection.is_reusable();
            if usable && Instant::now() < expires_at {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let not_sent = |error: String| Error::NotSent(error);
        let stream = monoio::time::timeout(self.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent("connecting took too long".to_owned()))?
            .map_err(|error| not_sent(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        socket::limit_receive_buffer(&stream);
        let stream = stream
            .into_poll_io()
            .map_err(|error| not_sent(error.to_string()))?;
        let observer = self.limits.clone();
        let metered = observer.map(|observer| Rc::new(MeteredConnection::new(address, observer)));
        let buffer_bytes = metered
            .as_ref()
            .map_or(MAX_BUFFER_BYTES, |_| MAX_READ_BUFFER_BYTES);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(buffer_bytes)
            .handshake(MonoioIo::new(Metered::new(stream, metered.clone())))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        monoio::spawn(async move {
            // The sender reports errors of the connection.
            let _ = connection.await;
        });
        Ok(Connection { sender, metered })
    }

    /// Wraps the response so that its connection returns to the pool after the body.
    fn pool_after_response(
        &self,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Response<Body> {
        if let Some(backoffs) = &self.backoffs {
            backoffs.record(address, &response);
        }
        let (parts, incoming) = response.into_parts();
        let body = PooledBody {
            incoming,
            idle_timeout: keep_alive_timeout(&parts.headers)
                .map_or(self.idle_timeout, |server| self.idle_timeout.min(server)),
            connection: Some(connection),
            address,
            client: self.clone(),
        };
        let delimited = parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING);
        let mut response = Response::from_parts(parts, Body::empty());
        if body.incoming.is_end_stream() {
            body.release();
        } else {
            if !delimited {
                response.extensions_mut().insert(EndsWithConnection);
            }
            *response.body_mut() = Body::wrap(body);
        }
        response
    }

    /// Returns a connection to the pool.
    fn release(&self, address: SocketAddr, connection: Connection, idle_timeout: Duration) {
        if idle_timeout.is_zero() || !connection.is_reusable() {
            return;
        }
        let mut pool = self.pool.borrow_mut();
        self.prune(&mut pool);
        let connections = pool.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push((connection, Instant::now() + idle_timeout));
        }
    }

    /// Closes expired idle connections from time to time. Nothing else closes those
    /// to replaced peers, which get no further requests.
    fn prune(&self, pool: &mut HashMap<SocketAddr, Vec<IdleConnection>>) {
        if self.last_pruned.get().elapsed() < self.idle_timeout {
            return;
        }
        self.last_pruned.set(Instant::now());
        pool.retain(|_, connections| {
            connections.retain(|(_, expires_at)| Instant::now() < *expires_at);
            !connections.is_empty()
        });
    }
}

/// Describes an error with its cause and the kind of the connection: a new connection and an
/// idle one are lost for different reasons.
fn describe(connection: &str, error: &hyper::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error} on {connection} connection: {cause}"),
        None => format!("{error} on {connection} connection"),
    }
}

/// Idle timeout derived from the server's `Keep-Alive` header. It is half the stated
/// time, because the server counts whole seconds from when it sent the response, and
/// the next request needs time to arrive.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = text.split(',').map(str::trim);
    let seconds =
        parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.parse().ok())?;
    Some(Duration::from_secs(seconds) / 2)
}

/// A response body with its connection.
///
/// A connection with an outstanding response must not carry another request, or
/// a late response would reach the wrong caller. It returns to the pool only after
/// the last byte of the body; dropping the body earlier closes it.
struct PooledBody {
    incoming: Incoming,
    connection: Option<Connection>,
    /// How long the connection may be idle after the response.
    idle_timeout: Duration,
    address: SocketAddr,
    client: Client,
}

impl PooledBody {
    fn release(mut self) {
        self.return_connection();
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.client
                .release(self.address, connection, self.idle_timeout);
        }
    }
}

impl http_body::Body for PooledBody {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        let frame = std::task::ready!(std::pin::Pin::new(&mut self.incoming).poll_frame(cx));
        match &frame {
            None => self.return_connection(),
            Some(Ok(_)) if self.incoming.is_end_stream() => self.return_connection(),
            Some(Ok(_)) => {}
            Some(Err(_)) => {
                let connection = self.connection.take();
                if let Some(limit) = connection.and_then(|c| c.limit_exceeded()) {
                    return std::task::Poll::Ready(Some(Err(Exceeded(limit).into())));
                }
            }
        }
        std::task::Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
