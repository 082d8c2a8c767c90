//! Upstreams that end their connections within the head of an answer.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use verbenaspool_protocol::outcome::Outcome;

use crate::rig::{Rig, run, settings};

/// Heads with a length, with chunks, and without either.
const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nserver: loft\r\ncontent-length: 5\r\n\r\n",
    "HTTP/1.1 200 OK\r\nserver: loft\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nserver: loft\r\n\r\n",
];

/// The end of each request.
const BODY: &str = "net 7";

/// A service that sends as much of a head as was set, and closes the connection.
fn serve_cut_heads(cut: Rc<Cell<(&'static str, usize)>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    monoio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            if read_request(&mut stream).await {
                let (head, length) = cut.get();
                let _ = stream.write_all(head.as_bytes()[..length].to_vec()).await;
            }
        }
    });
    address
}

/// Reads a request to its end. Returns whether it was complete.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    while !request.ends_with(BODY.as_bytes()) {
        let (read, buffer) = stream.read(vec![0; 4_096]).await;
        let Ok(length @ 1..) = read else {
            return false;
        };
        request.extend_from_slice(&buffer[..length]);
    }
    true
}

/// Guards against an empty answer with status 200, because its upstream closed the connection within the
/// head.
#[test]
fn a_head_that_ends_early_is_no_answer() {
    run(async {
        let cut = Rc::new(Cell::new((HEADS[0], 0)));
        let rig = Rig::start(settings(serve_cut_heads(cut.clone()), "plain"));
        for head in HEADS {
            for length in 0..head.len() {
                cut.set((head, length));
                let reply = rig.post(rig.next_id(), "/bookings", BODY).await;
                let answered = reply.is_ok_and(|reply| {
                    reply.status.is_success() || reply.outcome != Outcome::Unknown
                });
                assert!(!answered, "{length} bytes of {head:?}");
            }
        }
    });
}
