//! What is measured of each request: its outcome, its times and its spans.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use verbenaspool_protocol::outcome::Outcome;
use verbenaspool_transport::{
    clock::Clock,
    metrics::{Counter, Histogram, Registry},
    trace::span::{Kind, Span, Value},
};

/// How a request ended, as its metrics tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With an outcome that the caller got.
    Outcome(Outcome),
    /// The caller left before.
    Cancelled,
}

/// The metrics of one service.
#[derive(Debug)]
pub struct Meter {
    ran: Counter,
    not_run: Counter,
    unknown: Counter,
    cancelled: Counter,
    whole: Histogram,
    first: Histogram,
    queue: Histogram,
    /// Attempts sent to agents.
    pub attempts: Counter,
    /// Lost answers that their agent was asked about.
    pub settled: Counter,
    /// Broken streams that went on.
    pub resumed: Counter,
}

impl Meter {
    /// The metrics of a service.
    ///
    /// ```
    /// use verbenaspool::entry::observe::Meter;
    /// use verbenaspool_transport::metrics::Registry;
    ///
    /// let meter = Meter::new(&Registry::default(), "jobs");
    /// meter.attempts.count();
    /// ```
    #[must_use]
    pub fn new(metrics: &Registry, service: &str) -> Rc<Self> {
        let outcome = |outcome: &str| {
            metrics.counter(
                "verbenaspool_requests_total",
                "Requests by what became of them.",
                &[("service", service), ("outcome", outcome)],
            )
        };
        let count = |name, help| metrics.counter(name, help, &[("service", service)]);
        let time = |name, help| metrics.histogram(name, help, &[("service", service)]);
        Rc::new(Self {
            ran: outcome("ran"),
            not_run: outcome("not-run"),
            unknown: outcome("unknown"),
            cancelled: outcome("cancelled"),
            whole: time(
                "verbenaspool_request_seconds",
                "Time from a request's head to its whole answer.",
            ),
            first: time(
                "verbenaspool_first_byte_seconds",
                "Time from a request's head to the head of its answer.",
            ),
            queue: time(
                "verbenaspool_queue_seconds",
                "Time spent waiting for a place.",
            ),
            attempts: count("verbenaspool_attempts_total", "Attempts sent to agents."),
            settled: count(
                "verbenaspool_settled_total",
                "Lost answers that their agent was asked about.",
            ),
            resumed: count("verbenaspool_resumed_total", "Broken streams that went on."),
        })
    }
}

/// One request under observation. Dropping it without a word counts as left by
/// its caller.
#[derive(Debug)]
pub struct Observation {
    meter: Rc<Meter>,
    clock: Rc<dyn Clock>,
    began: Duration,
    span: RefCell<Span>,
    ended: Cell<bool>,
}

impl Observation {
    /// Starts to observe a request that came at `began`.
    #[must_use]
    pub fn new(meter: Rc<Meter>, clock: Rc<dyn Clock>, began: Duration, span: Span) -> Self {
        Self {
            meter,
            clock,
            began,
            span: RefCell::new(span),
            ended: Cell::new(false),
        }
    }

    /// The service's metrics.
    #[must_use]
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// A span of a step of the request.
    #[must_use]
    pub fn step(&self, name: &'static str, kind: Kind) -> Span {
        self.span.borrow().child(name, kind)
    }

    /// Notes something about the request.
    pub fn set(&self, key: &'static str, value: impl Into<Value>) {
        self.span.borrow_mut().set(key, value);
    }

    /// The request has got its place, after a wait from `since`.
    pub fn queued(&self, since: Duration) {
        let wait = self.clock.now().saturating_sub(since);
        self.meter.queue.record(wait);
    }

    /// The answer's head is here.
    pub fn answered(&self) {
        let time = self.clock.now().saturating_sub(self.began);
        self.meter.first.record(time);
    }

    /// Says how the request ended; only the first word counts.
    pub fn end(&self, ended: Ended) {
        if self.ended.replace(true) {
            return;
        }
        let meter = &self.meter;
        let (counter, word) = match ended {
            Ended::Outcome(Outcome::Ran) => (&meter.ran, "ran"),
            Ended::Outcome(Outcome::NotRun) => (&meter.not_run, "not-run"),
            Ended::Outcome(Outcome::Unknown) => (&meter.unknown, "unknown"),
            Ended::Cancelled => (&meter.cancelled, "cancelled"),
        };
        counter.count();
        if ended == Ended::Outcome(Outcome::Ran) {
            meter
                .whole
                .record(self.clock.now().saturating_sub(self.began));
        } else {
            self.span.borrow_mut().fail(word);
        }
        self.set("outcome", word);
    }
}

impl Drop for Observation {
    fn drop(&mut self) {
        self.end(Ended::Cancelled);
    }
}
