//! The HTTP client: reuse of idle connections, and servers that want no requests.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    thread::JoinHandle,
    time::Duration,
};

use http::{Request, StatusCode};
use http_body_util::BodyExt;

use verbenaspool_transport::{
    http::{
        body::Body,
        client::{Client, Error},
    },
    runtime,
};

/// How long a connection is idle between requests.
const IDLE_TIME: Duration = Duration::from_millis(10);

#[test]
fn idle_connections_are_not_reused_after_the_idle_timeout() {
    // A server closes an idle connection while a request is written to it, so that
    // the client can't know whether the request ran. The client must stop using
    // connections before their server closes them.
    let cases = [
        ("longer than the idle time", Duration::from_hours(1), 1),
        ("shorter than the idle time", IDLE_TIME / 2, 2),
    ];
    for (name, idle_timeout, expected_connections) in cases {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        // Answers two requests and counts the connections that they use.
        let server = std::thread::spawn(move || {
            let mut accepted = 0;
            let mut responses = 0;
            while responses < 2 {
                let (mut stream, _) = listener.accept().expect("a connection");
                accepted += 1;
                while responses < 2 && stream.read(&mut [0; 4096]).is_ok_and(|read| read > 0) {
                    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    stream.write_all(response).expect("a response");
                    responses += 1;
                }
            }
            accepted
        });
        runtime::run(async {
            let client = Client::new(Duration::from_secs(5)).with_idle_timeout(idle_timeout);
            for _ in 0..2 {
                let request = Request::get("/").body(Body::empty()).expect("a request");
                let response = client.send(address, request).await.expect("a response");
                response.into_body().collect().await.expect("its body");
                monoio::time::sleep(IDLE_TIME).await;
            }
        })
        .expect("a loop");
        assert_eq!(
            server.join().expect("its count"),
            expected_connections,
            "{name}"
        );
    }
}

/// Answers one request on a new listener, and closes the listener.
fn answer_once(address: SocketAddr, response: &'static [u8]) -> (SocketAddr, JoinHandle<()>) {
    let listener = std::net::TcpListener::bind(address).expect("a listener");
    let address = listener.local_addr().expect("its address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        assert!(stream.read(&mut [0; 4096]).is_ok_and(|read| read > 0));
        stream.write_all(response).expect("a response");
    });
    (address, server)
}

/// Guards against a process that isn't used for as long as its predecessor at the address had
/// asked for.
#[test]
fn a_retry_after_ends_with_the_process_that_named_it() {
    let rejection = b"HTTP/1.1 503 x\r\nretry-after: 60\r\ncontent-length: 0\r\n\r\n";
    let success = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let (address, server) = answer_once(([127, 0, 0, 1], 0).into(), rejection);
    runtime::run(async {
        let client = Client::new(Duration::from_secs(1)).with_backoff();
        let send = async || {
            let request = Request::get("/").body(Body::empty()).expect("a request");
            client.send_on_new_connection(address, request).await
        };
        let rejected = send().await.expect("a response");
        assert_eq!(rejected.status(), StatusCode::SERVICE_UNAVAILABLE);
        server.join().expect("it has ended");
        assert!(matches!(send().await, Err(Error::NotSent(_))));
        assert!(!client.backoff_left(address).is_zero());
        monoio::time::sleep(Duration::from_millis(1_100)).await;
        assert!(matches!(send().await, Err(Error::NotSent(_))));
        assert!(client.backoff_left(address).is_zero());
        let (_, successor) = answer_once(address, success);
        assert!(
            send()
                .await
                .is_ok_and(|response| response.status() == StatusCode::OK)
        );
        successor.join().expect("it has ended");
    })
    .expect("a loop");
}
