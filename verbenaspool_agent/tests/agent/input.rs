//! Invalid input: the sender gets an error or a closed connection, and the next request
//! is not affected.

use std::{net::SocketAddr, time::Duration};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt},
    net::TcpStream,
};

use verbenaspool_agent::settings;
use verbenaspool_protocol::{attempt, settle::Answer};
use verbenaspool_standin::engine::Config;

use crate::rig::{Rig, engine, run, service, settings};

/// Timeout for the first bytes of a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without further bytes after which a reply is complete.
const IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// Sends bytes and returns the reply until the peer closes the connection or sends no more.
async fn send(address: SocketAddr, bytes: Vec<u8>) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    receive(stream).await
}

/// Like [`send`], but closes the sending side, so that the message is truncated.
async fn send_truncated(address: SocketAddr, bytes: Vec<u8>) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    receive(stream).await
}

async fn receive(mut stream: TcpStream) -> String {
    let mut received = Vec::new();
    loop {
        let wait = if received.is_empty() {
            REPLY_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        let read = monoio::time::timeout(wait, stream.read(vec![0; 4096])).await;
        match read {
            Ok((Ok(read), chunk)) if read > 0 => received.extend_from_slice(&chunk[..read]),
            _ => return String::from_utf8_lossy(&received).into_owned(),
        }
    }
}

/// A request with one replaced, added or (without a value) removed header line.
fn head(agent: u64, line: &str) -> Vec<u8> {
    let mut lines = vec![
        "x-verbenaspool-attempt: 00000000000000ff-1".to_owned(),
        format!("x-verbenaspool-agent: {agent}"),
        "x-verbenaspool-instance: tidewater/loft-1".to_owned(),
        "content-length: 0".to_owned(),
    ];
    let name = line.split(':').next().unwrap_or_default();
    lines.retain(|other| !other.starts_with(name));
    if line.contains(':') {
        lines.push(line.to_owned());
    }
    let lines = lines.join("\r\n");
    format!("POST /v1/completions HTTP/1.1\r\nhost: a\r\n{lines}\r\n\r\n").into_bytes()
}

#[test]
fn bad_requests() {
    run(async {
        let (address, parts) = engine(Config::default());
        let rig = Rig::start(settings(address, "engine"));
        let with = |line: &str| head(rig.agent, line);
        let path = |path: &str| {
            let text = String::from_utf8(with("accept: *")).unwrap();
            text.replace("/v1/completions", path).into_bytes()
        };
        let mut invalid = with("x-verbenaspool-attempt: odd");
        let at = invalid
            .windows(3)
            .position(|three| three == b"odd")
            .unwrap();
        invalid[at] = 0xff;
        let long = format!("x-long: {}", "a".repeat(70_000));
        let table: [(&str, Vec<u8>, &str, &str); 16] = [
            ("no HTTP", b"\0\xff\r\n\r\n".to_vec(), "400", ""),
            ("long head", with(&long), "431", ""),
            (
                "no attempt",
                with("x-verbenaspool-attempt"),
                "400",
                "bad-request",
            ),
            (
                "malformed attempt",
                with("x-verbenaspool-attempt: 1"),
                "400",
                "bad-request",
            ),
            ("no UTF-8", invalid, "400", "bad-request"),
            (
                "no agent",
                with("x-verbenaspool-agent"),
                "503",
                "stale-attempt",
            ),
            (
                "another agent",
                with("x-verbenaspool-agent: 1"),
                "503",
                "stale-attempt",
            ),
            (
                "malformed deadline",
                with("x-verbenaspool-deadline-ms: soon"),
                "400",
                "bad-request",
            ),
            (
                "no time left",
                with("x-verbenaspool-deadline-ms: 0"),
                "504",
                "deadline",
            ),
            (
                "large body",
                with("content-length: 99999999"),
                "413",
                "too-large",
            ),
            (
                "two lengths",
                with("content-length: 1\r\ncontent-length: 2"),
                "400",
                "",
            ),
            ("orders", path("/order"), "403", "forbidden"),
            ("orders by dots", path("/v1/../order"), "403", "forbidden"),
            (
                "orders by escapes",
                path("/v1/%2e%2e/order"),
                "403",
                "forbidden",
            ),
            ("orders by slashes", path("/v1//order"), "403", "forbidden"),
            (
                "orders by a host",
                path("http://a/order"),
                "403",
                "forbidden",
            ),
        ];
        for (name, bytes, status, code) in table {
            let received = send(rig.data, bytes).await;
            let line = format!("HTTP/1.1 {status}");
            assert!(received.starts_with(&line), "{name}: {received}");
            assert!(received.contains(code), "{name}: {received}");
            let from_agent = !code.is_empty();
            let not_run = received.contains("x-verbenaspool-outcome: not-run");
            assert_eq!(not_run, from_agent, "{name}: {received}");
            assert!(
                rig.complete("Net", 1).await.unwrap().text().is_some(),
                "{name}"
            );
        }
        assert_eq!(parts.orders.executed(), []);
    });
}

#[test]
fn an_ambiguous_length_smuggles_no_request() {
    // Guards against request smuggling: with two conflicting lengths, the rest of the body
    // could be served as another caller's request.
    run(async {
        let (address, journal) = service(Duration::ZERO);
        let rig = Rig::start(settings(address, "plain"));
        let inner = String::from_utf8(head(rig.agent, "x-inner: 1")).unwrap();
        let outer = head(rig.agent, "content-length: 5\r\ntransfer-encoding: chunked");
        let mut bytes = outer;
        bytes.extend_from_slice(format!("0\r\n\r\n{inner}").as_bytes());
        let received = send(rig.data, bytes).await;
        assert!(received.matches("HTTP/1.1").count() <= 1, "{received}");
        assert!(journal.writes.borrow().len() <= 1);
    });
}

#[test]
fn an_incomplete_write_does_not_run() {
    // Guards against running a truncated write: the entry fails while it forwards the
    // body.
    run(async {
        let (address, journal) = service(Duration::ZERO);
        let rig = Rig::start(settings(address, "plain"));
        let mut bytes = head(rig.agent, "content-length: 10");
        bytes.extend_from_slice(b"net");
        send_truncated(rig.data, bytes).await;
        assert!(rig.post(rig.next_id(), "/bookings", "net 7").await.is_ok());
        assert_eq!(*journal.writes.borrow(), ["net 7"]);
    });
}

#[test]
fn bad_frames() {
    run(async {
        let (address, _) = engine(Config::default());
        let rig = Rig::start(settings(address, "engine"));
        let partial = vec![0, 0, 0, 9, b'{'];
        assert_eq!(send_truncated(rig.control, partial).await, "", "cut off");
        let frame = |text: &[u8]| {
            let length = u32::try_from(text.len()).unwrap();
            [length.to_be_bytes().as_slice(), text].concat()
        };
        let call = |method: &str, param: &str| {
            let text =
                format!(r#"{{"jsonrpc":"2.0","id":1,"method":"{method}","params":[{param}]}}"#);
            frame(text.as_bytes())
        };
        let invalid = r#"{"attempt":"zz-1","agent":1}"#;
        let unknown_key = r#"{"since":1,"more":2}"#;
        let table = [
            ("too long", vec![0xff; 8], ""),
            ("no UTF-8", frame(b"\xff\xfe"), ""),
            ("no JSON", frame(b"{]"), ""),
            ("no call", frame(b"7"), ""),
            ("unknown method", call("group_none", "1"), "error"),
            (
                "malformed attempt",
                call("attempt_settle", invalid),
                "error",
            ),
            ("unknown key", call("agent_report", unknown_key), "error"),
        ];
        for (name, bytes, expected) in table {
            let received = send(rig.control, bytes).await;
            assert_eq!(
                received.is_empty(),
                expected.is_empty(),
                "{name}: {received}"
            );
            assert!(received.contains(expected), "{name}: {received}");
            assert_eq!(rig.report(0).await.load.agent, rig.agent, "{name}");
        }
    });
}

#[test]
fn a_status_request_for_another_process_leaves_no_tombstone() {
    run(async {
        let (address, _) = service(Duration::ZERO);
        let mut rig = Rig::start(settings(address, "plain"));
        let attempt = attempt::Id {
            incarnation: 9,
            counter: 1,
        };
        let right = rig.agent;
        rig.agent = right.wrapping_add(1);
        assert_eq!(rig.settle(attempt).await, Answer::Unknown);
        rig.agent = right;
        assert!(
            rig.post(attempt, "/bookings", "net 7")
                .await
                .unwrap()
                .code()
                .is_none()
        );
    });
}

#[test]
fn bad_settings() {
    const GOOD: &str = "firm: tidewater\ninstance: loft-1\nlisten: 127.0.0.1:7101\ncontrol: 127.0.0.1:7102\n\
                        upstream: {address: '127.0.0.1:7100', kind: engine}\n";
    let table = [
        ("", "missing field `firm`"),
        ("more: 1\n", "settings:6: unknown field `more`"),
        (
            "limits: {requests: many}\n",
            "settings:6: limits.requests: invalid type",
        ),
        (
            "limits: {requests: 0}\n",
            "limits.requests: must be at least 1",
        ),
        (
            "limits: {remembered: 1}\ndrain: {deadline_seconds: 1}\n",
            "limits.remembered: must be at least limits.requests; drain.linger_ms: is longer",
        ),
        (
            "log: {form: xml}\n",
            "settings:6: log.form: unknown variant `xml`",
        ),
        ("drain: [\n", "settings:"),
    ];
    assert!(settings::read(GOOD).is_ok());
    assert!(settings::read(include_str!("../../../examples/agent.yaml")).is_ok());
    for (lines, reason) in table {
        let text = if lines.is_empty() {
            "{}".to_owned()
        } else {
            format!("{GOOD}{lines}")
        };
        let error = settings::read(&text).unwrap_err().to_string();
        assert!(error.contains(reason), "{lines}: {error}");
    }
}
