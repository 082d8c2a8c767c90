//! JSON-RPC between our own processes, in length-delimited frames over TCP.
//!
//! jsonrpsee's server and client need the tokio runtime, so only its `RpcModule` is
//! used, which handles raw requests. Framing uses tokio-util's codec.

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

use crate::{
    http::memory::{Budget, Held, System},
    shutdown::Signal,
};

/// Maximum frame size in bytes: a piece of configuration (1 MB) with room for
/// the JSON-RPC envelope.
const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Buffer size of a read that waits for the next frame. Each idle connection holds
/// this buffer, and most frames are shorter.
const IDLE_READ_BYTES: usize = 512;

/// Buffer size of a read within a frame.
const FRAME_READ_BYTES: usize = 16 * 1024;

/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// How long a client keeps an idle connection. Without a limit, each replaced peer
/// would leave a socket behind forever.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// How long a server waits for a complete frame. Longer than
/// [`CLIENT_IDLE_TIMEOUT`], so that a client doesn't reuse a connection that the
/// server is about to close.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Time limit of a frame from its first byte to its last, and of sending a response. A frame of
/// the maximum size takes a second at 16 Mb/s.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of connections of a server; further ones are closed immediately.
const MAX_CONNECTIONS: usize = 4_096;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer can't be reached, or the connection broke.
    #[error("the peer can't be reached: {0}")]
    Io(#[from] std::io::Error),
    /// The peer didn't respond in time.
    #[error("the peer did not answer in time")]
    Timeout,
    /// The peer's response can't be decoded.
    #[error("the peer's response is invalid: {0}")]
    InvalidResponse(String),
    /// The peer rejected the call.
    #[error("the peer rejected the call: {0}")]
    Rejected(String),
}

/// A frame codec limited to [`MAX_FRAME_BYTES`].
fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// A connection that reads and writes complete frames.
struct Framed {
    stream: TcpStream,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
    budget: Budget,
    /// The share of the budget for the buffer and the last frame.
    held: Held,
}

impl Framed {
    fn new(stream: TcpStream, budget: &Budget) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            codec: codec(),
            buffer: BytesMut::new(),
            held: budget.take_beyond(0),
            budget: budget.clone(),
        }
    }

    /// Reads the next frame, or `None` if the peer closed the connection between frames. The frame
    /// counts as held until the next call.
    async fn read(&mut self) -> std::io::Result<Option<BytesMut>> {
        self.held.resize(self.buffer.len());
        let mut deadline = None;
        loop {
            let decoded = self.codec.decode(&mut self.buffer);
            if let Some(frame) =
                decoded.inspect_err(|_| self.budget.record_excess(System::Peers))?
            {
                return Ok(Some(frame));
            }
            // The codec keeps the length of a frame and removes it from the buffer.
            let in_frame = self.held.bytes() > 0;
            let (read, chunk) = if in_frame {
                let deadline = *deadline.get_or_insert_with(|| Instant::now() + FRAME_TIMEOUT);
                let left = deadline.saturating_duration_since(Instant::now());
                monoio::time::timeout(left, self.read_in_frame())
                    .await
                    .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?
            } else {
                self.stream.read(vec![0_u8; IDLE_READ_BYTES]).await
            };
            match read? {
                0 if !in_frame => return Ok(None),
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                read => {
                    self.buffer.extend_from_slice(&chunk[..read]);
                    self.held.resize(self.held.bytes() + read);
                }
            }
        }
    }

    /// Reads more of a frame as soon as the budget allows it.
    async fn read_in_frame(&mut self) -> (std::io::Result<usize>, Vec<u8>) {
        std::future::poll_fn(|cx| self.budget.poll_fits(cx, FRAME_READ_BYTES)).await;
        self.stream.read(vec![0_u8; FRAME_READ_BYTES]).await
    }

    async fn write(&mut self, frame: Bytes) -> std::io::Result<()> {
        let mut out = BytesMut::new();
        self.codec.encode(frame, &mut out)?;
        self.stream.write_all(out.freeze()).await.0.map(|_| ())
    }
}

/// JSON-RPC error code for errors returned by a method.
const METHOD_FAILED: i32 = -32000;

/// The RPC methods of a process.
#[derive(Debug, Clone)]
pub struct Module {
    methods: RpcModule<()>,
    budget: Budget,
}

impl Default for Module {
    fn default() -> Self {
        Self {
            methods: RpcModule::new(()),
            budget: Budget::unlimited(),
        }
    }
}

impl Module {
    /// Takes the bytes of calls and responses from a budget.
    ///
    /// ```
    /// use verbenaspool_transport::{http::memory::Budget, rpc::Module};
    ///
    /// let module = Module::default().with_budget(Budget::new(1_000_000));
    /// # drop(module);
    /// ```
    #[must_use]
    pub fn with_budget(mut self, budget: Budget) -> Self {
        self.budget = budget;
        self
    }

