//! Distributed tracing: spans, W3C trace context propagation and OTLP export
//! over HTTP.
//!
//! Messages are encoded with the `opentelemetry-proto` crate and sent by our own
//! HTTP client, because the exporters of the OpenTelemetry SDK need a different
//! runtime.
//!
//! Ended spans are held in a bounded queue for the exporter. When it is full, new
//! ones are dropped and counted. Ending a span never blocks, so a slow or dead
//! collector neither delays requests nor uses more memory than the queue.

pub mod context;
pub mod export;
pub mod span;

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use opentelemetry::trace::{SpanId, TraceId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use self::{
    context::Context,
    span::{Kind, Record, Span},
};
use crate::clock::Clock;

/// Capacity of the export queue; at about 400 bytes per span, less than 1 MB.
const MAX_QUEUED_SPANS: usize = 2048;

/// Trace collector and sampling ratio.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The collector's address; it accepts OTLP over HTTP at `/v1/traces`.
    pub collector: SocketAddr,
    /// The ratio of traces started here that are sampled, from 0 to 1. The
    /// sampling decision in a caller's trace context takes precedence.
    #[serde(default = "default_sample")]
    pub sample: f64,
}

/// The default of [`Settings::sample`].
fn default_sample() -> f64 {
    0.01
}

/// Starts spans and queues the ended ones for the exporter.
pub struct Tracer {
    sample_ratio: f64,
    is_exporting: bool,
    clock: Rc<dyn Clock>,
    /// The wall clock time at which `clock` was zero. Read once, so that a span
    /// can't end before its start when the wall clock is adjusted.
    epoch: Duration,
    random: RefCell<SmallRng>,
    ended: RefCell<VecDeque<Record>>,
    dropped: Cell<u64>,
}

impl std::fmt::Debug for Tracer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Tracer").finish_non_exhaustive()
    }
}

impl Tracer {
    /// Creates a tracer; without settings it propagates contexts but records nothing.
    ///
    /// ```
    /// use verbenaspool_transport::{clock::Monotonic, trace::{Tracer, span::Kind}};
    ///
    /// let tracer = Tracer::new(None, Monotonic::start());
    /// let span = tracer.root(None, "entry", Kind::Server);
    /// assert!(!span.context().sampled);
    /// ```
    #[must_use]
    pub fn new(settings: Option<&Settings>, clock: Rc<dyn Clock>) -> Rc<Self> {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        Rc::new(Self {
            sample_ratio: settings.map_or(0.0, |settings| settings.sample),
            is_exporting: settings.is_some(),
            epoch: unix_time.unwrap_or_default().saturating_sub(clock.now()),
            clock,
            random: RefCell::new(SmallRng::from_os_rng()),
            ended: RefCell::default(),
            dropped: Cell::new(0),
        })
    }

    /// Starts the span of an incoming request, as a child of the remote context if
    /// there is one.
    ///
    /// ```
    /// use verbenaspool_transport::{
    ///     clock::Monotonic,
    ///     trace::{Tracer, context::Context, span::Kind},
    /// };
    ///
    /// let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    /// let remote = Context::parse(text);
    /// let tracer = Tracer::new(None, Monotonic::start());
    /// let span = tracer.root(remote, "entry", Kind::Server);
    /// assert_eq!(span.context().trace, remote.unwrap().trace);
    /// ```
    #[must_use]
    pub fn root(self: &Rc<Self>, remote: Option<Context>, name: &'static str, kind: Kind) -> Span {
        let parent = remote.unwrap_or_else(|| self.new_trace());
        let parent_span = remote.map_or(SpanId::INVALID, |remote| remote.span);
        self.start(parent, parent_span, name, kind)
    }

    /// Starts a child span.
    ///
    /// ```
    /// use verbenaspool_transport::{clock::Monotonic, trace::{Tracer, span::Kind}};
    ///
    /// let tracer = Tracer::new(None, Monotonic::start());
    /// let span = tracer.root(None, "entry", Kind::Server);
    /// let step = tracer.child(span.context(), "queue", Kind::Internal);
    /// assert_eq!(step.context().trace, span.context().trace);
    /// ```
    #[must_use]
    pub fn child(self: &Rc<Self>, parent: Context, name: &'static str, kind: Kind) -> Span {
        self.start(parent, parent.span, name, kind)
    }

    /// The number of spans dropped because the queue was full.
    ///
    /// ```
    /// use verbenaspool_transport::{clock::Monotonic, trace::Tracer};
    ///
    /// assert_eq!(Tracer::new(None, Monotonic::start()).dropped(), 0);
    /// ```
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Removes up to `max` ended spans from the queue, oldest first.
    ///
    /// ```
    /// use verbenaspool_transport::{clock::Monotonic, trace::Tracer};
    ///
    /// assert!(Tracer::new(None, Monotonic::start()).take_ended(10).is_empty());
    /// ```
    #[must_use]
    pub fn take_ended(&self, max: usize) -> Vec<Record> {
        let mut ended = self.ended.borrow_mut();
        let count = max.min(ended.len());
        ended.drain(..count).collect()
    }

    /// The context of a new trace, with its sampling decision.
    fn new_trace(&self) -> Context {
        let mut random = self.random.borrow_mut();
        Context {
            trace: TraceId::from(random.random_range(1..=u128::MAX)),
            span: SpanId::INVALID,
            sampled: self.sample_ratio > 0.0 && random.random::<f64>() < self.sample_ratio,
        }
    }

    /// Starts a span in the parent's trace.
    fn start(
        self: &Rc<Self>,
        parent: Context,
        parent_span: SpanId,
        name: &'static str,
        kind: Kind,
    ) -> Span {
        let span = self.random.borrow_mut().random_range(1..=u64::MAX);
        let context = Context {
            span: SpanId::from(span),
            ..parent
        };
        let record = (context.sampled && self.is_exporting)
            .then(|| Record::new(context, parent_span, name, kind, self.unix_time()));
        Span::new(self.clone(), context, record)
    }

    /// The time since the Unix epoch, advancing with the monotonic clock.
    fn unix_time(&self) -> Duration {
        self.epoch + self.clock.now()
    }

    /// Queues an ended span for export.
    fn end(&self, mut record: Record) {
        let mut ended = self.ended.borrow_mut();
        if ended.len() >= MAX_QUEUED_SPANS {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        record.end = self.unix_time();
        ended.push_back(record);
    }
}
