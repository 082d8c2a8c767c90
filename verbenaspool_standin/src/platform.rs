//! A stand-in for the platform's object API, with faults that tests set.
//!
//! It runs in the caller's monoio runtime on a loopback port and keeps its
//! objects in memory. Versions are the store's revisions: they count up by one
//! with each change, whichever object it is.

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
use verbenaspool_transport::platform::{Events, IF_VERSION, LARGEST, VERSION};

pub use faults::{Faults, Watch};
pub use objects::Objects;

mod faults;
mod objects;

/// How often a waiting watch looks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The running stand-in. Clones share its objects and faults.
#[derive(Clone)]
pub struct Platform {
    /// What the connections share.
    shared: Rc<Shared>,
    /// Where the stand-in listens.
    address: SocketAddr,
}

/// What the connections share.
struct Shared {
    /// The stored objects.
    objects: RefCell<Objects>,
    /// The faults in force.
    faults: RefCell<Faults>,
    /// The firm that each token stands for.
    tokens: RefCell<HashMap<String, String>>,
    /// Calls answered so far, by kind.
    calls: Cell<Calls>,
}

/// Calls counted by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads and lists.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Watches, each waiting one counted once.
    pub watches: u64,
}

impl Platform {
    /// Starts a stand-in on a free loopback port, within a monoio runtime.
    ///
    /// # Errors
    /// When no port can be bound.
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
    /// When the address can't be bound.
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

    /// Where the stand-in listens.
    ///
    /// ```no_run
    /// # use verbenaspool_standin::platform::Platform;
    /// println!("{}", Platform::start().unwrap().address());
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets `token` reach the keys of `firm`. Other tokens reach nothing.
    ///
    /// ```no_run
    /// # use verbenaspool_standin::platform::Platform;
    /// Platform::start().unwrap().allow("a-token", "tidewater");
    /// ```
    pub fn allow(&self, token: &str, firm: &str) {
        let mut tokens = self.shared.tokens.borrow_mut();
        tokens.insert(token.to_owned(), firm.to_owned());
    }

    /// Changes the faults in force.
    ///
    /// ```no_run
    /// # use verbenaspool_standin::platform::Platform;
    /// Platform::start().unwrap().set(|faults| faults.down = true);
    /// ```
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Looks at the stored objects or changes them after the API's back, as
    /// the platform itself does with its list of instances.
    ///
    /// ```no_run
    /// # use verbenaspool_standin::platform::Platform;
    /// let platform = Platform::start().unwrap();
    /// platform.with(|objects| objects.put("firms/tidewater/instances/loft-1", "{}".into()));
    /// ```
    pub fn with<T>(&self, access: impl FnOnce(&mut Objects) -> T) -> T {
        access(&mut self.shared.objects.borrow_mut())
    }

    /// The calls answered so far.
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

/// Takes connections until the runtime ends.
async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        monoio::spawn(serve(stream, Rc::clone(&shared)));
    }
}

/// Serves one connection. Unlike the product's server it can close one
/// unanswered, which is what a lost answer looks like.
async fn serve(stream: TcpStream, shared: Rc<Shared>) {
    // Without it small answers wait for the client's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let service = service_fn(move |request| {
        let shared = Rc::clone(&shared);
        async move { answer_call(request, &shared).await }
    });
    // The client sees a broken connection itself; there is nobody else to tell.
    let _ = http1::Builder::new()
        .serve_connection(MonoioIo::new(stream), service)
        .await;
}

/// The answer is withheld: the connection closes without one.
#[derive(Debug, thiserror::Error)]
#[error("the answer is withheld")]
struct NoAnswer;

/// Answers one call under the faults in force.
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
    let Ok(body) = Limited::new(body, LARGEST).collect().await else {
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
    let response = match (&head.method, path) {
        (&Method::GET, "/v1/list") => json_response(&shared.objects.borrow().list(&query.prefix)),
        (&Method::GET, "/v1/watch") => json_response(&watch(shared, &query).await),
        _ => access_object(&head, key, body.to_bytes(), shared),
    };
    // A platform that went down while the call waited doesn't answer it any more.
    if shared.faults.borrow().down {
        return Err(NoAnswer);
    }
    if write && shared.faults.borrow_mut().take_lost_answer() {
        return Err(NoAnswer);
    }
    Ok(response)
}

/// Refuses a call whose token doesn't reach `key`.
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

/// Counts a call and says whether it is within the rate.
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
        .get(IF_VERSION)
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

/// Waits for events as a watch asks, then bends them as the faults say.
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
    /// What keys start with.
    prefix: String,
    /// The revision a watch starts after.
    since: u64,
    /// How long a watch waits.
    max_wait: Duration,
}

impl Query {
    /// Reads a query. Keys need no percent-encoding, so none is undone.
    fn parse(text: &str) -> Self {
        let mut query = Self::default();
        for (name, value) in text.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "prefix" => value.clone_into(&mut query.prefix),
                "since" => query.since = value.parse().unwrap_or_default(),
                "wait_ms" => {
                    query.max_wait = Duration::from_millis(value.parse().unwrap_or_default())
                }
                _ => {}
            }
        }
        query
    }
}

/// A response with nothing but its status.
fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// A response that carries a version.
fn versioned_response(status: StatusCode, version: u64, value: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(value));
    *response.status_mut() = status;
    response.headers_mut().insert(VERSION, version.into());
    response
}

/// A JSON response.
fn json_response<T: serde::Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(text) => Response::new(Full::new(text.into())),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
