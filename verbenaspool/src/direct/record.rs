//! The log line and the metrics of each request, written when it ends.

use std::{cell::RefCell, rc::Rc, time::Duration};

use slog::{info, o, warn};
use verbenaspool_policy::dispatch::Diagnostics;
use verbenaspool_state::fingerprint::Fingerprint;
use verbenaspool_transport::http::reader::SlowReader;

use super::{balancing, gateway::Gateway, registry::Source};

/// The contents of a request's log line.
#[derive(Debug, Default)]
struct Summary {
    route: Option<Rc<str>>,
    service: Option<Rc<str>>,
    /// The version of the routing table, where it came from, and its age.
    table: Option<(u64, Source, Duration)>,
    /// How long the caller waits.
    caller_wait: Duration,
    /// How long the caller has probably waited before this request.
    prior_wait: Duration,
    /// Whether it exceeds its customer's usual rate.
    over_usual_rate: bool,
    /// Whether its customer was over its share when it was placed or rejected, and its work.
    share: Option<(bool, f64)>,
    fingerprint: Option<Fingerprint>,
    /// Ids of the parts of the prompt that other requests may share.
    shared_parts: String,
    /// The state of the service when the request was placed or rejected, or when its stream
    /// had its longest pause.
    diagnostics: Diagnostics,
    /// Each upstream that it was sent to, and with what result.
    attempts: Vec<String>,
    /// The registry at the last attempt: its revision, where that came from, and its age.
    registry: Option<(u64, Source, Duration)>,
    /// When the first event was forwarded.
    first_event_at: Option<Duration>,
    events: u64,
    /// When the last event was forwarded.
    last_event_at: Option<Duration>,
    /// The longest pause between two events.
    longest_pause: Duration,
    /// The status that the caller got, and the reason for it.
    result: Option<(u16, &'static str)>,
    /// Whether the caller was disconnected because it read too slowly.
    reader: Option<SlowReader>,
}

/// The record of a request. Dropping it writes the log line and counts the request.
pub struct Record {
    gateway: Rc<Gateway>,
    id: String,
    received_at: Duration,
    summary: RefCell<Summary>,
}

impl Record {
    /// Creates the record of a request received now.
    pub fn new(gateway: Rc<Gateway>, id: &str) -> Rc<Self> {
        Rc::new(Self {
            received_at: gateway.clock.now(),
            id: id.to_owned(),
            summary: RefCell::default(),
            gateway,
        })
    }

    /// The request's id as given by the caller.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Sets the state of the caller's connection.
    pub fn set_reader(&self, reader: Option<SlowReader>) {
        self.summary.borrow_mut().reader = reader;
    }

    /// Keeps the caller's connection open for this time however slowly it reads.
    pub fn keep_reader_for(&self, time_left: Duration) {
        if let Some(reader) = &self.summary.borrow().reader {
            reader.keep_for(time_left);
        }
    }

    /// Sets the route and service of the request.
    pub fn set_route(&self, route: &Rc<str>, service: &Rc<str>) {
        let mut summary = self.summary.borrow_mut();
        summary.route = Some(route.clone());
        summary.service = Some(service.clone());
    }

    /// Sets the routing table by which the request is handled.
    pub fn record_table(&self) {
        let (source, age) = self.gateway.table_source();
        let table = (self.gateway.table_version(), source, age);
        self.summary.borrow_mut().table = Some(table);
    }

    /// Sets the fingerprint of the request's content, and the parts of its prompt that other
    /// requests may share.
    pub fn set_content(&self, fingerprint: Fingerprint, shared_parts: &[String]) {
        let mut summary = self.summary.borrow_mut();
        summary.fingerprint = Some(fingerprint);
        summary.shared_parts = shared_parts.join(",");
    }

    /// Sets how long the caller waits, how long it has waited before this request, and whether
    /// the request exceeds its customer's usual rate.
    pub fn set_caller_state(
        &self,
        caller_wait: Duration,
        prior_wait: Duration,
        over_usual_rate: bool,
    ) {
        let mut summary = self.summary.borrow_mut();
        summary.caller_wait = caller_wait;
        summary.prior_wait = prior_wait;
        summary.over_usual_rate = over_usual_rate;
    }

    /// Sets whether the request's customer was over its share, if shares applied, and its work.
    pub fn set_share(&self, over: Option<bool>, work: f64) {
        if let Some(over) = over {
            self.summary.borrow_mut().share = Some((over, work));
        }
    }

    /// Sets the state of the service at this point of the request.
    pub fn set_diagnostics(&self, diagnostics: Diagnostics) {
        self.summary.borrow_mut().diagnostics = diagnostics;
    }

    /// Whether a pause between two events is the longest one of the stream so far.
    pub fn is_longest_pause(&self, pause: Duration) -> bool {
        pause > self.summary.borrow().longest_pause
    }

    /// Appends a step of an attempt at an upstream, such as its status or its failure.
    pub fn record_attempt(&self, upstream: &str, result: &str) {
        let elapsed = self.gateway.clock.now().saturating_sub(self.received_at);
        let attempt = format!("{upstream} {result} at {} ms", elapsed.as_millis());
        self.summary.borrow_mut().attempts.push(attempt);
    }

