//! Tests of malformed requests and the errors that they get.

use std::time::Duration;

use monoio::net::TcpStream;
use verbenaspool::settings::Limits;
use verbenaspool_transport::shutdown;

use crate::{
    agent::FakeAgent,
    deployment::{CREDENTIAL, Deployment, fake_upstream, run_test},
};

/// A malformed request, and the status and code of its answer.
struct Case {
    name: &'static str,
    request: String,
    status: u16,
    code: &'static str,
}

fn case(name: &'static str, request: String, status: u16, code: &'static str) -> Case {
    Case {
        name,
        request,
        status,
        code,
    }
}

/// A request head with the customer's credential and further header lines.
fn head(line: &str, more: &str) -> String {
    format!("{line} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {CREDENTIAL}\r\n{more}\r\n")
}

/// Requests that are not valid HTTP, or too large.
fn malformed() -> Vec<Case> {
    let post = "POST /jobs/bookings";
    vec![
        case("no HTTP", "\u{1}\u{2}\u{3}\r\n\r\n".into(), 400, ""),
        case("no version", "GET /jobs/\r\n\r\n".into(), 400, ""),
        case("bad header name", head(post, "a b: c\r\n"), 400, ""),
        case(
            "large head",
            head(post, &format!("x: {}\r\n", "x".repeat(70_000))),
            431,
            "",
        ),
        case("many headers", head(post, &"x: y\r\n".repeat(200)), 431, ""),
        case(
            "large body",
            head(post, "Content-Length: 5000\r\n"),
            413,
            "too-large",
        ),
        case(
            "large chunked body",
            head(post, "Transfer-Encoding: chunked\r\n")
                + "1000\r\n"
                + &"x".repeat(0x1000)
                + "\r\n",
            413,
            "too-large",
        ),
        case(
            "bad chunk",
            head(post, "Transfer-Encoding: chunked\r\n") + "zz\r\n",
            400,
            "bad-request",
        ),
        case(
            "two lengths",
            head(post, "Content-Length: 3\r\nContent-Length: 5\r\n") + "abcde",
            400,
            "",
        ),
    ]
}

/// Requests that are valid HTTP but not valid for the entry.
fn invalid() -> Vec<Case> {
    let post = "POST /jobs/bookings";
    vec![
        case(
            "no credential",
            "GET /jobs/ HTTP/1.1\r\nHost: a\r\n\r\n".into(),
            401,
            "unauthorized",
        ),
        case(
            "another firm's customer",
            "GET /jobs/ HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer quetzal\r\n\r\n".into(),
            401,
            "unauthorized",
        ),
        case(
            "a service the customer may not use",
            "GET /loft/ HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer tweed\r\n\r\n".into(),
            403,
            "forbidden",
        ),
        case(
            "unknown service",
            head("GET /nothing", ""),
            404,
            "unknown-service",
        ),
        case(
            "near miss of a path",
            head("GET /jobsite", ""),
            404,
            "unknown-service",
        ),
        case(
            "no deadline",
            head(post, "x-verbenaspool-deadline-ms: soon\r\n"),
            400,
            "bad-request",
        ),
        case(
            "deadline of 0",
            head(post, "x-verbenaspool-deadline-ms: 0\r\n"),
            400,
            "bad-request",
        ),
        case(
            "negative deadline",
            head(post, "x-verbenaspool-deadline-ms: -1\r\n"),
            400,
            "bad-request",
        ),
        case(
            "no priority",
            head(post, "x-verbenaspool-priority: urgent\r\n"),
            400,
            "bad-request",
        ),
        case(
            "invalid UTF-8",
            head(post, "idempotency-key: \u{e9}\r\n"),
            400,
            "bad-request",
        ),
        case(
            "empty key",
            head(post, "idempotency-key:\r\n"),
            400,
            "bad-request",
        ),
        case(
            "two keys",
            head(post, "idempotency-key: a\r\nidempotency-key: b\r\n"),
            400,
            "bad-request",
        ),
    ]
}

/// Limits that a test can reach quickly.
fn tight_limits() -> Limits {
    Limits {
        body_bytes: 3_000,
        head_ms: 300,
        pause_ms: 300,
        ..Limits::default()
    }
}

