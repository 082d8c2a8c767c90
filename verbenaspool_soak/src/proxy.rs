//! A loopback proxy that delays, resets, silences or cuts connections one way.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
};

/// What a proxy does with the bytes of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It passes them on.
    Pass,
    /// It passes them on a while later.
    Delay(Duration),
    /// It closes connections as soon as bytes come.
    Reset,
    /// It takes bytes and passes none on, either way.
    Silent,
    /// It passes requests on, but no answers.
    OneWay,
}

/// A proxy before one address.
#[derive(Debug)]
pub struct Proxy {
    /// What it does.
    pub mode: Cell<Mode>,
    target: SocketAddr,
}

/// How often a silenced connection looks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Proxy {
    /// Starts a proxy that listens at one address and passes on to another.
    ///
    /// # Errors
    /// The address can't be listened at.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind(listen)?;
        let proxy = Rc::new(Self {
            mode: Cell::new(Mode::Pass),
            target,
        });
        let running = proxy.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(running.clone().connect(stream));
            }
        });
        Ok(proxy)
    }

    /// Passes one connection on.
    async fn connect(self: Rc<Self>, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let requests = self.copy(client_read, server_write, false);
        let answers = self.copy(server_read, client_write, true);
        // The first end closes both ways, as a broken connection would.
        monoio::select! {
            () = requests => {}
            () = answers => {}
        }
    }

    /// Passes the bytes of one way on until the connection ends.
    async fn copy(
        &self,
        mut source: impl AsyncReadRent,
        mut target: impl AsyncWriteRentExt,
        is_answer: bool,
    ) {
        let mut buffer = vec![0_u8; 8 * 1024];
        loop {
            let (read, filled) = source.read(buffer).await;
            let Ok(length @ 1..) = read else {
                return;
            };
            loop {
                match self.mode.get() {
                    Mode::Reset => return,
                    Mode::Silent => monoio::time::sleep(POLL_INTERVAL).await,
                    Mode::OneWay if is_answer => monoio::time::sleep(POLL_INTERVAL).await,
                    Mode::Delay(delay) => {
                        monoio::time::sleep(delay).await;
                        break;
                    }
                    Mode::Pass | Mode::OneWay => break,
                }
            }
            let (written, _) = target.write_all(filled[..length].to_vec()).await;
            if written.is_err() {
                return;
            }
            buffer = filled;
        }
    }
}
