//! The HTTP server's shutdown and handling of panics.

use std::{
    io::{ErrorKind, Read, Write},
    net::{self, SocketAddr},
    rc::Rc,
    thread::{self, JoinHandle},
    time::Duration,
};

use http::{Request, Response};
use hyper::body::Incoming;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

use verbenaspool_transport::{
    http::{
        body::Body,
        server::{Connections, Handler, Limits, ResponseFuture, serve},
    },
    runtime, shutdown,
};

/// Sends the same response to every request.
struct Greeter;

impl Handler for Greeter {
    fn handle(self: Rc<Self>, _: SocketAddr, _: Request<Incoming>) -> ResponseFuture {
        Box::pin(std::future::ready(Response::new(Body::full("ok"))))
    }
}

/// Sends a request and returns the result of a single read.
async fn send_request(stream: &mut TcpStream) -> String {
    let request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.0.expect("it is sent");
    let (read, buffer) = stream.read(vec![0; 4096]).await;
    String::from_utf8_lossy(&buffer[..read.expect("an answer")]).into_owned()
}

#[test]
fn a_stopping_server_answers_a_new_connection() {
    // A caller has connected to a stopping entry and its request arrives a moment
    // later. If the connection were closed, the caller couldn't know whether the
    // request ran.
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (trigger, signal) = shutdown::channel();
        let open = Connections::default();
        let limits = Limits::default();
        let served = serve(listener, limits, Rc::new(Greeter), open.clone(), signal);
        let served = monoio::spawn(served);
        let mut established = TcpStream::connect(address).await.expect("a connection");
        assert!(
            !send_request(&mut established)
                .await
                .contains("connection: close")
        );
        // Established connections are told to reconnect some time before the stop.
        open.close_after_response();
        assert!(
            send_request(&mut established)
                .await
                .contains("connection: close")
        );
        let mut new = TcpStream::connect(address).await.expect("a connection");
        while open.count() < 1 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        trigger.fire();
        monoio::time::sleep(Duration::from_millis(5)).await;
        assert!(send_request(&mut new).await.starts_with("HTTP/1.1 200"));
        served.await.expect("new connections are refused");
        assert!(TcpStream::connect(address).await.is_err());
    })
    .expect("a loop");
}

/// Panics on requests for `/`.
struct Panicking;

impl Handler for Panicking {
    fn handle(self: Rc<Self>, _: SocketAddr, request: Request<Incoming>) -> ResponseFuture {
        assert!(
            request.uri().path() != "/",
            "a request that makes the handler panic"
        );
        Box::pin(std::future::ready(Response::new(Body::full("ok"))))
    }
}

/// A panic of the handler must not end the process: the caller's retries would end one
/// process after another.
#[test]
fn a_panicking_handler_closes_only_its_connection() {
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (_trigger, signal) = shutdown::channel();
        let (limits, open) = (Limits::default(), Connections::default());
        let served = serve(listener, limits, Rc::new(Panicking), open.clone(), signal);
        monoio::spawn(served);
        let mut panicking = TcpStream::connect(address).await.expect("a connection");
        assert_eq!(send_request(&mut panicking).await, "");
        assert_eq!(open.count(), 0);
        let mut other = TcpStream::connect(address).await.expect("a connection");
        let request = "GET /other HTTP/1.1\r\nhost: a\r\n\r\n";
        other.write_all(request).await.0.expect("it is sent");
        let (read, buffer) = other.read(vec![0; 4096]).await;
        assert!(buffer[..read.expect("an answer")].starts_with(b"HTTP/1.1 200"));
    })
    .expect("a loop");
}

/// Number of callers that connect continuously while the server stops.
const CALLERS: usize = 4;
/// How often the server is started and stopped.
const STOPS: usize = 25;

/// Sends requests, each on a new connection, until the server refuses one. Returns how many
/// connections were lost after they had been established.
fn count_lost_requests(address: SocketAddr) -> usize {
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let mut lost = 0;
    loop {
        let mut stream = match net::TcpStream::connect(address) {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return lost,
            Err(error) => panic!("can't connect: {error}"),
        };
        let mut response = Vec::new();
        let sent = stream.write_all(request);
        let received = sent.and_then(|()| stream.read_to_end(&mut response));
        if received.is_err() || !response.starts_with(b"HTTP/1.1 200") {
            lost += 1;
        }
    }
}

/// Callers that connect just as a server stops must be served or refused. The requests of
/// connections that were established but never accepted were lost, with unknown outcomes.
#[test]
fn a_stopping_server_loses_no_established_connection() {
    runtime::run(async {
        for _ in 0..STOPS {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
            let address = listener.local_addr().expect("its address");
            let (trigger, signal) = shutdown::channel();
            let (limits, open) = (Limits::default(), Connections::default());
            let served = serve(listener, limits, Rc::new(Greeter), open, signal);
            let served = monoio::spawn(served);
            let call = || thread::spawn(move || count_lost_requests(address));
            let callers: Vec<_> = (0..CALLERS).map(|_| call()).collect();
            monoio::time::sleep(Duration::from_millis(20)).await;
            trigger.fire();
            served.await.expect("new connections are refused");
            let lost = callers.into_iter().map(JoinHandle::join);
            let lost: usize = lost.map(|lost| lost.expect("the caller ends")).sum();
            assert_eq!(lost, 0, "requests on established connections");
        }
    })
    .expect("a loop");
}
