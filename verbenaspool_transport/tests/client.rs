//! The HTTP client's connections.

use std::{
    io::{Read, Write},
    time::Duration,
};

use http::Request;
use http_body_util::BodyExt;

use verbenaspool_transport::{
    http::{body::Body, client::Client},
    runtime,
};

/// How long a connection lies idle between the requests.
const PAUSE: Duration = Duration::from_millis(10);

#[test]
fn an_idle_connection_is_given_up_before_its_server_closes_it() {
    // A job system closes connections that were idle for a while. A booking is
    // written into one at that moment: it may have run or not, and the skipper
    // is told "unknown". The client must not use a connection that old.
    let table = [
        ("kept longer", Duration::from_hours(1), 1),
        ("kept shorter", PAUSE / 2, 2),
    ];
    for (name, idle_timeout, connections) in table {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        // Answers two requests, however many connections they come on.
        let served = std::thread::spawn(move || {
            let mut accepted = 0;
            let mut answered = 0;
            while answered < 2 {
                let (mut stream, _) = listener.accept().expect("a connection");
                accepted += 1;
                while answered < 2 && stream.read(&mut [0; 4096]).is_ok_and(|read| read > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    stream.write_all(answer).expect("an answer");
                    answered += 1;
                }
            }
            accepted
        });
        runtime::run(async {
            let client = Client::new(Duration::from_secs(5)).with_idle_timeout(idle_timeout);
            for _ in 0..2 {
                let request = Request::get("/").body(Body::empty()).expect("a request");
                let response = client.send(address, request).await.expect("an answer");
                response.into_body().collect().await.expect("its body");
                monoio::time::sleep(PAUSE).await;
            }
        })
        .expect("a loop");
        assert_eq!(served.join().expect("its count"), connections, "{name}");
    }
}
