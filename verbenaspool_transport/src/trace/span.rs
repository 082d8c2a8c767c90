//! Spans: one operation of a request each, with its start and end.

use std::{rc::Rc, time::Duration};

use opentelemetry::trace::SpanId;

use super::{Tracer, context::Context};

/// The kind of a span, as OpenTelemetry defines it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An operation inside the process.
    Internal,
    /// Handling of an incoming request.
    Server,
    /// An outgoing request.
    Client,
}

/// The value of an attribute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// A string.
    Text(String),
    /// An integer.
    Number(i64),
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<i64> for Value {
    fn from(number: i64) -> Self {
        Self::Number(number)
    }
}

/// The data of a recorded span.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Its trace ID and span ID.
    pub context: Context,
    /// The parent span; invalid for the root of a trace.
    pub parent: SpanId,
    /// The operation.
    pub name: &'static str,
    /// The kind of operation.
    pub kind: Kind,
    /// Start time since the Unix epoch.
    pub start: Duration,
    /// End time since the Unix epoch.
    pub end: Duration,
    /// Attributes in the order in which they were set.
    pub attributes: Vec<(&'static str, Value)>,
    /// Why the operation failed, if it did.
    pub failure: Option<&'static str>,
}

impl Record {
    /// Creates the record of a span that starts.
    pub(super) fn new(
        context: Context,
        parent: SpanId,
        name: &'static str,
        kind: Kind,
        start: Duration,
    ) -> Self {
        Self {
            context,
            parent,
            name,
            kind,
            start,
            end: start,
            attributes: Vec::new(),
            failure: None,
        }
    }
}

/// A span in progress. It ends when it is dropped, so that a cancelled operation
/// is recorded as well.
#[derive(Debug)]
pub struct Span {
    tracer: Rc<Tracer>,
    context: Context,
    record: Option<Box<Record>>,
}

impl Span {
    pub(super) fn new(tracer: Rc<Tracer>, context: Context, record: Option<Record>) -> Self {
        Self {
            tracer,
            context,
            record: record.map(Box::new),
        }
    }

    /// The context to propagate with outgoing requests.
    ///
    /// ```
    /// use verbenaspool_transport::{clock::Monotonic, trace::{Tracer, span::Kind}};
    ///
    /// let tracer = Tracer::new(None, Monotonic::start());
    /// let span = tracer.root(None, "entry", Kind::Server);
    /// assert!(span.context().to_string().starts_with("00-"));
    /// ```
    #[must_use]
    pub fn context(&self) -> Context {
        self.context
    }

    /// Starts a child span.
    ///
    /// ```
    /// use verbenaspool_transport::{clock::Monotonic, trace::{Tracer, span::Kind}};
    ///
    /// let tracer = Tracer::new(None, Monotonic::start());
    /// let span = tracer.root(None, "entry", Kind::Server);
    /// assert_ne!(span.child("queue", Kind::Internal).context(), span.context());
    /// ```
    #[must_use]
    pub fn child(&self, name: &'static str, kind: Kind) -> Self {
        self.tracer.child(self.context, name, kind)
    }

    /// Sets an attribute if the span is recorded.
    ///
    /// ```
    /// use verbenaspool_transport::{clock::Monotonic, trace::{Tracer, span::Kind}};
    ///
    /// let tracer = Tracer::new(None, Monotonic::start());
    /// tracer.root(None, "entry", Kind::Server).set_attribute("service", "jobs");
    /// ```
    pub fn set_attribute(&mut self, key: &'static str, value: impl Into<Value>) {
        if let Some(record) = &mut self.record {
            record.attributes.push((key, value.into()));
        }
    }

    /// Marks the span as failed.
    ///
    /// ```
    /// use verbenaspool_transport::{clock::Monotonic, trace::{Tracer, span::Kind}};
    ///
    /// let tracer = Tracer::new(None, Monotonic::start());
    /// tracer.root(None, "entry", Kind::Server).fail("the answer was lost");
    /// ```
    pub fn fail(&mut self, reason: &'static str) {
        if let Some(record) = &mut self.record {
            record.failure = Some(reason);
        }
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        if let Some(record) = self.record.take() {
            self.tracer.end(*record);
        }
    }
}
