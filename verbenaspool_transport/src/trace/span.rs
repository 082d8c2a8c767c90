//! Spans: the time that one hop of a request takes.

use std::{rc::Rc, time::Duration};

use opentelemetry::trace::SpanId;

use super::{Tracer, context::Context};

/// What a span stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A step inside the process.
    Internal,
    /// The handling of a request that came in.
    Server,
    /// A request that goes out.
    Client,
}

/// The value of an attribute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// A text.
    Text(String),
    /// A number.
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

/// What is kept of a recorded span.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Its trace and its own id.
    pub context: Context,
    /// The span above it; invalid for the first of a trace.
    pub parent: SpanId,
    /// The hop.
    pub name: &'static str,
    /// What it stands for.
    pub kind: Kind,
    /// When it began, since the Unix epoch.
    pub start: Duration,
    /// When it ended, since the Unix epoch.
    pub end: Duration,
    /// What else is known of it.
    pub attributes: Vec<(&'static str, Value)>,
    /// Why the hop failed, where it did.
    pub failure: Option<&'static str>,
}

impl Record {
    /// A record of a span that begins.
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

/// A span under way. It ends when it is dropped, so that a hop that is
/// cancelled is recorded as well.
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

    /// The context to pass on with what this hop sends.
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

    /// A span of a step of this one.
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

    /// Notes something about the hop, if it is recorded.
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

    /// Notes that the hop failed.
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
