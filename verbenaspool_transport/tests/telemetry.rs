//! Exported traces and metrics, trace contexts, and error messages of settings.

use std::{cell::RefCell, net::SocketAddr, path::Path, rc::Rc, time::Duration};

use expect_test::expect;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use monoio::net::TcpListener;
use opentelemetry_proto::tonic::{
    collector::trace::v1::ExportTraceServiceRequest, trace::v1::Span as ProtoSpan,
};
use prost::Message as _;
use serde::Deserialize;
use verbenaspool_transport::{
    clock::Paused,
    http::{
        body::Body,
        server::{self, Connections, Handler, Limits, ResponseFuture},
    },
    metrics::Registry,
    runtime, settings, shutdown,
    trace::{Settings, Tracer, context::Context, export::Exporter, span::Kind},
};

/// A collector that stores the spans it receives.
#[derive(Default)]
struct Collector(RefCell<Vec<ProtoSpan>>);

impl Handler for Collector {
    fn handle(self: Rc<Self>, _: SocketAddr, request: Request<Incoming>) -> ResponseFuture {
        Box::pin(async move {
            assert_eq!(request.uri(), "/v1/traces");
            let body = request.into_body().collect().await.unwrap().to_bytes();
            let message = ExportTraceServiceRequest::decode(body).unwrap();
            let resources = message.resource_spans.into_iter();
            let spans = resources
                .flat_map(|resource| resource.scope_spans)
                .flat_map(|scope| scope.spans);
            self.0.borrow_mut().extend(spans);
            Response::new(Body::empty())
        })
    }
}

/// A tracer that records all spans, on a paused clock.
fn tracer(collector: SocketAddr) -> (Rc<Tracer>, Rc<Paused>) {
    let clock = Rc::new(Paused::default());
    let settings = Settings {
        collector,
        sample: 1.0,
    };
    (Tracer::new(Some(&settings), clock.clone()), clock)
}

#[test]
fn spans_reach_the_collector() {
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let collector = Rc::new(Collector::default());
        let (_stop, signal) = shutdown::channel();
        let limits = Limits::default();
        let handler = collector.clone();
        monoio::spawn(server::serve(
            listener,
            limits,
            handler,
            Connections::default(),
            signal,
        ));
        let (tracer, clock) = tracer(address);
        let remote = Context::parse("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
        let mut span = tracer.root(remote, "entry", Kind::Server);
        span.set_attribute("service", "jobs");
        let step = span.child("queue", Kind::Internal);
        clock.advance(Duration::from_millis(7));
        drop(step);
        span.fail("the answer was lost");
        drop(span);
        assert!(Exporter::new(tracer, address, Vec::new()).flush().await);
        let spans = collector.0.borrow();
        let [step, span] = &spans[..] else {
            panic!("{spans:?}")
        };
        assert_eq!((step.name.as_str(), span.name.as_str()), ("queue", "entry"));
        assert_eq!(
            step.end_time_unix_nano - step.start_time_unix_nano,
            7_000_000
        );
        assert_eq!(step.parent_span_id, span.span_id);
        assert_eq!(span.parent_span_id, 0xb7ad_6b71_6920_3331_u64.to_be_bytes());
        assert_eq!(span.trace_id, step.trace_id);
        assert_eq!(span.status.as_ref().unwrap().message, "the answer was lost");
        assert_eq!(span.attributes[0].key, "service");
    })
    .unwrap();
}

#[test]
fn a_dead_collector_uses_bounded_memory() {
    // While the collector is down, spans that pile up in the process would use more
    // memory until the process is killed.
    runtime::run(async {
        let unused_address = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let (tracer, _clock) = tracer(unused_address);
        for _ in 0..10_000 {
            drop(tracer.root(None, "entry", Kind::Server));
        }
        let dropped = tracer.dropped();
        assert!((1..10_000).contains(&dropped));
        assert!(
            !Exporter::new(tracer.clone(), unused_address, Vec::new())
                .flush()
                .await
        );
        let queued = u64::try_from(tracer.take_ended(usize::MAX).len()).unwrap();
        assert!(queued + dropped < 10_000);
    })
    .unwrap();
}

