//! A stand-in for a model engine with OpenAI-style completions. The text of an answer is a
//! function of the prompt, so that each caller can check that it got its own answer.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use monoio::net::{ListenerOpts, TcpListener};
use serde::{Deserialize, Serialize};

use verbenaspool_protocol::{
    engine::{ORDER_PATH, STATE_PATH},
    header, order,
};
use verbenaspool_transport::{
    clock::Clock,
    http::{
        body::Body,
        server::{self, Connections, Handler, Limits},
    },
    shutdown::Signal,
};

use self::{batch::Batch, cache::Cache, stream::Stream};

pub mod batch;
pub mod cache;
pub mod fault;
pub mod orders;
pub mod stream;
pub mod text;

pub use self::fault::Faults;

/// Settings of the engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// How many requests run at once; others are queued.
    pub max_batch_size: usize,
    /// The duration of a step with one running request.
    pub step_time: Duration,
    /// How much each further running request adds to a step.
    pub step_time_per_request: Duration,
    /// The duration of the prefill per prompt token that isn't cached.
    pub prefill_time_per_token: Duration,
    /// The capacity of the prefix cache.
    pub max_prefixes: usize,
    /// How late the engine reports its load and its cache events.
    pub report_delay: Duration,
    /// One of this many cache events is dropped; 0 drops none.
    pub dropped_event_interval: u64,
    /// Whether orders with an old fence are rejected.
    pub checks_fences: bool,
    /// Whether a broken stream can be resumed after the tokens already sent.
    pub supports_resume: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            max_batch_size: 32,
            step_time: Duration::from_millis(2),
            step_time_per_request: Duration::from_micros(50),
            prefill_time_per_token: Duration::from_micros(5),
            max_prefixes: 256,
            report_delay: Duration::from_millis(100),
            dropped_event_interval: 16,
            checks_fences: true,
            supports_resume: true,
        }
    }
}

/// A request for a completion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Completion {
    /// The prompt.
    pub prompt: String,
    /// How many tokens to generate.
    #[serde(default = "Completion::max_tokens")]
    pub max_tokens: u32,
    /// Whether tokens are streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl Completion {
    fn max_tokens() -> u32 {
        16
    }
}

/// An engine with an open listener.
#[derive(Debug)]
pub struct Engine {
    listener: TcpListener,
    address: SocketAddr,
    parts: Rc<Parts>,
}

/// The parts of an engine, shared by its requests.
#[derive(Debug)]
pub struct Parts {
    /// The running and queued requests.
    pub batch: Rc<Batch>,
    /// The prefix cache.
    pub cache: Cache,
    /// The orders that the engine executed.
    pub orders: orders::Orders,
    /// The faults to inject.
    pub faults: Faults,
    config: Config,
}

impl Engine {
    /// Opens the listener.
    ///
    /// # Errors
    /// If the address can't be bound.
    ///
    /// ```
    /// use verbenaspool_standin::engine::{Config, Engine};
    /// use verbenaspool_transport::{clock::Monotonic, runtime};
    ///
    /// runtime::run(async {
    ///     let engine = Engine::bind(Config::default(), Monotonic::start()).unwrap();
    ///     assert_ne!(engine.address().port(), 0);
    /// })
    /// .unwrap();
    /// ```
    pub fn bind(config: Config, clock: Rc<dyn Clock>) -> io::Result<Self> {
        let options = ListenerOpts::new().reuse_port(false);
        let listener = TcpListener::bind_with_config(config.listen, &options)?;
        let parts = Parts {
            batch: Rc::new(Batch::new(&config, clock.clone())),
            cache: Cache::new(&config, clock),
            orders: orders::Orders::new(config.checks_fences),
            faults: Faults::default(),
            config,
        };
        Ok(Self {
            address: listener.local_addr()?,
            listener,
            parts: Rc::new(parts),
        })
    }

