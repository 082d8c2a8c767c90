//! Health, readiness and metrics endpoints on a separate listener.

use std::{net::SocketAddr, rc::Rc};

use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;

use verbenaspool_transport::http::{
    body::Body,
    server::{Handler, ResponseFuture},
};

use crate::{
    group::{Driver, gauge},
    shared::Shared,
};

/// Maximum number of open connections; only health probes and a metrics scraper connect.
pub(crate) const MAX_CONNECTIONS: usize = 32;

/// The media type of the Prometheus text format.
const METRICS_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Serves the endpoints for operators' tools.
#[derive(Debug)]
pub(crate) struct Admin {
    /// State shared by the parts of the process.
    pub(crate) shared: Rc<Shared>,
    /// The group of ranks, if the engine is a rank.
    pub(crate) group: Option<Rc<Driver>>,
}

impl Handler for Admin {
    fn handle(self: Rc<Self>, _peer: SocketAddr, request: Request<Incoming>) -> ResponseFuture {
        let (status, text) = self.respond(request.uri().path());
        let mut response = Response::new(Body::full(text));
        *response.status_mut() = status;
        response
            .headers_mut()
            .insert(CONTENT_TYPE, METRICS_CONTENT_TYPE);
        Box::pin(std::future::ready(response))
    }
}

impl Admin {
    fn respond(&self, path: &str) -> (StatusCode, String) {
        let leaving = self.shared.ledger.borrow().leaving();
        match path {
            "/healthz" => (StatusCode::OK, "ok\n".to_owned()),
            "/readyz" if leaving => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n".to_owned()),
            "/readyz" => (StatusCode::OK, "ready\n".to_owned()),
            "/metrics" => (StatusCode::OK, self.metrics()),
            _ => (StatusCode::NOT_FOUND, "no such path\n".to_owned()),
        }
    }

    fn metrics(&self) -> String {
        let meter = &self.shared.meter;
        if let Some(group) = &self.group {
            gauge::set(&group.status(), meter.registry());
        }
        meter.text(&self.shared)
    }
}