#[test]
fn unsampled_traces_are_not_recorded() {
    let (tracer, _clock) = tracer("127.0.0.1:1".parse().unwrap());
    let remote = Context::parse("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00");
    let span = tracer.root(remote, "entry", Kind::Server);
    assert!(span.context().to_string().ends_with("-00"));
    drop(span);
    assert!(tracer.take_ended(1).is_empty());
}

#[test]
fn malformed_contexts_are_ignored() {
    let valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let cases = [
        String::new(),
        "00".into(),
        valid.to_uppercase(),
        valid.replace("00-", "ff-"),
        format!("{valid}-more"),
        valid.replace("b7ad6b7169203331", "0000000000000000"),
        valid.replace("0af7651916cd43dd8448eb211c80319c", &"0".repeat(32)),
        valid.replace("-01", "-+1"),
        valid.replace("-01", "-0\u{e9}"),
    ];
    for case in cases {
        assert_eq!(Context::parse(&case), None, "{case}");
    }
    assert!(Context::parse(&format!("cc{}-more", &valid[2..])).is_some());
}

#[test]
fn metrics_are_exported_as_prometheus_text() {
    let metrics = Registry::default();
    let pairs = [("service", "a\"b\\c")];
    metrics
        .counter("requests_total", "Requests.", &pairs)
        .add(3);
    metrics.gauge("open", "Open connections.", &[]).set(1.5);
    let histogram = metrics.histogram("took_seconds", "Times.", &[("outcome", "ran")]);
    histogram.record(Duration::from_micros(90));
    histogram.record(Duration::from_millis(30));
    histogram.record(Duration::from_mins(15));
    let lines: Vec<_> = metrics.text().lines().map(str::to_owned).collect();
    let selected = lines.iter().filter(|line| {
        !line.contains("_bucket")
            || line.contains("0.0001")
            || line.contains("0.05\"")
            || line.contains("Inf")
    });
    let selected: Vec<_> = selected.cloned().collect();
    expect![[r#"
        # HELP open Open connections.
        # TYPE open gauge
        open 1.5
        # HELP requests_total Requests.
        # TYPE requests_total counter
        requests_total{service="a\"b\\c"} 3
        # HELP took_seconds Times.
        # TYPE took_seconds histogram
        took_seconds_bucket{outcome="ran",le="0.0001"} 1
        took_seconds_bucket{outcome="ran",le="0.05"} 2
        took_seconds_bucket{outcome="ran",le="+Inf"} 3
        took_seconds_sum{outcome="ran"} 900.03009
        took_seconds_count{outcome="ran"} 3"#]]
    .assert_eq(&selected.join("\n"));
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sample {
    #[allow(dead_code)] // Only parsed.
    log: Inner,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Inner {
    #[allow(dead_code)] // Only parsed.
    lines: u32,
}

#[test]
fn errors_of_settings_name_line_key_and_reason() {
    let cases = [
        "log:\n  lines: 3\n  level: x\n",
        "log:\n  lines: many\n",
        "log: {}\n",
        "log: [\n",
        "# nothing\n",
    ];
    let path = Path::new("entry.yaml");
    let errors = cases.map(|text| {
        settings::parse::<Sample>(path, text)
            .unwrap_err()
            .to_string()
    });
    expect![[r#"
        entry.yaml:3: log: unknown field `level`, expected `lines`
        entry.yaml:2: log.lines: invalid type: string "many", expected u32
        entry.yaml:1: log: missing field `lines`
        entry.yaml:1: log: invalid type: sequence, expected struct Inner
        entry.yaml:2: missing field `log`"#]]
    .assert_eq(&errors.join("\n"));
    let missing = settings::load::<Sample>(Path::new("/nonexistent.yaml")).unwrap_err();
    assert_eq!(missing.line, None);
}
