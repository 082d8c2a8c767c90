//! JSON-RPC calls over broken connections, of long frames and to dead peers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use monoio::net::TcpListener;

use verbenaspool_transport::{
    rpc::{Client, Error, Module, serve},
    runtime, shutdown,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one method until the trigger fires. Port 0 selects a free port.
fn server(port: u16) -> (SocketAddr, shutdown::Trigger) {
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("a listener");
    let address = listener.local_addr().expect("its address");
    let (trigger, signal) = shutdown::channel();
    let mut module = Module::default();
    module.register(
        "size",
        |text: String| async move { Ok::<_, String>(text.len()) },
    );
    monoio::spawn(serve(listener, Rc::new(module), signal));
    (address, trigger)
}

#[test]
fn a_call_survives_a_broken_idle_connection() {
    // After an agent restarts, the entry's next call uses an idle connection to the
    // old process. If the call failed, the entry would report a request as unknown
    // whose outcome the agent knows.
    runtime::run(async {
        let client = Client::default();
        let (server_address, trigger) = server(0);
        // A relay that closes each connection after one call, as a dying peer does.
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        let relay = std::thread::spawn(move || {
            for _ in 0..2 {
                let (mut from_client, _) = listener.accept().expect("a connection");
                let mut to_server =
                    std::net::TcpStream::connect(server_address).expect("the server");
                let mut buffer = [0; 4096];
                let read = std::io::Read::read(&mut from_client, &mut buffer).expect("a call");
                std::io::Write::write_all(&mut to_server, &buffer[..read])
                    .expect("a forwarded call");
                let read = std::io::Read::read(&mut to_server, &mut buffer).expect("an answer");
                std::io::Write::write_all(&mut from_client, &buffer[..read])
                    .expect("a forwarded answer");
            }
        });
        for text in ["net", "wing"] {
            let size: usize = client
                .call(address, "size", &text, CALL_TIMEOUT)
                .await
                .expect(text);
            assert_eq!(size, text.len());
        }
        relay.join().expect("two calls on two connections");
        trigger.fire();
    })
    .expect("a loop");
}

#[test]
fn long_frames_and_dead_peers() {
    runtime::run(async {
        let client = Client::default();
        let (address, trigger) = server(0);
        for length in [0, 500, 5_000, 1_000_000] {
            let text = "a".repeat(length);
            let size: usize = client
                .call(address, "size", &text, CALL_TIMEOUT)
                .await
                .expect("a size");
            assert_eq!(size, length);
        }
        let rejected: Result<usize, Error> = client.call(address, "size", &7, CALL_TIMEOUT).await;
        assert!(matches!(rejected, Err(Error::Rejected(_))), "{rejected:?}");
        trigger.fire();
        let unused_address = ([127, 0, 0, 1], 1).into();
        let unreachable: Result<usize, Error> = client
            .call(unused_address, "size", &"a", CALL_TIMEOUT)
            .await;
        assert!(matches!(unreachable, Err(Error::Io(_))), "{unreachable:?}");
    })
    .expect("a loop");
}
