//! Loopback proxy that delays, resets or blocks connections, also in one direction only.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
};

/// How a proxy handles the bytes of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Forwards bytes.
    Pass,
    /// Forwards bytes after a delay.
    Delay(Duration),
    /// Closes a connection as soon as bytes arrive.
    Reset,
    /// Accepts bytes and forwards none in either direction.
    Silent,
    /// Forwards requests but no responses.
    OneWay,
}

/// Proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    /// How bytes are handled now.
    pub mode: Cell<Mode>,
    target: SocketAddr,
}

/// How often a blocked connection checks whether the mode has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Proxy {
    /// Starts a proxy that forwards connections from one address to another.
    ///
    /// # Errors
    /// The address can't be bound.
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

    /// Forwards one connection.
    async fn connect(self: Rc<Self>, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let requests = self.copy(client_read, server_write, false);
        let answers = self.copy(server_read, client_write, true);
        // The end of one direction closes both, as with a broken connection.
        monoio::select! {
            () = requests => {}
            () = answers => {}
        }
    }

    /// Copies the bytes of one direction until the connection ends.
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
