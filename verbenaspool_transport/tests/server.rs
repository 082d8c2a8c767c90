//! The HTTP server when it stops.

use std::{net::SocketAddr, rc::Rc, time::Duration};

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

/// Answers everything alike.
struct Greeter;

impl Handler for Greeter {
    fn handle(self: Rc<Self>, _: SocketAddr, _: Request<Incoming>) -> ResponseFuture {
        Box::pin(std::future::ready(Response::new(Body::full("ok"))))
    }
}

/// Sends a request and returns what comes back in one reading.
async fn ask(stream: &mut TcpStream) -> String {
    let request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.0.expect("it is sent");
    let (read, heard) = stream.read(vec![0; 4096]).await;
    String::from_utf8_lossy(&heard[..read.expect("an answer")]).into_owned()
}

#[test]
fn a_stopping_server_answers_whoever_has_just_connected() {
    // An entry is told to stop. A skipper's assistant has connected, and its
    // request is a packet behind. Closed now, it can't know whether it ran.
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (trigger, signal) = shutdown::channel();
        let open = Connections::default();
        let limits = Limits::default();
        let served = serve(listener, limits, Rc::new(Greeter), open.clone(), signal);
        let served = monoio::spawn(served);
        let mut known = TcpStream::connect(address).await.expect("a connection");
        assert!(!ask(&mut known).await.contains("connection: close"));
        // Who is known is told, some time before, to come on another connection.
        open.close_after_response();
        assert!(ask(&mut known).await.contains("connection: close"));
        let mut fresh = TcpStream::connect(address).await.expect("a connection");
        while open.count() < 1 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        trigger.fire();
        monoio::time::sleep(Duration::from_millis(5)).await;
        assert!(ask(&mut fresh).await.starts_with("HTTP/1.1 200"));
        served.await;
        assert!(TcpStream::connect(address).await.is_err());
    })
    .expect("a loop");
}

/// Fails on each request.
struct Faulty;

impl Handler for Faulty {
    fn handle(self: Rc<Self>, _: SocketAddr, request: Request<Incoming>) -> ResponseFuture {
        assert!(
            request.uri().path() != "/",
            "a request that was not foreseen"
        );
        Box::pin(std::future::ready(Response::new(Body::full("ok"))))
    }
}

/// Guards against one request that takes the whole process away, and the next process that
/// gets it.
#[test]
fn a_request_that_panics_its_handler_ends_alone() {
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (_trigger, signal) = shutdown::channel();
        let (limits, open) = (Limits::default(), Connections::default());
        let served = serve(listener, limits, Rc::new(Faulty), open.clone(), signal);
        monoio::spawn(served);
        let mut faulty = TcpStream::connect(address).await.expect("a connection");
        assert_eq!(ask(&mut faulty).await, "");
        assert_eq!(open.count(), 0);
        let mut sound = TcpStream::connect(address).await.expect("a connection");
        let request = "GET /sound HTTP/1.1\r\nhost: a\r\n\r\n";
        sound.write_all(request).await.0.expect("it is sent");
        let (read, heard) = sound.read(vec![0; 4096]).await;
        assert!(heard[..read.expect("an answer")].starts_with(b"HTTP/1.1 200"));
    })
    .expect("a loop");
}
