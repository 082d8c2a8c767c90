//! Exports ended spans to the collector with OTLP over HTTP.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderValue, Request, header};
use http_body_util::{BodyExt, Limited};
use opentelemetry_proto::tonic::{
    collector::trace::v1::ExportTraceServiceRequest,
    common::v1::{AnyValue, InstrumentationScope, KeyValue, any_value},
    resource::v1::Resource,
    trace::v1::{
        ResourceSpans, ScopeSpans, Span as ProtoSpan, Status, span::SpanKind, status::StatusCode,
    },
};
use prost::Message as _;

use super::{
    Tracer,
    span::{Kind, Record, Value},
};
use crate::{
    clock::Clock,
    http::{body::Body, client::Client},
};

/// Maximum number of spans per export request.
const MAX_BATCH_SPANS: usize = 512;

/// Interval between exports.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit of connecting and of an export; a slower collector is treated as down.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Upper bound of the exponential delay after failed exports.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Maximum size of a collector's response. It lists the reasons why spans were rejected, a few
/// hundred bytes; the connection is closed after more.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The OTLP path for traces.
const TRACES_PATH: &str = "/v1/traces";

/// Content type of export requests.
const PROTOBUF: HeaderValue = HeaderValue::from_static("application/x-protobuf");

/// Exports a tracer's spans to a collector.
#[derive(Debug)]
pub struct Exporter {
    tracer: Rc<Tracer>,
    client: Client,
    collector: SocketAddr,
    /// Resource attributes: those of the process, common to all its spans.
    resource: Vec<(&'static str, String)>,
}

impl Exporter {
    /// Creates an exporter; `resource` holds attributes that identify the process.
    ///
    /// ```
    /// use verbenaspool_transport::{clock::Monotonic, trace::{Tracer, export::Exporter}};
    ///
    /// let tracer = Tracer::new(None, Monotonic::start());
    /// let resource = vec![("service.name", "verbenaspool".to_owned())];
    /// let exporter = Exporter::new(tracer, "127.0.0.1:4318".parse().unwrap(), resource);
    /// # drop(exporter);
    /// ```
    #[must_use]
    pub fn new(
        tracer: Rc<Tracer>,
        collector: SocketAddr,
        resource: Vec<(&'static str, String)>,
    ) -> Rc<Self> {
        Rc::new(Self {
            tracer,
            client: Client::new(EXPORT_TIMEOUT),
            collector,
            resource,
        })
    }

    /// Exports periodically until the process ends. Spans that the collector fails to
    /// accept are dropped: losing traces is acceptable, and keeping them would cost
    /// memory.
    pub async fn run(self: Rc<Self>, clock: Rc<dyn Clock>) {
        let mut delay = EXPORT_INTERVAL;
        loop {
            clock.sleep(delay).await;
            delay = if self.flush().await {
                EXPORT_INTERVAL
            } else {
                (delay * 2).min(MAX_RETRY_DELAY)
            };
        }
    }

    /// Exports all queued spans and returns whether the collector accepted them.
    pub async fn flush(&self) -> bool {
        loop {
            let records = self.tracer.take_ended(MAX_BATCH_SPANS);
            if records.is_empty() {
                return true;
            }
            if !self.send(export_request(&self.resource, records)).await {
                return false;
            }
        }
    }

    /// Sends one export request and returns whether the collector accepted it.
    async fn send(&self, export: ExportTraceServiceRequest) -> bool {
        let mut request = Request::new(Body::full(export.encode_to_vec()));
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = http::Uri::from_static(TRACES_PATH);
        let headers = request.headers_mut();
        headers.insert(header::CONTENT_TYPE, PROTOBUF);
        if let Ok(host) = HeaderValue::from_str(&self.collector.to_string()) {
            headers.insert(header::HOST, host);
        }
        let exchange = async {
            let response = self.client.send(self.collector, request).await.ok()?;
            let accepted = response.status().is_success();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            body.collect().await.ok()?;
            accepted.then_some(())
        };
        let result = monoio::time::timeout(EXPORT_TIMEOUT, exchange).await;
        matches!(result, Ok(Some(())))
    }
}

/// Builds the OTLP export request for some spans.
///
/// ```
/// use verbenaspool_transport::trace::export;
///
/// let request = export::export_request(&[("service.name", "verbenaspool".into())], Vec::new());
/// assert_eq!(request.resource_spans.len(), 1);
/// ```
#[must_use]
pub fn export_request(
    resource: &[(&'static str, String)],
    records: Vec<Record>,
) -> ExportTraceServiceRequest {
    let attributes = resource
        .iter()
        .map(|(key, value)| encode_attribute(key, Value::Text(value.clone())))
        .collect();
    let scope = ScopeSpans {
        scope: Some(InstrumentationScope {
            name: "verbenaspool".to_owned(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            ..InstrumentationScope::default()
        }),
        spans: records.into_iter().map(encode_span).collect(),
        schema_url: String::new(),
    };
    let spans = ResourceSpans {
        resource: Some(Resource {
            attributes,
            ..Resource::default()
        }),
        scope_spans: vec![scope],
        schema_url: String::new(),
    };
    ExportTraceServiceRequest {
        resource_spans: vec![spans],
    }
}

fn encode_span(record: Record) -> ProtoSpan {
    let parent = record.parent;
    let kind = match record.kind {
        Kind::Internal => SpanKind::Internal,
        Kind::Server => SpanKind::Server,
        Kind::Client => SpanKind::Client,
    };
    ProtoSpan {
        trace_id: record.context.trace.to_bytes().to_vec(),
        span_id: record.context.span.to_bytes().to_vec(),
        parent_span_id: if parent == opentelemetry::trace::SpanId::INVALID {
            Vec::new()
        } else {
            parent.to_bytes().to_vec()
        },
        name: record.name.to_owned(),
        kind: kind.into(),
        start_time_unix_nano: as_nanos(record.start),
        end_time_unix_nano: as_nanos(record.end),
        attributes: record
            .attributes
            .into_iter()
            .map(|(key, value)| encode_attribute(key, value))
            .collect(),
        status: record.failure.map(|reason| Status {
            message: reason.to_owned(),
            code: StatusCode::Error.into(),
        }),
        ..ProtoSpan::default()
    }
}

fn encode_attribute(key: &str, value: Value) -> KeyValue {
    let value = match value {
        Value::Text(text) => any_value::Value::StringValue(text),
        Value::Number(number) => any_value::Value::IntValue(number),
    };
    KeyValue {
        key: key.to_owned(),
        value: Some(AnyValue { value: Some(value) }),
        ..KeyValue::default()
    }
}

fn as_nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}
