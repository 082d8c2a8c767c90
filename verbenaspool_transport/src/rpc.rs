//! JSON-RPC between our own processes: jsonrpsee's requests and answers in
//! length-delimited frames on TCP.
//!
//! jsonrpsee's own server and client need tokio's runtime, so its `RpcModule`
//! answers raw requests and the frames are ours, cut by tokio-util's codec.

use std::{
    cell::RefCell,
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures_util::future::{Either, select};
use jsonrpsee::{RpcModule, types::ErrorObjectOwned};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use send_wrapper::SendWrapper;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, value::RawValue};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::shutdown::Signal;

/// The largest frame in bytes: a piece of configuration (1 MB) with room for
/// its envelope.
const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// How many bytes a read asks for that waits for the next frame. The memory is
/// held while it waits, by each idle connection, and most frames are shorter.
const IDLE_READ_BYTES: usize = 512;

/// How many bytes a read asks for inside a frame.
const FRAME_READ_BYTES: usize = 16 * 1024;

/// How many idle connections are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// How long a connection is kept that carries no call. Without an end, each
/// peer that is replaced would leave a socket behind for good.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// How long a server waits for a whole frame. It is longer than [`CLIENT_IDLE_TIMEOUT`], so
/// that a client takes no connection that the server is about to close.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Connections that a server holds at once; one more is closed at once.
const MAX_CONNECTIONS: usize = 4_096;

/// Why a call got no result.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer can't be reached, or the connection broke.
    #[error("the peer can't be reached: {0}")]
    Io(#[from] std::io::Error),
    /// The peer took too long.
    #[error("the peer did not answer in time")]
    Timeout,
    /// The peer answered something that is no answer to the call.
    #[error("the peer's answer makes no sense: {0}")]
    InvalidResponse(String),
    /// The peer refused the call.
    #[error("the peer refused: {0}")]
    Rejected(String),
}

/// A frame codec with our bound.
fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// A connection that reads and writes whole frames.
struct Framed {
    stream: TcpStream,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Framed {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }

    /// The next frame; none at a clean end.
    async fn read(&mut self) -> std::io::Result<Option<BytesMut>> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.buffer)? {
                return Ok(Some(frame));
            }
            let length = if self.buffer.is_empty() {
                IDLE_READ_BYTES
            } else {
                FRAME_READ_BYTES
            };
            let (read, chunk) = self.stream.read(vec![0_u8; length]).await;
            match read? {
                0 if self.buffer.is_empty() => return Ok(None),
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                read => self.buffer.extend_from_slice(&chunk[..read]),
            }
        }
    }

    async fn write(&mut self, frame: Bytes) -> std::io::Result<()> {
        let mut out = BytesMut::new();
        self.codec.encode(frame, &mut out)?;
        self.stream.write_all(out.freeze()).await.0.map(|_| ())
    }
}

/// The JSON-RPC code of a refusal by the method itself.
const METHOD_FAILED: i32 = -32000;

/// The methods that a process answers.
#[derive(Debug, Clone)]
pub struct Module(RpcModule<()>);

impl Default for Module {
    fn default() -> Self {
        Self(RpcModule::new(()))
    }
}