    /// Sets the registry by which the request is sent to an upstream now.
    pub fn record_registry(&self) {
        let (source, age) = self.gateway.registry_source();
        let registry = (self.gateway.registry_position().revision, source, age);
        self.summary.borrow_mut().registry = Some(registry);
    }

    /// Counts a request to an upstream that is leaving, as this entry knows.
    pub fn count_leaving(&self, again: bool) {
        let (name, help) = (
            "verbenaspool_leaving_requests_total",
            "Requests sent to upstreams that were leaving, as the entry knew.",
        );
        self.count_attempt(name, help, again);
    }

    /// Counts a request to an upstream that limits them. `again` tells that the request was
    /// sent to an upstream before.
    pub fn count_rate_limited(&self, again: bool) {
        let (name, help) = (
            "verbenaspool_rate_limited_requests_total",
            "Requests sent to upstreams that limit them.",
        );
        self.count_attempt(name, help, again);
    }

    /// Counts a request to an upstream that had requested backoff.
    pub fn count_backoff_ignored(&self, again: bool) {
        let (name, help) = (
            "verbenaspool_backoff_ignored_requests_total",
            "Requests sent to upstreams that wanted none yet.",
        );
        self.count_attempt(name, help, again);
    }

    /// Counts an attempt by service and by whether it is the request's first.
    fn count_attempt(&self, name: &'static str, help: &'static str, again: bool) {
        let summary = self.summary.borrow();
        let service = summary.service.as_deref().unwrap_or_default();
        let attempt = if again { "again" } else { "first" };
        let labels = [("service", service), ("attempt", attempt)];
        self.gateway
            .metrics
            .counter(name, help, &labels)
            .increment();
    }

    /// Counts events that are forwarded now.
    pub fn record_events(&self, count: u64) {
        let now = self.gateway.clock.now();
        let mut summary = self.summary.borrow_mut();
        summary.first_event_at.get_or_insert(now);
        if let Some(last) = summary.last_event_at.replace(now) {
            summary.longest_pause = summary.longest_pause.max(now.saturating_sub(last));
        }
        summary.events += count;
    }

