//! A stand-in for a model engine: OpenAI-style completions whose text follows
//! from the prompt, so that each caller can check that an answer is its own.

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

/// How the engine behaves.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Requests in the batch at once; others wait.
    pub max_batch_size: usize,
    /// The time of a step with one request in the batch.
    pub step_time: Duration,
    /// What each further request adds to a step.
    pub step_time_per_request: Duration,
    /// The time to read one prompt token that is not cached.
    pub prefill_time_per_token: Duration,
    /// Prefixes that the cache holds.
    pub max_prefixes: usize,
    /// How late the engine tells its load and its cache events.
    pub report_delay: Duration,
    /// Every so many cache events one is lost; 0 for none.
    pub dropped_event_interval: u64,
    /// Whether it refuses an order with an old fence.
    pub checks_fences: bool,
    /// Whether it can go on after the tokens of a broken stream.
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
    /// The tokens to generate.
    #[serde(default = "Completion::max_tokens")]
    pub max_tokens: u32,
    /// Whether tokens are sent as they come.
    #[serde(default)]
    pub stream: bool,
}

impl Completion {
    fn max_tokens() -> u32 {
        16
    }
}

/// An engine whose listener is open.
#[derive(Debug)]
pub struct Engine {
    listener: TcpListener,
    address: SocketAddr,
    parts: Rc<Parts>,
}

/// The engine's parts, shared by its requests.
#[derive(Debug)]
pub struct Parts {
    /// The requests that run and wait.
    pub batch: Rc<Batch>,
    /// The prefix cache.
    pub cache: Cache,
    /// The orders that it got.
    pub orders: orders::Orders,
    /// What goes wrong.
    pub faults: Faults,
    config: Config,
}

impl Engine {
    /// Opens the listener.
    ///
    /// # Errors
    /// The address can't be listened on.
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

    /// Where the engine listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The engine's parts, to look at and to set faults.
    #[must_use]
    pub fn parts(&self) -> Rc<Parts> {
        self.parts.clone()
    }

    /// Runs until the signal comes and the last request has ended.
    pub async fn run(self, signal: Signal) {
        let limits = Limits::default();
        server::serve(
            self.listener,
            limits,
            self.parts,
            Connections::default(),
            signal,
        )
        .await;
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

/// A higher priority takes the next place first.
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

/// An answer that breaks off at once.
fn broken_response() -> Response<Body> {
    Response::new(Body::wrap(stream::Broken))
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("plain data");
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
