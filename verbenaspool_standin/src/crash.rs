//! A server that crashes: its listener and all its connections close at once.

use std::{net::SocketAddr, rc::Rc};

use hyper::{server::conn::http1, service::service_fn};
use monoio::{
    io::IntoPollIo,
    net::{TcpListener, TcpStream},
};
use monoio_compat::hyper::MonoioIo;
use verbenaspool_transport::{
    http::server::Handler,
    shutdown::{self, Signal},
};

/// Serves requests until the signal comes, then drops the listener and all connections.
///
/// The listener closes first, as when a process dies and the kernel closes its files in their
/// order: a client whose connection breaks can't connect again.
pub async fn serve(listener: TcpListener, handler: Rc<dyn Handler>, crash: Signal) {
    let mut crash = crash;
    let (close_connections, closed) = shutdown::channel();
    loop {
        monoio::select! {
            () = crash.wait() => break,
            accepted = listener.accept() => {
                if let Ok((stream, peer)) = accepted {
                    monoio::spawn(serve_connection(stream, peer, handler.clone(), closed.clone()));
                }
            }
        }
    }
    drop(listener);
    close_connections.fire();
}

/// Serves a connection until it ends or the server crashes.
async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Rc<dyn Handler>,
    mut closed: Signal,
) {
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let service = service_fn(move |request| {
        let answer = handler.clone().handle(peer, request);
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let connection = http1::Builder::new().serve_connection(MonoioIo::new(stream), service);
    monoio::select! {
        () = closed.wait() => {}
        _ = connection => {}
    }
}
