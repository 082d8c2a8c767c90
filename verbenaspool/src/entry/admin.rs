//! Serves health, readiness and metrics on a separate listener.

use std::{net::SocketAddr, rc::Rc};

use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;
use monoio::net::TcpListener;
use verbenaspool_policy::decision::Reason;
use verbenaspool_policy::snapshot::Snapshot;
use verbenaspool_transport::{
    http::{
        body::Body,
        server::{self, Connections, Handler, Limits, ResponseFuture},
    },
    shutdown::Signal,
};

use super::Entry;

/// The media type of the Prometheus text format.
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// The maximum number of connections; only health probes and a metrics scraper connect.
const MAX_CONNECTIONS: usize = 64;

/// The handler of the admin listener.
#[derive(Debug)]
pub struct Admin(pub Rc<Entry>);

impl Admin {
    /// Serves until the signal fires.
    pub async fn serve(self, listener: TcpListener, signal: Signal) {
        let limits = Limits {
            max_connections: MAX_CONNECTIONS,
            ..Limits::default()
        };
        let (connections, log) = (Connections::default(), self.0.log.clone());
        server::serve_and_log(listener, limits, Rc::new(self), connections, signal, log).await;
    }

    /// Returns the response for a path.
    fn answer(&self, path: &str) -> Response<Body> {
        match path {
            "/healthz" => text_response(StatusCode::OK, "ok\n"),
            "/readyz" if self.0.is_ready() => text_response(StatusCode::OK, "ready\n"),
            "/readyz" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => text_response(StatusCode::OK, self.0.scrape()),
            _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}

impl Handler for Admin {
    fn handle(self: Rc<Self>, _: SocketAddr, request: Request<Incoming>) -> ResponseFuture {
        let response = self.answer(request.uri().path());
        Box::pin(std::future::ready(response))
    }
}

/// A plain text response.
fn text_response(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, TEXT);
    response
}

/// Converts a count to the value of a gauge.
#[allow(clippy::cast_precision_loss)] // Counts stay far below 2^53.
fn gauge_value(count: u64) -> f64 {
    count as f64
}

impl Entry {
    /// All metrics as text, including the balancers' own counts.
    #[must_use]
    pub fn scrape(&self) -> String {
        let metrics = &self.metrics;
        let gauge = |name, help, value| metrics.gauge(name, help, &[]).set(value);
        let connections = self.connections.count() as u64;
        gauge(
            "verbenaspool_connections",
            "Callers' open connections.",
            gauge_value(connections),
        );
        let version = gauge_value(self.version().0);
        gauge(
            "verbenaspool_config_version",
            "The version in force.",
            version,
        );
        let dropped = metrics.counter(
            "verbenaspool_spans_dropped_total",
            "Spans dropped because too many waited for the collector.",
            &[],
        );
        dropped.set(self.tracer.dropped());
        for (service, snapshot) in self.snapshots() {
            self.export_snapshot(service.as_str(), &snapshot);
        }
        metrics.text()
    }

    /// Updates the metrics from a snapshot of a service's balancer.
    fn export_snapshot(&self, service: &str, snapshot: &Snapshot) {
        let metrics = &self.metrics;
        let pairs = [("service", service)];
        let total = |name, help, value| metrics.counter(name, help, &pairs).set(value);
        total(
            "verbenaspool_offered_total",
            "Requests offered.",
            snapshot.offered,
        );
        total(
            "verbenaspool_started_total",
            "Attempts started.",
            snapshot.started,
        );
        total(
            "verbenaspool_waited_total",
            "Requests that waited.",
            snapshot.waited,
        );
        total(
            "verbenaspool_retried_total",
            "Retries allowed.",
            snapshot.retried,
        );
        total(
            "verbenaspool_affine_total",
            "Starts at a cached prefix.",
            snapshot.affine,
        );
        total(
            "verbenaspool_spilled_total",
            "Starts in another zone.",
            snapshot.spilled,
        );
        total(
            "verbenaspool_ejections_total",
            "Upstreams ejected.",
            snapshot.ejections,
        );
        for (reason, rejected) in Reason::ALL.iter().zip(snapshot.rejected) {
            let pairs = [("service", service), ("reason", reason.name())];
            let help = "Requests refused, by reason.";
            metrics
                .counter("verbenaspool_refused_total", help, &pairs)
                .set(rejected);
        }
        let waiting = snapshot.waiting as u64;
        metrics
            .gauge("verbenaspool_waiting", "Requests that wait now.", &pairs)
            .set(gauge_value(waiting));
        let upstreams = snapshot.upstreams.len() as u64;
        metrics
            .gauge("verbenaspool_upstreams", "Upstreams worked with.", &pairs)
            .set(gauge_value(upstreams));
        let in_flight = snapshot
            .upstreams
            .iter()
            .map(|u| u64::from(u.in_flight))
            .sum();
        let limit = snapshot.upstreams.iter().map(|u| u64::from(u.limit)).sum();
        metrics
            .gauge("verbenaspool_limit", "Most attempts in flight.", &pairs)
            .set(gauge_value(limit));
        let ejected = snapshot.upstreams.iter().filter(|u| u.ejected).count();
        metrics
            .gauge("verbenaspool_ejected", "Upstreams ejected now.", &pairs)
            .set(gauge_value(ejected as u64));
        metrics
            .gauge(
                "verbenaspool_wait_seconds",
                "Time that waiting work takes.",
                &pairs,
            )
            .set(snapshot.wait.as_secs_f64());
        total(
            "verbenaspool_ignored_reports_total",
            "Load reports ignored.",
            snapshot.ignored_reports,
        );
        metrics
            .gauge("verbenaspool_in_flight", "Attempts in flight.", &pairs)
            .set(gauge_value(in_flight));
    }
}
