//! What is logged and counted of each request: one line when it ends.

use std::{cell::RefCell, rc::Rc, time::Duration};

use slog::{info, o, warn};
use verbenaspool_policy::dispatch::ServiceDiagnostics;
use verbenaspool_state::fingerprint::Fingerprint;

use super::gateway::Gateway;

/// The story of one request, told in its line.
#[derive(Debug, Default)]
struct Story {
    route: Option<Rc<str>>,
    service: Option<Rc<str>>,
    version: u64,
    /// How long the caller waits, and what it had spent of its time before.
    waits: Duration,
    spent: Duration,
    /// Whether it was beyond what its customer usually sends.
    beyond: bool,
    fingerprint: Option<Fingerprint>,
    /// What was known of the service when the request was placed or refused, or had its
    /// longest pause.
    known: ServiceDiagnostics,
    /// Each upstream that it was sent to, and how that ended.
    sent: Vec<String>,
    /// When the first byte of the answer was passed on.
    first: Option<Duration>,
    events: u64,
    /// When the last event was passed on, and the longest pause between two.
    last: Option<Duration>,
    pause: Duration,
    /// The status and what decided it.
    ended: Option<(u16, &'static str)>,
}

/// One request's record; its line is written when the value goes.
pub struct Record {
    gateway: Rc<Gateway>,
    id: String,
    began: Duration,
    story: RefCell<Story>,
}

impl Record {
    /// A record that begins now.
    pub fn new(gateway: Rc<Gateway>, id: &str) -> Rc<Self> {
        Rc::new(Self {
            began: gateway.clock.now(),
            id: id.to_owned(),
            story: RefCell::default(),
            gateway,
        })
    }

    /// The id that the caller gave the request.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Where the request goes, by which version of the configuration.
    pub fn routed(&self, route: &Rc<str>, service: &Rc<str>, version: u64) {
        let mut story = self.story.borrow_mut();
        story.route = Some(route.clone());
        story.service = Some(service.clone());
        story.version = version;
    }

    /// What identifies the request's content.
    pub fn identified(&self, fingerprint: Fingerprint) {
        self.story.borrow_mut().fingerprint = Some(fingerprint);
    }

    /// How long the caller waits, what it had spent of its time before, and whether the
    /// request is beyond what its customer usually sends.
    pub fn asked(&self, waits: Duration, spent: Duration, beyond: bool) {
        let mut story = self.story.borrow_mut();
        story.waits = waits;
        story.spent = spent;
        story.beyond = beyond;
    }

    /// What is known of the service as the request is placed or refused.
    pub fn known(&self, known: ServiceDiagnostics) {
        self.story.borrow_mut().known = known;
    }

    /// Whether a pause between two events is the longest so far.
    pub fn is_longest(&self, pause: Duration) -> bool {
        pause > self.story.borrow().pause
    }

    /// How a sending to an upstream went on.
    pub fn sent(&self, upstream: &str, what: &str) {
        let after = self.gateway.clock.now().saturating_sub(self.began);
        let line = format!("{upstream} {what} at {} ms", after.as_millis());
        self.story.borrow_mut().sent.push(line);
    }

    /// Events were passed on.
    pub fn events(&self, count: u64) {
        let now = self.gateway.clock.now();
        let mut story = self.story.borrow_mut();
        story.first.get_or_insert(now);
        if let Some(last) = story.last.replace(now) {
            story.pause = story.pause.max(now.saturating_sub(last));
        }
        story.events += count;
    }

    /// How the request ended: the status that the caller got, and why.
    pub fn end(&self, status: u16, why: &'static str) {
        self.story.borrow_mut().ended = Some((status, why));
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let story = self.story.take();
        let (status, why) = story.ended.unwrap_or((0, "caller-left"));
        let route = story.route.as_deref().unwrap_or_default();
        let service = story.service.as_deref().unwrap_or_default();
        let took = now.saturating_sub(self.began);
        let first = story.first.unwrap_or(now).saturating_sub(self.began);
        let pairs = [("service", service), ("result", why)];
        let ended = gateway.metrics.counter(
            "verbenaspool_requests_total",
            "Requests by how they ended.",
            &pairs,
        );
        ended.count();
        let times = gateway.metrics.histogram(
            "verbenaspool_first_byte_seconds",
            "Time to the first byte of the answer.",
            &[("service", service)],
        );
        times.record(first);
        let [pause_ms, first_ms, took_ms] =
            [story.pause, first, took].map(|time| time.as_secs_f64() * 1e3);
        let log = gateway.log.new(o!(
            "request" => self.id.clone(), "status" => status, "why" => why,
            "route" => route.to_owned(), "service" => service.to_owned(),
            "fingerprint" => story.fingerprint.map(|fingerprint| fingerprint.to_string()),
            "version" => story.version, "sent" => story.sent.join("; "),
            "waits_ms" => story.waits.as_secs_f64() * 1e3,
            "beyond" => story.beyond, "spent_ms" => story.spent.as_secs_f64() * 1e3,
            "pass_ms" => story.known.longest_pass.as_secs_f64() * 1e3,
            "slowest" => story.known.slowest_pace,
            "slowest_upstream" => story.known.slowest_upstream.as_deref().unwrap_or_default().to_owned(),
            "said_ms" => story.known.status_age.as_secs_f64() * 1e3,
            "closed" => story.known.unavailable,
            "events" => story.events, "pause_ms" => pause_ms, "first_ms" => first_ms,
            "took_ms" => took_ms,
        ));
        // Lines of requests that failed are kept before those of the others.
        if fails(status, why) {
            warn!(log, "Entry: A request ended.");
        } else {
            info!(log, "Entry: A request ended.");
        }
    }
}

/// Whether a request counts as failed. What no configuration allows doesn't: whoever
/// asks for it may do so as often as it likes.
fn fails(status: u16, why: &str) -> bool {
    let whole = matches!(why, "whole" | "answered");
    !matches!(status, 400..500) && (status >= 500 || !whole)
}

impl Gateway {
    /// Brings gauges up to date before they are told.
    pub fn measure(&self) {
        let gauge = |name, help, value| self.metrics.gauge(name, help, &[]).set(value);
        #[allow(clippy::cast_precision_loss)] // Versions stay far below 2^52.
        let version = self.table_version() as f64;
        gauge(
            "verbenaspool_config_version",
            "The version in force.",
            version,
        );
        let now = self.clock.now();
        let quarantined = self.quarantine.borrow().quarantined(now).count();
        #[allow(clippy::cast_precision_loss)] // A few thousand at most.
        let quarantined = quarantined as f64;
        gauge(
            "verbenaspool_quarantined",
            "Requests that are rejected because upstreams crashed under them.",
            quarantined,
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
    }
}
