//! A stand-in for the platform's object API, with faults that tests inject.
//!
//! It runs in the caller's monoio runtime on a loopback port and keeps its objects in memory. An
//! object's version is the store's revision at its last change; the revision grows by one with
//! each change of any object.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use monoio::{
    io::IntoPollIo,
    net::{TcpListener, TcpStream},
    time,
};
use monoio_compat::hyper::MonoioIo;
use verbenaspool_transport::platform::{
    ERA_HEADER, Events, IF_VERSION_HEADER, MAX_VALUE_BYTES, VERSION_HEADER,
};

pub use faults::{Faults, Watch};
pub use objects::Objects;

mod faults;
mod objects;

/// How often a pending watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A running stand-in. Clones share its objects and faults.
#[derive(Clone)]
pub struct Platform {
    /// The state shared by all connections.
    shared: Rc<Shared>,
    /// The address of the listener.
    address: SocketAddr,
}

/// The state shared by all connections.
struct Shared {
    objects: RefCell<Objects>,
    /// The faults being injected.
    faults: RefCell<Faults>,
    /// The firm whose keys each token may access.
    tokens: RefCell<HashMap<String, String>>,
    /// Calls counted so far, those rejected for their rate included.
    calls: Cell<Calls>,
}

/// Number of calls by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads and lists.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Watches; a pending watch counts once.
    pub watches: u64,
}

impl Platform {
    /// Starts a stand-in on a free loopback port, within a monoio runtime.
    ///
    /// # Errors
    /// If no port can be bound.
    ///
    /// ```
    /// use verbenaspool_standin::platform::Platform;
    /// use verbenaspool_transport::runtime;
    ///
    /// runtime::run(async {
    ///     let platform = Platform::start().unwrap();
    ///     assert!(platform.address().ip().is_loopback());
    /// })
    /// .unwrap();
    /// ```
    pub fn start() -> io::Result<Self> {
        Self::start_at(([127, 0, 0, 1], 0).into())
    }

    /// Starts a stand-in on the given address.
    ///
    /// # Errors
    /// If the address can't be bound.
    ///
    /// ```no_run
    /// # use verbenaspool_standin::platform::Platform;
    /// let platform = Platform::start_at(([127, 0, 0, 1], 7000).into());
    /// ```
    pub fn start_at(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let platform = Self {
            address: listener.local_addr()?,
            shared: Rc::new(Shared {
                objects: RefCell::default(),
                faults: RefCell::default(),
                tokens: RefCell::default(),
                calls: Cell::default(),
            }),
        };
        monoio::spawn(accept(listener, Rc::clone(&platform.shared)));
        Ok(platform)
    }

    /// Returns the address of the listener.
    ///
    /// ```no_run
    /// # use verbenaspool_standin::platform::Platform;
    /// println!("{}", Platform::start().unwrap().address());
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives `token` access to the keys of `firm`. Unknown tokens are rejected.
    ///
    /// ```no_run
    /// # use verbenaspool_standin::platform::Platform;
    /// Platform::start().unwrap().allow("a-token", "tidewater");
    /// ```
    pub fn allow(&self, token: &str, firm: &str) {
        let mut tokens = self.shared.tokens.borrow_mut();
        tokens.insert(token.to_owned(), firm.to_owned());
    }

    /// Changes the faults to inject.
    ///
    /// ```no_run
    /// # use verbenaspool_standin::platform::Platform;
    /// Platform::start().unwrap().set(|faults| faults.down = true);
    /// ```
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Accesses the stored objects directly, without the API, as the platform itself does with its
    /// list of instances.
    ///
    /// ```no_run
    /// # use verbenaspool_standin::platform::Platform;
    /// let platform = Platform::start().unwrap();
    /// platform.with(|objects| objects.put("firms/tidewater/instances/loft-1", "{}".into()));
    /// ```
    pub fn with<T>(&self, access: impl FnOnce(&mut Objects) -> T) -> T {
        access(&mut self.shared.objects.borrow_mut())
    }

    /// Returns the calls counted so far, those rejected for their rate included.
    ///
    /// ```no_run
    /// # use verbenaspool_standin::platform::Platform;
    /// assert_eq!(Platform::start().unwrap().calls().reads, 0);
    /// ```
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.shared.calls.get()
    }
}

/// Accepts connections until the runtime ends.
async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        monoio::spawn(serve(stream, Rc::clone(&shared)));
    }
}

/// Serves one connection. Unlike the server in `verbenaspool_transport`, it can close a connection
/// without an answer, which simulates a lost answer.
async fn serve(stream: TcpStream, shared: Rc<Shared>) {
    // With Nagle's algorithm, small answers would wait for the client's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let service = service_fn(move |request| {
        let shared = Rc::clone(&shared);
        async move { answer_call(request, &shared).await }
    });
    // The client notices a broken connection itself, and nothing else needs the error.
    let _ = http1::Builder::new()
        .serve_connection(MonoioIo::new(stream), service)
        .await;
}

/// The connection closes without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection closes without an answer")]
struct NoAnswer;

