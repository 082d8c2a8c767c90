//! Systems that send responses without end: the store, peers and collectors of traces.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::mpsc,
    time::{Duration, Instant},
};

use http::Request;
use monoio_http::common::body::HttpBody;
use verbenaspool_transport::{
    clock::Monotonic,
    http::memory::Budget,
    platform::client::Channel,
    rpc, runtime,
    trace::{Settings, Tracer, export::Exporter, span::Kind},
};

/// Timeout of a call. A response that exceeds its limit ends the call earlier.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// More than each limit: what a server sends before it gives up.
const MAX_SENT_BYTES: usize = 256 * 1024 * 1024;

/// How many more bytes than its limit a system may send: the kernel's buffers of both sides, which
/// the store's and the peers' clients leave to the system.
const MAX_KERNEL_BYTES: usize = 24 * 1024 * 1024;

/// Starts a server that answers one connection with `head` and then with `filler` again and again.
/// The receiver gets how much was sent until the connection was closed.
fn endless(head: &[u8], filler: &[u8]) -> (SocketAddr, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("its address");
    let (sender, receiver) = mpsc::channel();
    let (head, filler) = (head.to_vec(), filler.repeat(1 + 64 * 1024 / filler.len()));
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]);
        let mut sent = head.len();
        if stream.write_all(&head).is_ok() {
            while sent < MAX_SENT_BYTES && stream.write_all(&filler).is_ok() {
                sent += filler.len();
            }
        }
        let _ = sender.send(sent);
    });
    (address, receiver)
}

/// Checks that a server stopped sending soon after its limit.
fn assert_closed(name: &str, sent: &mpsc::Receiver<usize>, limit: usize) {
    let sent = sent
        .recv_timeout(Duration::from_secs(5))
        .unwrap_or_else(|_| panic!("{name}: the connection stays open"));
    assert!(sent <= limit + MAX_KERNEL_BYTES, "{name}: {sent} bytes");
}

/// Guards against a store that uses up the memory or blocks the calls of an entry by a response
/// without end.
#[test]
fn a_store_that_sends_without_end_is_cut_off() {
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".as_slice();
    let fixed = b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n".as_slice();
    let cases: [(&str, &[u8], &[u8], usize); 5] = [
        ("a head", b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n", 16 << 10),
        ("a line", b"HTTP/1.1 200 OK\r\nx-a: ", b"b", 16 << 10),
        ("chunks", chunked, b"8\r\n        \r\n", 8 << 20),
        ("one chunk", chunked, b"ffffffff", 8 << 20),
        ("a long body", fixed, b"        ", 8 << 20),
    ];
    for (name, head, filler, limit) in cases {
        let (address, sent) = endless(head, filler);
        let budget = Budget::new(64 << 20);
        let channel = Channel::new(address).with_budget(budget.clone());
        runtime::run(async {
            let request = Request::get("/").body(HttpBody::Ready(None));
            let called_at = Instant::now();
            let called = channel.call(request.expect("a request"), CALL_TIMEOUT);
            assert!(called.await.is_err(), "{name}");
            assert!(called_at.elapsed() < CALL_TIMEOUT, "{name}: a timeout");
        })
        .expect("a loop");
        assert_closed(name, &sent, limit);
        assert_eq!(budget.used(), 0, "{name}");
    }
}

/// Guards against a store whose long response is rejected though it is legitimate.
#[test]
fn a_listing_of_twelve_thousand_upstreams_is_read() {
    let body = "x".repeat(12_000 * 350);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let (address, _) = endless(format!("{head}{body}").as_bytes(), b" ");
    runtime::run(async {
        let channel = Channel::new(address).with_budget(Budget::new(64 << 20));
        let request = Request::get("/").body(HttpBody::Ready(None));
        let response = channel.call(request.expect("a request"), CALL_TIMEOUT);
        assert_eq!(response.await.expect("an answer").body().len(), body.len());
    })
    .expect("a loop");
}

/// Guards against a peer that uses up an entry's memory by a frame without end.
#[test]
fn a_peer_that_sends_a_frame_without_end_is_cut_off() {
    let cases: [(&str, &[u8], usize); 2] = [
        ("a frame beyond the limit", &[0xff; 4], 1 << 20),
        ("frames that are no responses", &[0, 16, 0, 0], 2 << 20),
    ];
    for (name, head, limit) in cases {
        let (address, sent) = endless(head, b"x");
        let budget = Budget::new(64 << 20);
        let client = rpc::Client::default().with_budget(budget.clone());
        runtime::run(async {
            let called = client.call::<_, u32>(address, "size", &"x", CALL_TIMEOUT);
            assert!(called.await.is_err(), "{name}");
        })
        .expect("a loop");
        drop(client);
        assert_closed(name, &sent, limit);
        assert_eq!(budget.used(), 0, "{name}");
    }
}

/// Guards against a peer whose unfinished calls occupy memory for minutes, and against a budget
/// that isn't given back.
#[test]
fn an_unfinished_call_is_cut_off() {
    runtime::run(async {
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (_trigger, signal) = verbenaspool_transport::shutdown::channel();
        let budget = Budget::new(64 << 20);
        let module = rpc::Module::default().with_budget(budget.clone());
        monoio::spawn(rpc::serve(listener, Rc::new(module), signal));
        let reader = std::thread::spawn(move || {
            let mut stream = std::net::TcpStream::connect(address).expect("a connection");
            stream.write_all(&[0, 16, 0, 0]).expect("a length");
            stream.write_all(&vec![b' '; 500_000]).expect("a part");
            stream.read(&mut [0; 1]).unwrap_or_default()
        });
        monoio::time::sleep(Duration::from_secs(2)).await;
        assert!(budget.used() >= 500_000, "{} bytes", budget.used());
        let started_at = Instant::now();
        while !reader.is_finished() {
            assert!(started_at.elapsed() < Duration::from_secs(15));
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(budget.used(), 0);
    })
    .expect("a loop");
}

/// Guards against a collector of traces that occupies memory or blocks exports by a response
/// without end.
#[test]
fn a_collector_that_sends_without_end_is_cut_off() {
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".as_slice();
    let cases: [(&str, &[u8], &[u8]); 3] = [
        ("a head", b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n"),
        ("chunks", chunked, b"8\r\n        \r\n"),
        ("a body", b"HTTP/1.1 200 OK\r\n\r\n", b" "),
    ];
    for (name, head, filler) in cases {
        let (collector, sent) = endless(head, filler);
        let settings = Settings {
            collector,
            sample: 1.0,
        };
        runtime::run(async {
            let clock = Monotonic::start();
            let tracer = Tracer::new(Some(&settings), clock);
            drop(tracer.root(None, "request", Kind::Server));
            let exporter = Exporter::new(tracer, collector, Vec::new());
            let started_at = Instant::now();
            assert!(!exporter.flush().await, "{name}");
            assert!(started_at.elapsed() < Duration::from_secs(4), "{name}");
            // The client's connection is closed in a task of its own.
            monoio::time::sleep(Duration::from_millis(100)).await;
        })
        .expect("a loop");
        assert_closed(name, &sent, 64 << 10);
    }
}
