//! HTTP endpoints for readiness checks and metrics.

use std::{net::SocketAddr, rc::Rc};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use slog::{Logger, warn};
use verbenaspool_transport::{
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

impl Gateway {
    /// Logs and counts a response of an upstream that exceeded a limit.
    pub fn record_limit_exceeded(&self, upstream: &str, limit: Limit) {
        record_limit_exceeded(&self.log, &self.metrics, upstream, limit);
    }
}

/// Records extra bytes that upstreams sent after complete responses.
pub fn limit_observer(log: &Logger, metrics: &metrics::Registry) -> Observer {
    let (log, metrics) = (log.clone(), metrics.clone());
    Rc::new(move |address, limit| {
        record_limit_exceeded(&log, &metrics, &address.to_string(), limit);
    })
}

/// Logs and counts a response that exceeded a limit. `upstream` is the upstream's id, or its address
/// where no request is concerned.
fn record_limit_exceeded(log: &Logger, metrics: &metrics::Registry, upstream: &str, limit: Limit) {
    warn!(log, "response exceeded a limit";
        "upstream" => upstream.to_owned(), "limit" => limit.name());
    let exceeded = metrics.counter(
        "verbenaspool_response_limits_exceeded_total",
        "Responses of upstreams that exceeded a limit.",
        &[("limit", limit.name())],
    );
    exceeded.increment();
}
