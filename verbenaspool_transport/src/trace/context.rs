//! W3C trace context, as carried in the `traceparent` header.

use std::fmt;

use opentelemetry::trace::{SpanId, TraceId};

/// Length of a version 00 `traceparent`.
const VERSION_00_BYTES: usize = 55;

/// Trace flag that marks a sampled trace.
const SAMPLED_FLAG: u8 = 1;

/// The trace and span that a message belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Context {
    /// The trace ID.
    pub trace: TraceId,
    /// The ID of the sender's span.
    pub span: SpanId,
    /// Whether the trace is recorded.
    pub sampled: bool,
}

impl Context {
    /// Parses a `traceparent`. A malformed one is ignored, so that a new trace starts.
    ///
    /// ```
    /// use verbenaspool_transport::trace::context::Context;
    ///
    /// let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    /// assert_eq!(Context::parse(text).unwrap().to_string(), text);
    /// assert_eq!(Context::parse("00-xyz"), None);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let hex = |part: &str| {
            part.bytes()
                .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
        };
        let mut parts = text.splitn(5, '-');
        let version = parts.next().filter(|part| part.len() == 2 && hex(part))?;
        let trace = parts.next().filter(|part| part.len() == 32 && hex(part))?;
        let span = parts.next().filter(|part| part.len() == 16 && hex(part))?;
        let flags = parts.next().filter(|part| part.len() == 2 && hex(part))?;
        // Later versions may append fields, version 00 must not, and ff is invalid.
        if version == "ff" || version == "00" && text.len() != VERSION_00_BYTES {
            return None;
        }
        let context = Self {
            trace: TraceId::from_hex(trace).ok()?,
            span: SpanId::from_hex(span).ok()?,
            sampled: u8::from_str_radix(flags, 16).ok()? & SAMPLED_FLAG != 0,
        };
        let valid = context.trace != TraceId::INVALID && context.span != SpanId::INVALID;
        valid.then_some(context)
    }
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(f, "00-{}-{}-{flags:02x}", self.trace, self.span)
    }
}
