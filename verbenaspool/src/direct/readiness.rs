//! HTTP endpoints for readiness checks and metrics.

use std::{net::SocketAddr, rc::Rc};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use verbenaspool_transport::http::{
    body::Body,
    server::{Handler, ResponseFuture},
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