    /// Sets the status that the caller gets, and the reason for it.
    pub fn set_result(&self, status: u16, reason: &'static str) {
        self.summary.borrow_mut().result = Some((status, reason));
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let summary = self.summary.take();
        let reads_slowly = summary.reader.is_some_and(|reader| reader.is_closed());
        let left = if reads_slowly {
            "slow-reader"
        } else {
            "caller-left"
        };
        let (status, reason) = summary.result.unwrap_or((0, left));
        let route = summary.route.as_deref().unwrap_or_default();
        let service = summary.service.as_deref().unwrap_or_default();
        let total = now.saturating_sub(self.received_at);
        let first = summary
            .first_event_at
            .unwrap_or(now)
            .saturating_sub(self.received_at);
        let pairs = [("service", service), ("result", reason)];
        let requests = gateway.metrics.counter(
            "verbenaspool_requests_total",
            "Requests by how they ended.",
            &pairs,
        );
        requests.increment();
        let first_byte = gateway.metrics.histogram(
            "verbenaspool_first_byte_seconds",
            "Time to the first byte of the answer.",
            &[("service", service)],
        );
        first_byte.record(first);
        let [pause_ms, first_ms, took_ms] =
            [summary.longest_pause, first, total].map(|time| time.as_secs_f64() * 1e3);
        let log = balancing::with_state(&gateway.log, summary.diagnostics.balancing);
        let log = log.new(o!(
            "request" => self.id.clone(), "status" => status, "why" => reason,
            "route" => route.to_owned(), "service" => service.to_owned(),
            "fingerprint" => summary.fingerprint.map(|fingerprint| fingerprint.to_string()),
            "parts" => summary.shared_parts,
            "version" => summary.table.map(|(version, _, _)| version),
            "version_from" => summary.table.map(|(_, source, _)| source.to_string()),
            "version_age_ms" => summary.table.map(|(_, _, age)| age.as_secs_f64() * 1e3),
            "sent" => summary.attempts.join("; "),
            "waits_ms" => summary.caller_wait.as_secs_f64() * 1e3,
            "beyond" => summary.over_usual_rate, "spent_ms" => summary.prior_wait.as_secs_f64() * 1e3,
            "pass_ms" => summary.diagnostics.longest_pass.as_secs_f64() * 1e3,
            "slowest" => summary.diagnostics.slowest_pace,
            "slowest_upstream" => summary.diagnostics.slowest_upstream.as_deref().unwrap_or_default().to_owned(),
            "said_ms" => summary.diagnostics.status_age.as_secs_f64() * 1e3,
            "closed" => summary.diagnostics.unavailable,
            "registry" => summary.registry.map(|(revision, _, _)| revision),
            "registry_from" => summary.registry.map(|(_, source, _)| source.to_string()),
            "registry_age_ms" => summary.registry.map(|(_, _, age)| age.as_secs_f64() * 1e3),
            "events" => summary.events, "pause_ms" => pause_ms, "first_ms" => first_ms,
            "took_ms" => took_ms,
        ));
        let log = match summary.share {
            Some((over, work)) => {
                let (name, help) = (
                    "verbenaspool_shared_requests_total",
                    "Requests placed or rejected while capacity was divided among customers.",
                );
                let result = if over { "over" } else { "under" };
                let labels = [("service", service), ("share", result)];
                gateway.metrics.counter(name, help, &labels).increment();
                log.new(o!("over_share" => over, "work" => work))
            }
            None => log,
        };
        // Failures have a higher level, as they are kept when log lines are dropped.
        if is_failure(status, reason) {
            warn!(log, "request ended");
        } else {
            info!(log, "request ended");
        }
    }
}

/// Whether a request counts as failed. Client errors (status 4xx) don't: callers can cause any
/// number of them, which would displace the log lines of real failures.
fn is_failure(status: u16, reason: &str) -> bool {
    let complete = matches!(reason, "whole" | "answered");
    !matches!(status, 400..500) && (status >= 500 || !complete)
}

impl Gateway {
    /// Updates the gauges before they are exported.
    pub fn update_gauges(&self) {
        let gauge = |name, help, value| self.metrics.gauge(name, help, &[]).set(value);
        #[allow(clippy::cast_precision_loss)] // Versions stay far below 2^52.
        let version = self.table_version() as f64;
        gauge(
            "verbenaspool_config_version",
            "The version in force.",
            version,
        );
        self.memory.update_metrics(&self.metrics);
        self.update_store_metrics();
        let now = self.clock.now();
        let quarantined = self.quarantine.borrow().quarantined(now).count();
        #[allow(clippy::cast_precision_loss)] // A few thousand at most.
        let quarantined = quarantined as f64;
        gauge(
            "verbenaspool_quarantined",
            "Requests that are rejected because upstreams crashed under them.",
            quarantined,
        );
        let position = self.registry_position();
        let peers = self.peers.borrow();
        let differing = peers.differing_registries(now, self.registry_provenance());
        #[allow(clippy::cast_precision_loss)] // Revisions stay far below 2^52.
        let (revision, differing) = (position.revision as f64, differing as f64);
        gauge(
            "verbenaspool_registry_revision",
            "The revision of the registry of upstreams.",
            revision,
        );
        gauge(
            "verbenaspool_registry_differing_peers",
            "Peers whose registry has the same revision and other objects.",
            differing,
        );
        for queue in self.queues() {
            let snapshot = queue.with(|dispatcher, _| dispatcher.snapshot(now));
            let pairs = [("service", &*queue.service)];
            let gauge = |name, help, value: f64| self.metrics.gauge(name, help, &pairs).set(value);
            gauge(
                "verbenaspool_upstreams",
                "Upstreams that take requests.",
                snapshot.upstreams.into(),
            );
            gauge(
                "verbenaspool_shunned",
                "Upstreams that are left alone.",
                snapshot.ejected.into(),
            );
            gauge(
                "verbenaspool_rate_limited_upstreams",
                "Upstreams that limit the requests they take.",
                snapshot.rate_limited.into(),
            );
            gauge(
                "verbenaspool_backoff_upstreams",
                "Upstreams that want no requests of this entry for now.",
                snapshot.backing_off.into(),
            );
            gauge(
                "verbenaspool_in_flight",
                "Requests in flight at all entries.",
                snapshot.in_flight.into(),
            );
            gauge(
                "verbenaspool_pace",
                "How much longer passes take than on even ranks.",
                snapshot.pace,
            );
        }
        self.update_share_gauges();
    }

    /// Updates the gauges of shares, if they are enabled.
    fn update_share_gauges(&self) {
        if !self.settings.borrow().shares.enabled {
            return;
        }
        #[allow(clippy::cast_precision_loss)] // A few thousand at most.
        let count = |count: usize| count as f64;
        let unknown = self.checked_weights.borrow().unknown.len();
        let unknown_weights = self.metrics.gauge(
            "verbenaspool_share_unknown_weights",
            "Weights in the settings of customers that the configuration doesn't have.",
            &[],
        );
        unknown_weights.set(count(unknown));
        for queue in self.queues() {
            let Some(shares) = queue.share_status() else {
                continue;
            };
            let pairs = [("service", &*queue.service)];
            let gauge = |name, help, value: f64| self.metrics.gauge(name, help, &pairs).set(value);
            gauge(
                "verbenaspool_shares_active",
                "Whether capacity is divided among customers now.",
                f64::from(u8::from(shares.active)),
            );
            gauge(
                "verbenaspool_share_level",
                "Work in service of a customer with weight 1 at its share; 0 if all demand fits.",
                shares.level.unwrap_or(0.0),
            );
            gauge(
                "verbenaspool_over_share_customers",
                "Customers at or over their share.",
                count(shares.over),
            );
            gauge(
                "verbenaspool_tracked_customers",
                "Customers whose usage this entry tracks.",
                count(shares.tracked),
            );
            gauge(
                "verbenaspool_usage_peers",
                "Other entries whose usage counts.",
                count(shares.peers),
            );
        }
    }
}