    /// Registers the handler of a method with one typed parameter.
    ///
    /// jsonrpsee requires handlers that are `Send`. Ours hold state of the
    /// single-threaded event loop; `SendWrapper` panics if one is used on another
    /// thread.
    ///
    /// # Panics
    /// The method is already registered, which is a bug.
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
        self.methods
            .register_async_method(method, move |params, _, _| {
                let handler = handler.clone();
                SendWrapper::new(async move {
                    let param = params.one::<P>()?;
                    handler(param).await.map_err(|reason| {
                        ErrorObjectOwned::owned(METHOD_FAILED, reason, None::<()>)
                    })
                })
            })
            .expect("each method is registered once");
    }
}

/// Serves a module's methods until shutdown.
///
/// A frame that is too long, truncated or not valid JSON-RPC closes its connection
/// or gets an error response; other connections are not affected.
pub async fn serve(listener: TcpListener, module: Rc<Module>, mut signal: Signal) {
    loop {
        let accept = Box::pin(listener.accept());
        let stop = Box::pin(signal.wait());
        match select(stop, accept).await {
            Either::Left(_) => return,
            // Each connection's task holds a clone of the module.
            Either::Right((Ok(_), _)) if Rc::strong_count(&module) > MAX_CONNECTIONS => {}
            Either::Right((Ok((stream, _)), _)) => {
                monoio::spawn(serve_connection(
                    Framed::new(stream, &module.budget),
                    module.clone(),
                ));
            }
            Either::Right((Err(_), _)) => monoio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Handles the calls of one connection in sequence.
async fn serve_connection(mut framed: Framed, module: Rc<Module>) {
    while let Ok(Ok(Some(frame))) = monoio::time::timeout(SERVER_IDLE_TIMEOUT, framed.read()).await
    {
        let Ok(request) = std::str::from_utf8(&frame) else {
            return;
        };
        let Ok((response, _)) = module.methods.raw_json_request(request, 1).await else {
            return;
        };
        let text: String = <Box<RawValue> as Into<Box<str>>>::into(response).into();
        let sent = async {
            let _held = module.budget.take(text.len()).await;
            framed.write(text.into()).await
        };
        if !matches!(monoio::time::timeout(FRAME_TIMEOUT, sent).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Calls methods of other processes. Clones share idle connections.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    budget: Budget,
}

/// An idle connection and since when it is idle.
type IdleConnection = (Framed, Instant);

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

/// A JSON-RPC request. The ID needn't be unique, because calls on a connection don't
/// overlap.
#[derive(Debug, Serialize)]
struct Request<'a, P> {
    jsonrpc: &'static str,
    id: u64,
    method: &'a str,
    params: [&'a P; 1],
}

impl Client {
    /// Takes the bytes of responses from a budget.
    ///
    /// ```
    /// use verbenaspool_transport::{http::memory::Budget, rpc::Client};
    ///
    /// let client = Client::default().with_budget(Budget::new(1_000_000));
    /// # drop(client);
    /// ```
    #[must_use]
    pub fn with_budget(mut self, budget: Budget) -> Self {
        self.budget = budget;
        self
    }

    /// Calls a method with one typed parameter. The peer may execute the call twice,
    /// so methods must tolerate that.
    ///
    /// # Errors
    /// The peer can't be reached, doesn't respond in time, sends an invalid response
    /// or rejects the call.
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
        // Idle connections to a restarted peer are broken. Every method tolerates being
        // called twice, so the call is retried on a new connection.
        let on_idle = match self.take_idle(address) {
            Some(framed) => round_trip(framed, &bytes).await.ok(),
            None => None,
        };
        let (framed, frame) = if let Some(completed) = on_idle {
            completed
        } else {
            let framed = Framed::new(TcpStream::connect(address).await?, &self.budget);
            round_trip(framed, &bytes).await?
        };
        let result = parse_response(&frame);
        // Only a connection whose response was read completely may be reused.
        self.put_idle(address, framed);
        result
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Framed> {
        let mut idle = self.idle.borrow_mut();
        let (framed, since) = idle.get_mut(&address)?.pop()?;
        (since.elapsed() < CLIENT_IDLE_TIMEOUT).then_some(framed)
    }

    fn put_idle(&self, address: SocketAddr, mut framed: Framed) {
        framed.held.resize(framed.buffer.len());
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

/// Sends a request and reads the response.
async fn round_trip(mut framed: Framed, request: &[u8]) -> std::io::Result<(Framed, BytesMut)> {
    framed.write(Bytes::copy_from_slice(request)).await?;
    let response = framed.read().await?;
    let response = response.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    Ok((framed, response))
}

/// Returns the result in a JSON-RPC response, or the error that the peer sent.
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
