//! JSON-RPC between our processes when connections break.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use monoio::net::TcpListener;

use verbenaspool_transport::{
    rpc::{Client, Error, Module, serve},
    runtime, shutdown,
};

const WAIT: Duration = Duration::from_secs(5);

/// Serves one method until the trigger is fired, at any free port for 0.
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
fn a_kept_connection_that_broke_costs_no_call() {
    // An agent is started again at its address. The entry's next question goes
    // out on a connection to the old process; were it lost, a request that the
    // agent could settle would be told as unknown.
    runtime::run(async {
        let client = Client::default();
        let (proxy, trigger) = server(0);
        // A peer that answers one call and closes, as one that dies does.
        let one = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = one.local_addr().expect("its address");
        let relay = std::thread::spawn(move || {
            for _ in 0..2 {
                let (mut near, _) = one.accept().expect("a connection");
                let mut far = std::net::TcpStream::connect(proxy).expect("the server");
                let mut buffer = [0; 4096];
                let read = std::io::Read::read(&mut near, &mut buffer).expect("a call");
                std::io::Write::write_all(&mut far, &buffer[..read]).expect("passed on");
                let read = std::io::Read::read(&mut far, &mut buffer).expect("an answer");
                std::io::Write::write_all(&mut near, &buffer[..read]).expect("passed back");
            }
        });
        for text in ["net", "wing"] {
            let size: usize = client.call(address, "size", &text, WAIT).await.expect(text);
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
                .call(address, "size", &text, WAIT)
                .await
                .expect("a size");
            assert_eq!(size, length);
        }
        let wrong: Result<usize, Error> = client.call(address, "size", &7, WAIT).await;
        assert!(matches!(wrong, Err(Error::Rejected(_))), "{wrong:?}");
        trigger.fire();
        let nobody = ([127, 0, 0, 1], 1).into();
        let dead: Result<usize, Error> = client.call(nobody, "size", &"a", WAIT).await;
        assert!(matches!(dead, Err(Error::Io(_))), "{dead:?}");
    })
    .expect("a loop");
}
