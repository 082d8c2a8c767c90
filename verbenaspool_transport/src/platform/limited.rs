//! A connection to the platform whose responses are limited in bytes.

use std::{
    cell::{Cell, RefCell},
    future::{Future, poll_fn},
    io,
    rc::Rc,
};

use monoio::{
    BufResult,
    buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut},
    io::{AsyncReadRent, AsyncWriteRent, Split},
    net::TcpStream,
};

use crate::http::memory::{Budget, Held};

/// Bytes that a read may add before they are taken from the budget: the codec's buffer.
const READ_BYTES: usize = 8 * 1024;

/// How much more of a response may be read.
#[derive(Debug, Clone)]
pub struct Allowance(Rc<State>);

#[derive(Debug)]
struct State {
    budget: Budget,
    left: Cell<usize>,
    exceeded: Cell<bool>,
    /// The share of the budget for what was read of the current response.
    held: RefCell<Held>,
}

impl Allowance {
    /// Creates an allowance of no bytes, which are taken from this budget.
    pub fn new(budget: &Budget) -> Self {
        Self(Rc::new(State {
            budget: budget.clone(),
            left: Cell::new(0),
            exceeded: Cell::new(false),
            held: RefCell::new(budget.take_beyond(0)),
        }))
    }

    /// Allows this many more bytes. They replace those that are left.
    pub fn set(&self, bytes: usize) {
        self.0.left.set(bytes);
    }

    /// Whether the peer has sent more.
    pub fn is_exceeded(&self) -> bool {
        self.0.exceeded.get()
    }

    /// Records that the peer has sent or announced more.
    pub fn set_exceeded(&self) {
        self.0.exceeded.set(true);
    }

    /// Returns the share of the budget for what was read.
    pub fn take_held(&self) -> Held {
        self.0.held.replace(self.0.budget.take_beyond(0))
    }

    /// Waits until the budget has room for a read. Fails if nothing more may be read.
    async fn wait(&self) -> io::Result<()> {
        if self.0.left.get() == 0 {
            self.set_exceeded();
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        poll_fn(|cx| self.0.budget.poll_fits(cx, READ_BYTES)).await;
        Ok(())
    }

    /// Counts what was read.
    fn count(&self, read: usize) {
        self.0.left.set(self.0.left.get().saturating_sub(read));
        let mut held = self.0.held.borrow_mut();
        let bytes = held.bytes() + read;
        held.resize(bytes);
    }
}

/// A connection that fails to read more than its allowance.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    allowance: Allowance,
}

impl LimitedStream {
    /// Limits a connection.
    pub fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

// SAFETY: reads and writes of the stream are independent, and writes don't use the allowance.
#[expect(unsafe_code, reason = "the codec splits its connection")]
unsafe impl Split for LimitedStream {}

impl AsyncReadRent for LimitedStream {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Err(error) = self.allowance.wait().await {
            return (Err(error), buf);
        }
        let (read, buf) = self.stream.read(buf).await;
        self.allowance.count(*read.as_ref().unwrap_or(&0));
        (read, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Err(error) = self.allowance.wait().await {
            return (Err(error), buf);
        }
        let (read, buf) = self.stream.readv(buf).await;
        self.allowance.count(*read.as_ref().unwrap_or(&0));
        (read, buf)
    }
}

impl AsyncWriteRent for LimitedStream {
    fn write<T: IoBuf>(&mut self, buf: T) -> impl Future<Output = BufResult<usize, T>> {
        self.stream.write(buf)
    }

    fn writev<T: IoVecBuf>(&mut self, buf: T) -> impl Future<Output = BufResult<usize, T>> {
        self.stream.writev(buf)
    }

    fn flush(&mut self) -> impl Future<Output = io::Result<()>> {
        self.stream.flush()
    }

    fn shutdown(&mut self) -> impl Future<Output = io::Result<()>> {
        self.stream.shutdown()
    }
}