impl Module {
    /// Answers a method with one typed parameter.
    ///
    /// jsonrpsee wants handlers that may change threads. Ours hold the state of
    /// the one loop; the wrapper stops the process should one ever leave it.
    ///
    /// # Panics
    /// The method is answered already, which is an error of the program.
    ///
    /// ```
    /// use verbenaspool_transport::rpc::Module;
    ///
    /// let mut module = Module::default();
    /// module.register("double", |n: u32| async move { Ok::<_, String>(2 * n) });
    /// ```
    pub fn register<P, R, F, A>(&mut self, method: &'static str, handler: F)
    where
        P: DeserializeOwned + 'static,
        R: Serialize + Clone + Send + 'static,
        F: Fn(P) -> A + 'static,
        A: Future<Output = Result<R, String>> + 'static,
    {
        let handler = SendWrapper::new(Rc::new(handler));
        self.0
            .register_async_method(method, move |params, _, _| {
                let handler = handler.clone();
                SendWrapper::new(async move {
                    let param = params.one::<P>()?;
                    handler(param).await.map_err(|reason| {
                        ErrorObjectOwned::owned(METHOD_FAILED, reason, None::<()>)
                    })
                })
            })
            .expect("a method is registered once");
    }
}

/// Serves a module's methods until the signal comes.
///
/// A frame that is too long, cut off or no JSON-RPC closes its connection or
/// gets an error answer; other connections go on.
pub async fn serve(listener: TcpListener, module: Rc<Module>, mut signal: Signal) {
    loop {
        let accept = Box::pin(listener.accept());
        let stop = Box::pin(signal.wait());
        match select(stop, accept).await {
            Either::Left(_) => return,
            // The task holds a clone of the module for as long as it runs.
            Either::Right((Ok(_), _)) if Rc::strong_count(&module) > MAX_CONNECTIONS => {}
            Either::Right((Ok((stream, _)), _)) => {
                monoio::spawn(serve_connection(Framed::new(stream), module.clone()));
            }
            Either::Right((Err(_), _)) => monoio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Answers the calls of one connection, one after the other.
async fn serve_connection(mut framed: Framed, module: Rc<Module>) {
    while let Ok(Ok(Some(frame))) = monoio::time::timeout(SERVER_IDLE_TIMEOUT, framed.read()).await
    {
        let Ok(request) = std::str::from_utf8(&frame) else {
            return;
        };
        let Ok((response, _)) = module.0.raw_json_request(request, 1).await else {
            return;
        };
        let text: String = <Box<RawValue> as Into<Box<str>>>::into(response).into();
        if framed.write(text.into()).await.is_err() {
            return;
        }
    }
}

/// Calls methods of other processes.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// A connection that carries no call, and since when.
type IdleConnection = (Framed, Instant);

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

/// A JSON-RPC request. Calls on a connection follow one another, so the id
/// need not tell them apart.
#[derive(Debug, Serialize)]
struct Request<'a, P> {
    jsonrpc: &'static str,
    id: u64,
    method: &'a str,
    params: [&'a P; 1],
}

impl Client {
    /// Calls a method with one typed parameter. The call may reach the peer
    /// twice, so that only methods are served here that bear it.
    ///
    /// # Errors
    /// The peer can't be reached, is late, garbles its answer or refuses.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, Error> {
        monoio::time::timeout(timeout, self.exchange(address, method, params))
            .await
            .map_err(|_| Error::Timeout)?
    }

    async fn exchange<P: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        params: &P,
    ) -> Result<R, Error> {
        let request = Request {
            jsonrpc: "2.0",
            id: 1,
            method,
            params: [params],
        };
        let bytes = serde_json::to_vec(&request)
            .map_err(|error| Error::InvalidResponse(error.to_string()))?;
        // A peer that was started again has left broken connections behind. Every
        // method may be called twice, so the call moves on to a new connection.
        let on_idle = match self.take_idle(address) {
            Some(framed) => round_trip(framed, &bytes).await.ok(),
            None => None,
        };
        let (framed, frame) = if let Some(answered) = on_idle {
            answered
        } else {
            let framed = Framed::new(TcpStream::connect(address).await?);
            round_trip(framed, &bytes).await?
        };
        let result = parse_response(&frame);
        // Only a connection whose answer was read whole may carry the next call.
        self.put_idle(address, framed);
        result
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Framed> {
        let mut idle = self.idle.borrow_mut();
        let (framed, since) = idle.get_mut(&address)?.pop()?;
        (since.elapsed() < CLIENT_IDLE_TIMEOUT).then_some(framed)
    }

    fn put_idle(&self, address: SocketAddr, framed: Framed) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|(_, since)| since.elapsed() < CLIENT_IDLE_TIMEOUT);
            !connections.is_empty()
        });
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push((framed, Instant::now()));
        }
    }
}

/// Sends a request and reads its answer.
async fn round_trip(mut framed: Framed, request: &[u8]) -> std::io::Result<(Framed, BytesMut)> {
    framed.write(Bytes::copy_from_slice(request)).await?;
    let response = framed.read().await?;
    let response = response.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    Ok((framed, response))
}

/// Reads a JSON-RPC answer.
fn parse_response<R: DeserializeOwned>(frame: &[u8]) -> Result<R, Error> {
    let invalid = |error: serde_json::Error| Error::InvalidResponse(error.to_string());
    let mut response: Value = serde_json::from_slice(frame).map_err(invalid)?;
    if let Some(error) = response.get("error") {
        return Err(Error::Rejected(
            error["message"].as_str().unwrap_or_default().to_owned(),
        ));
    }
    let result = response
        .get_mut("result")
        .ok_or_else(|| Error::InvalidResponse("neither result nor error".to_owned()))?;
    serde_json::from_value(result.take()).map_err(invalid)
}
