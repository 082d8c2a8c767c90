//! HTTP endpoints for readiness checks and metrics.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use slog::{Logger, warn};
use verbenaspool_transport::{
    clock::Clock,
    http::{
        body::Body,
        response_limits::{Limit, Observer},
        server::{Handler, ResponseFuture},
    },
    metrics,
};

use super::gateway::Gateway;

/// Answers readiness checks.
pub struct Readiness(pub Rc<Gateway>);

impl Handler for Readiness {
    fn handle(self: Rc<Self>, _: SocketAddr, _: Request<Incoming>) -> ResponseFuture {
        let status = if self.0.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Box::pin(std::future::ready(plain(status, "")))
    }
}

/// Serves the metrics in text format.
pub struct Metrics(pub Rc<Gateway>);

impl Handler for Metrics {
    fn handle(self: Rc<Self>, _: SocketAddr, _: Request<Incoming>) -> ResponseFuture {
        self.0.update_gauges();
        self.0.update_balancing_metrics();
        let text = self.0.metrics.text();
        Box::pin(std::future::ready(plain(StatusCode::OK, text)))
    }
}

/// A response with a text body.
fn plain(status: StatusCode, text: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::full(text));
    *response.status_mut() = status;
    response
}

/// The shortest time between two log lines about exceeded limits. An upstream may send extra bytes
/// after each of its responses, and the lines of requests name the limits that failed them.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs and counts responses of upstreams that exceeded a limit.
pub struct ExceededLimits {
    log: Logger,
    metrics: metrics::Registry,
    clock: Rc<dyn Clock>,
    last_logged: Cell<Option<Duration>>,
    /// Number of responses since the last log line.
    unlogged: Cell<u64>,
}

impl ExceededLimits {
    /// Creates a log of exceeded limits.
    pub fn new(log: Logger, metrics: metrics::Registry, clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            log,
            metrics,
            clock,
            last_logged: Cell::default(),
            unlogged: Cell::default(),
        })
    }

    /// Records a response that exceeded a limit. `upstream` is the upstream's id, or its address
    /// where no request is concerned.
    pub fn record(&self, upstream: &str, limit: Limit) {
        let exceeded = self.metrics.counter(
            "verbenaspool_response_limits_exceeded_total",
            "Responses of upstreams that exceeded a limit.",
            &[("limit", limit.name())],
        );
        exceeded.increment();
        let now = self.clock.now();
        let last_logged = self.last_logged.get();
        if last_logged.is_some_and(|at| now.saturating_sub(at) < LOG_INTERVAL) {
            self.unlogged.set(self.unlogged.get() + 1);
            return;
        }
        self.last_logged.set(Some(now));
        warn!(self.log, "response exceeded a limit";
            "upstream" => upstream.to_owned(), "limit" => limit.name(),
            "unlogged" => self.unlogged.take());
    }

    /// Records extra bytes that upstreams sent after complete responses.
    pub fn observer(self: &Rc<Self>) -> Observer {
        let limits = self.clone();
        Rc::new(move |address, limit| limits.record(&address.to_string(), limit))
    }
}