#[test]
fn each_gets_its_error_and_others_are_served() {
    run_test(async {
        let (_stop, signal) = shutdown::channel();
        let agent = std::rc::Rc::new(FakeAgent::default());
        let upstreams = [fake_upstream("jobs-1", "jobs", &agent, &signal)];
        let deployment = Deployment::with_limits(tight_limits(), &upstreams);
        for case in malformed().into_iter().chain(invalid()) {
            let answer = deployment.send_raw(case.request).await;
            let status = case.status.to_string();
            assert_eq!(
                answer.get(9..12),
                Some(status.as_str()),
                "{}: {answer}",
                case.name
            );
            assert!(answer.contains(case.code), "{}: {answer}", case.name);
            let good = head("GET /jobs/1", "Connection: close\r\n");
            let answer = deployment.send_raw(good).await;
            assert!(
                answer.starts_with("HTTP/1.1 200"),
                "after {}: {answer}",
                case.name
            );
        }
    });
}

#[test]
fn an_ambiguous_length_does_not_smuggle_a_request() {
    // Guards against request smuggling: if a request gives its length in two ways, an entry
    // that uses one of them would serve the rest as another request, past the checks.
    run_test(async {
        let (_stop, signal) = shutdown::channel();
        let agent = std::rc::Rc::new(FakeAgent::default());
        let deployment = Deployment::start(&[fake_upstream("jobs-1", "jobs", &agent, &signal)]);
        let more = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";
        let smuggled = head("GET /jobs/smuggled", "");
        let bytes = head("POST /jobs/bookings", more) + "0\r\n\r\n" + &smuggled;
        let answer = deployment.send_raw(bytes).await;
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
        let received = agent.received.borrow();
        assert!(received.iter().all(|request| request.path != "/smuggled"));
    });
}

#[test]
fn slow_senders_are_closed() {
    run_test(async {
        let (_stop, signal) = shutdown::channel();
        let agent = std::rc::Rc::new(FakeAgent::default());
        let deployment = Deployment::with_limits(
            tight_limits(),
            &[fake_upstream("jobs-1", "jobs", &agent, &signal)],
        );
        let start = "POST /jobs/ HTTP/1.1\r\nHo";
        let _ = deployment.send_raw(start).await;
        let body = head("POST /jobs/bookings", "Content-Length: 10\r\n");
        let answer = deployment.send_raw(body.clone()).await;
        assert!(answer.contains("slow-sender"), "{answer}");
        assert!(answer.contains("not-run"), "{answer}");
        let answer = deployment.send_raw(body + "abc").await;
        assert!(answer.contains("slow-sender"), "{answer}");
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(deployment.entry.connections.count(), 0);
    });
}

#[test]
fn an_entry_without_configuration_rejects_requests() {
    run_test(async {
        let deployment = Deployment::unconfigured(Limits::default());
        let answer = deployment.send_raw(head("GET /jobs/1", "")).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("not-ready"), "{answer}");
    });
}

#[test]
fn header_values_that_are_not_text_are_rejected() {
    run_test(async {
        let deployment = Deployment::start(&[]);
        let start = head("POST /jobs/bookings", "").trim_end().to_owned();
        let mut request = (start + "\r\nidempotency-key: ").into_bytes();
        request.extend_from_slice(b"\xff\xfe\r\n\r\n");
        let answer = deployment.send_raw(request).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert!(answer.contains("bad-request"), "{answer}");
    });
}

#[test]
fn a_connection_over_the_limit_is_closed() {
    // Guards against a caller that makes the entry unavailable by opening connections without
    // limit.
    run_test(async {
        let limits = Limits {
            connections: 2,
            ..Limits::default()
        };
        let deployment = Deployment::with_limits(limits, &[]);
        let open = [
            TcpStream::connect(deployment.address).await.unwrap(),
            TcpStream::connect(deployment.address).await.unwrap(),
        ];
        monoio::time::sleep(Duration::from_millis(50)).await;
        let request = head("GET /jobs/1", "Connection: close\r\n");
        assert_eq!(deployment.send_raw(request.clone()).await, "");
        drop(open);
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert!(
            deployment
                .send_raw(request)
                .await
                .starts_with("HTTP/1.1 503")
        );
    });
}
