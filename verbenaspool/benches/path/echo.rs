//! Single-threaded echo server that uses only monoio-http, as the baseline.

use std::{io::Read, thread};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use monoio::{
    io::{sink::SinkExt, stream::Stream},
    net::{TcpListener, TcpStream},
};
use monoio_http::{
    common::response::Response,
    h1::{
        codec::{ServerCodec, decoder::FillPayload},
        payload::{FixedPayload, Payload},
    },
};
use verbenaspool_transport::runtime;

/// Argument that starts this program as the echo server.
pub const ROLE: &str = "--role-echo";

/// Serves until standard input is closed, which happens when the bench ends.
pub fn run() {
    thread::spawn(|| {
        let _ = std::io::stdin().read(&mut [0]);
        std::process::exit(0);
    });
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        println!("{}", listener.local_addr().expect("an address"));
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            monoio::spawn(serve(stream));
        }
    })
    .expect("the loop starts");
}

/// Answers each request of a connection with the body of the request.
async fn serve(stream: TcpStream) {
    let mut codec = ServerCodec::new(stream);
    while let Some(Ok(request)) = codec.next().await {
        if codec.fill_payload().await.is_err() {
            return;
        }
        let body = match request.into_body() {
            Payload::Fixed(mut body) => match body.next().await {
                Some(Ok(data)) => data,
                _ => return,
            },
            _ => Bytes::new(),
        };
        let mut response: Response = Response::new(Payload::Fixed(FixedPayload::new(body)));
        *response.status_mut() = StatusCode::OK;
        *response.headers_mut() = HeaderMap::new();
        if codec.send_and_flush(response).await.is_err() {
            return;
        }
    }
}
