//! A stand-in for a plain service. It records the writes that ran, so that a checker can count
//! those that ran twice.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header::RETRY_AFTER};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use monoio::net::{ListenerOpts, TcpListener};

use verbenaspool_protocol::engine::{STATE_PATH, State};
use verbenaspool_transport::{
    clock::Clock,
    http::{
        body::Body,
        server::{self, Connections, Handler, Limits},
    },
    shutdown::Signal,
};

/// A plain service with an open listener.
#[derive(Debug)]
pub struct Service {
    listener: TcpListener,
    address: SocketAddr,
    journal: Rc<Journal>,
}

/// The writes that ran at a service, and the faults of its answers. Instances of one service may
/// share a journal.
#[derive(Debug)]
pub struct Journal {
    clock: Rc<dyn Clock>,
    /// How long each request runs.
    pub request_time: Cell<Duration>,
    /// The bodies of the writes that ran, in order.
    pub writes: RefCell<Vec<String>>,
    /// The time for which it wants no further requests, if it rejects all.
    pub backoff: Cell<Option<Duration>>,
    /// When it rejected requests, by its clock.
    pub rejections: RefCell<Vec<Duration>>,
    /// How many answers to further writes are lost.
    lost_answers: Cell<u32>,
    running: Rc<Cell<u32>>,
}

/// Counts a request as running until dropped.
struct Running(Rc<Cell<u32>>);

impl Running {
    fn enter(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Journal {
    /// Creates an empty journal.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_standin::service::Journal;
    /// use verbenaspool_transport::clock::Monotonic;
    ///
    /// let journal = Journal::new(Duration::from_millis(1), Monotonic::start());
    /// assert!(journal.writes.borrow().is_empty());
    /// ```
    #[must_use]
    pub fn new(request_time: Duration, clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            request_time: Cell::new(request_time),
            writes: RefCell::default(),
            backoff: Cell::default(),
            rejections: RefCell::default(),
            lost_answers: Cell::new(0),
            running: Rc::default(),
        })
    }

    /// The clock by which rejections are recorded.
    #[must_use]
    pub fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    /// Answers with the load of the service.
    fn state(&self) -> Response<Body> {
        let state = State {
            running: self.running.get(),
            ..State::default()
        };
        Response::new(Body::full(
            serde_json::to_vec(&state).expect("the state serializes"),
        ))
    }

    /// Rejects a request, if the service wants none.
    fn reject(&self) -> Option<Response<Body>> {
        let seconds = self.backoff.get()?.as_secs_f64().to_string();
        self.rejections.borrow_mut().push(self.clock.now());
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let value = seconds.parse().expect("a number");
        response.headers_mut().insert(RETRY_AFTER, value);
        Some(response)
    }

    /// Has the connection of one more write break after the write ran.
    pub fn lose_next_answer(&self) {
        self.lost_answers.set(self.lost_answers.get() + 1);
    }
}

impl Service {
    /// Opens the listener.
    ///
    /// # Errors
    /// If the address can't be bound.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_standin::service::{Journal, Service};
    /// use verbenaspool_transport::{clock::Monotonic, runtime};
    ///
    /// runtime::run(async {
    ///     let journal = Journal::new(Duration::ZERO, Monotonic::start());
    ///     let service = Service::bind(([127, 0, 0, 1], 0).into(), journal).unwrap();
    ///     assert_ne!(service.address().port(), 0);
    /// })
    /// .unwrap();
    /// ```
    pub fn bind(listen: SocketAddr, journal: Rc<Journal>) -> io::Result<Self> {
        let options = ListenerOpts::new().reuse_port(false);
        let listener = TcpListener::bind_with_config(listen, &options)?;
        Ok(Self {
            address: listener.local_addr()?,
            listener,
            journal,
        })
    }

    /// Returns the address of the listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the signal comes and the last request has ended.
    ///
    /// # Panics
    /// The kernel can't refuse new connections.
    pub async fn run(self, signal: Signal) {
        let limits = Limits::default();
        server::serve(
            self.listener,
            limits,
            self.journal,
            Connections::default(),
            signal,
        )
        .await
        .expect("new connections are refused");
    }
}

impl Handler for Journal {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> server::ResponseFuture {
        Box::pin(async move {
            let is_write = !matches!(*request.method(), Method::GET | Method::HEAD);
            let path = request.uri().path().to_owned();
            if let Some(rejection) = self.reject() {
                return rejection;
            }
            if path == STATE_PATH {
                return self.state();
            }
            let _running = Running::enter(&self.running);
            let Ok(body) = request.into_body().collect().await else {
                return Response::new(Body::wrap(crate::engine::stream::Broken));
            };
            let body = body.to_bytes();
            if is_write {
                let text = String::from_utf8_lossy(&body).into_owned();
                self.writes.borrow_mut().push(text);
            }
            // A request that takes no time skips the timer, which may take up to a millisecond.
            if !self.request_time.get().is_zero() {
                self.clock.sleep(self.request_time.get()).await;
            }
            if is_write && self.lost_answers.get() > 0 {
                self.lost_answers.set(self.lost_answers.get() - 1);
                return Response::new(Body::wrap(crate::engine::stream::Broken));
            }
            Response::new(Body::full(echo(&path, &body)))
        })
    }
}

/// Returns the answer to a request, which repeats its path and body.
fn echo(path: &str, body: &Bytes) -> String {
    format!("{path} {}", String::from_utf8_lossy(body))
}
