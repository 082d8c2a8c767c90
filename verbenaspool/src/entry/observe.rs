//! Measures each request: its outcome, its times and its spans.

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

/// How a request ended, for its metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The caller received this outcome.
    Outcome(Outcome),
    /// The caller left before the end.
    Cancelled,
}

/// The metrics of one service.
#[derive(Debug)]
pub struct Meter {
    ran: Counter,
    not_run: Counter,
    unknown: Counter,
    cancelled: Counter,
    total_time: Histogram,
    first_byte_time: Histogram,
    queue_time: Histogram,
    /// Attempts sent to agents.
    pub attempts: Counter,
    /// Lost answers that the agent was asked about.
    pub settled: Counter,
    /// Broken streams that were resumed.
    pub resumed: Counter,
}

impl Meter {
    /// Registers the metrics of a service.
    ///
    /// ```
    /// use verbenaspool::entry::observe::Meter;
    /// use verbenaspool_transport::metrics::Registry;
    ///
    /// let meter = Meter::new(&Registry::default(), "jobs");
    /// meter.attempts.increment();
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
            total_time: time(
                "verbenaspool_request_seconds",
                "Time from a request's head to its whole answer.",
            ),
            first_byte_time: time(
                "verbenaspool_first_byte_seconds",
                "Time from a request's head to the head of its answer.",
            ),
            queue_time: time(
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

/// The measurement of one request. Dropping it before it has ended counts as cancelled by the
/// caller.
#[derive(Debug)]
pub struct Observation {
    meter: Rc<Meter>,
    clock: Rc<dyn Clock>,
    received_at: Duration,
    span: RefCell<Span>,
    ended: Cell<bool>,
}

impl Observation {
    /// Starts to measure a request that was received at `received_at`.
    #[must_use]
    pub fn new(meter: Rc<Meter>, clock: Rc<dyn Clock>, received_at: Duration, span: Span) -> Self {
        Self {
            meter,
            clock,
            received_at,
            span: RefCell::new(span),
            ended: Cell::new(false),
        }
    }

    /// The service's metrics.
    #[must_use]
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Starts a child span for a step of the request.
    #[must_use]
    pub fn child_span(&self, name: &'static str, kind: Kind) -> Span {
        self.span.borrow().child(name, kind)
    }

    /// Sets an attribute of the request's span.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<Value>) {
        self.span.borrow_mut().set_attribute(key, value);
    }

    /// Records the time in the queue of a request that was admitted.
    pub fn record_queue_time(&self, queued_at: Duration) {
        let wait = self.clock.now().saturating_sub(queued_at);
        self.meter.queue_time.record(wait);
    }

    /// Records the time to the head of the answer.
    pub fn record_first_byte(&self) {
        let elapsed = self.clock.now().saturating_sub(self.received_at);
        self.meter.first_byte_time.record(elapsed);
    }

    /// Records how the request ended; only the first call counts.
    pub fn end(&self, ended: Ended) {
        if self.ended.replace(true) {
            return;
        }
        let meter = &self.meter;
        let (counter, label) = match ended {
            Ended::Outcome(Outcome::Ran) => (&meter.ran, "ran"),
            Ended::Outcome(Outcome::NotRun) => (&meter.not_run, "not-run"),
            Ended::Outcome(Outcome::Unknown) => (&meter.unknown, "unknown"),
            Ended::Cancelled => (&meter.cancelled, "cancelled"),
        };
        counter.increment();
        if ended == Ended::Outcome(Outcome::Ran) {
            meter
                .total_time
                .record(self.clock.now().saturating_sub(self.received_at));
        } else {
            self.span.borrow_mut().fail(label);
        }
        self.set_attribute("outcome", label);
    }
}

impl Drop for Observation {
    fn drop(&mut self) {
        self.end(Ended::Cancelled);
    }
}