/// Answers one call, subject to the injected faults.
async fn answer_call(
    request: Request<Incoming>,
    shared: &Shared,
) -> Result<Response<Full<Bytes>>, NoAnswer> {
    let delay = shared.faults.borrow().delay;
    if !delay.is_zero() {
        time::sleep(delay).await;
    }
    if shared.faults.borrow().down {
        return Err(NoAnswer);
    }
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_VALUE_BYTES).collect().await else {
        return Ok(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let path = head.uri.path();
    let query = Query::parse(head.uri.query().unwrap_or_default());
    let key = path.strip_prefix("/v1/objects/").unwrap_or(&query.prefix);
    if let Some(rejection) = reject(&head, key, shared) {
        return Ok(rejection);
    }
    let write = head.method == Method::PUT || head.method == Method::DELETE;
    if !admit(shared, write, path == "/v1/watch") {
        return Ok(empty_response(StatusCode::TOO_MANY_REQUESTS));
    }
    let mut response = match (&head.method, path) {
        (&Method::GET, "/v1/list") => json_response(&shared.objects.borrow().list(&query.prefix)),
        (&Method::GET, "/v1/watch") => json_response(&watch(shared, &query).await),
        _ => access_object(&head, key, body.to_bytes(), shared),
    };
    // The platform may have gone down while the call was pending.
    if shared.faults.borrow().down {
        return Err(NoAnswer);
    }
    if write && shared.faults.borrow_mut().take_lost_answer() {
        return Err(NoAnswer);
    }
    // The first era has the number 1.
    let era = shared.objects.borrow().era() + 1;
    response.headers_mut().insert(ERA_HEADER, era.into());
    Ok(response)
}

/// Rejects a call whose token has no access to `key`.
fn reject(
    head: &http::request::Parts,
    key: &str,
    shared: &Shared,
) -> Option<Response<Full<Bytes>>> {
    let token = head
        .headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "))
        .unwrap_or_default();
    let tokens = shared.tokens.borrow();
    let Some(firm) = tokens.get(token) else {
        return Some(empty_response(StatusCode::UNAUTHORIZED));
    };
    let allowed = key.starts_with(&format!("firms/{firm}/"));
    (!allowed).then(|| empty_response(StatusCode::FORBIDDEN))
}

/// Counts a call and returns whether it is within the rate limit.
fn admit(shared: &Shared, write: bool, watch: bool) -> bool {
    let mut calls = shared.calls.get();
    match (write, watch) {
        (true, _) => calls.writes += 1,
        (_, true) => calls.watches += 1,
        _ => calls.reads += 1,
    }
    shared.calls.set(calls);
    shared.faults.borrow_mut().admit(write)
}

/// Reads, writes or deletes one object.
fn access_object(
    head: &http::request::Parts,
    key: &str,
    body: Bytes,
    shared: &Shared,
) -> Response<Full<Bytes>> {
    let mut objects = shared.objects.borrow_mut();
    let current = objects.version(key);
    if head.method == Method::GET {
        return match objects.get(key) {
            Some(value) => versioned_response(StatusCode::OK, current, value),
            None => empty_response(StatusCode::NOT_FOUND),
        };
    }
    let expected = head
        .headers
        .get(IF_VERSION_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    if expected.is_some_and(|expected: u64| expected != current) {
        return versioned_response(StatusCode::CONFLICT, current, Bytes::new());
    }
    let version = match head.method {
        Method::PUT => objects.put(key, body),
        Method::DELETE => objects.delete(key),
        _ => return empty_response(StatusCode::METHOD_NOT_ALLOWED),
    };
    versioned_response(StatusCode::OK, version, Bytes::new())
}

/// Waits for the events of a watch and applies the injected faults to them.
async fn watch(shared: &Shared, query: &Query) -> Events {
    let deadline = time::Instant::now() + query.max_wait;
    loop {
        let events = {
            let objects = shared.objects.borrow();
            let events = objects.events(&query.prefix, query.since);
            shared.faults.borrow().distort(events, query.since)
        };
        if !events.events.is_empty()
            || time::Instant::now() >= deadline
            || shared.faults.borrow().down
        {
            return events;
        }
        time::sleep(WATCH_POLL_INTERVAL).await;
    }
}

/// The query of a list or watch.
#[derive(Debug, Default)]
struct Query {
    /// The prefix of the keys to return.
    prefix: String,
    /// The revision after which a watch starts.
    since: u64,
    /// How long a watch waits for the first change.
    max_wait: Duration,
}

impl Query {
    /// Parses a query. Keys need no percent-encoding, so nothing is decoded.
    fn parse(text: &str) -> Self {
        let mut query = Self::default();
        for (name, value) in text.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "prefix" => value.clone_into(&mut query.prefix),
                "since" => query.since = value.parse().unwrap_or_default(),
                "wait_ms" => {
                    query.max_wait = Duration::from_millis(value.parse().unwrap_or_default());
                }
                _ => {}
            }
        }
        query
    }
}

/// Builds a response without a body.
fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Builds a response with a version header.
fn versioned_response(status: StatusCode, version: u64, value: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(value));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(VERSION_HEADER, version.into());
    response
}

/// Builds a JSON response.
fn json_response<T: serde::Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(text) => Response::new(Full::new(text.into())),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