    /// Returns the address of the listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the parts of the engine, to inspect them and to inject faults.
    #[must_use]
    pub fn parts(&self) -> Rc<Parts> {
        self.parts.clone()
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
            self.parts,
            Connections::default(),
            signal,
        )
        .await
        .expect("new connections are refused");
    }
}

impl Handler for Parts {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> server::ResponseFuture {
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                (&Method::POST, "/v1/completions") => self.complete(request).await,
                (&Method::GET, STATE_PATH) => self.state(request.uri().query()),
                (&Method::POST, ORDER_PATH) => self.order(request).await,
                (&Method::GET, order::STATE_PATH) => json(&self.orders.state()),
                _ => error(StatusCode::NOT_FOUND, "no such path"),
            }
        })
    }
}

impl Parts {
    async fn complete(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let resume = self.resume_offset(&request);
        let priority = priority(&request);
        let Ok(body) = request.into_body().collect().await else {
            return error(StatusCode::BAD_REQUEST, "the body broke off");
        };
        let Ok(completion) = serde_json::from_slice::<Completion>(&body.to_bytes()) else {
            return error(StatusCode::BAD_REQUEST, "the body is no completion request");
        };
        if self.faults.take_start_failure() {
            return broken_response();
        }
        let slot = self
            .batch
            .acquire_slot(priority, completion.max_tokens)
            .await;
        let computed = self.cache.use_prompt(&completion.prompt);
        self.batch.prefill(computed).await;
        let stream = Stream::new(self.clone(), slot, &completion, resume.unwrap_or(0));
        let mut response = if completion.stream {
            let mut response = Response::new(Body::wrap(stream));
            let content_type = "text/event-stream".parse().expect("a header value");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        } else {
            match stream.collect().await {
                Ok(tokens) => json(&text::full_response(&completion, &tokens)),
                Err(_) => broken_response(),
            }
        };
        if let Some(offset) = resume {
            response.headers_mut().insert(header::RESUME, offset.into());
        }
        response
    }

    /// Returns how many tokens of a broken stream the caller already has, if this is a resumption
    /// that the engine supports.
    fn resume_offset(&self, request: &Request<Incoming>) -> Option<u32> {
        let value = request.headers().get(header::RESUME)?;
        let offset = value.to_str().ok()?.parse().ok()?;
        self.config.supports_resume.then_some(offset)
    }

    fn state(&self, query: Option<&str>) -> Response<Body> {
        let since = query
            .and_then(|query| query.strip_prefix("since="))
            .and_then(|number| number.parse().ok())
            .unwrap_or(0);
        let mut state = self.batch.delayed_state();
        (state.last, state.events) = self.cache.delayed_events(since);
        json(&state)
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = request.into_body().collect().await else {
            return error(StatusCode::BAD_REQUEST, "the body broke off");
        };
        let Ok(order) = serde_json::from_slice(&body.to_bytes()) else {
            return error(StatusCode::BAD_REQUEST, "the body is no order");
        };
        match self.orders.execute(order) {
            Ok(()) if self.orders.take_lost_answer() => broken_response(),
            Ok(()) => json(&serde_json::json!({"done": true})),
            Err(fence) => {
                let mut response = json(&serde_json::json!({"done": false, "fence": fence}));
                *response.status_mut() = StatusCode::CONFLICT;
                response
            }
        }
    }
}

/// Returns the priority of a request; higher values leave the queue first.
fn priority(request: &Request<Incoming>) -> u8 {
    match request
        .headers()
        .get(header::PRIORITY)
        .map(http::HeaderValue::as_bytes)
    {
        Some(b"high") => 2,
        Some(b"low") => 0,
        _ => 1,
    }
}

/// Builds a response whose body fails at once.
fn broken_response() -> Response<Body> {
    Response::new(Body::wrap(stream::Broken))
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("an answer serializes");
    let mut response = Response::new(Body::full(Bytes::from(text)));
    let content_type = "application/json".parse().expect("a header value");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn error(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = json(&serde_json::json!({"error": {"message": message}}));
    *response.status_mut() = status;
    response
}
