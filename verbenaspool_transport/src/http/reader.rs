//! What a server's connection holds for its peer, and whether the peer takes it.
//!
//! Load: hundreds of callers that request streams and hardly read them. hyper polls a response's
//! body only while less than its buffer's size is unwritten, so that nothing bounds the time that
//! such a stream occupies its upstream, and nothing bounds the sum over all connections.

use std::{
    cell::RefCell,
    future::Future,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use monoio::time::Instant;

use super::{
    body::{self, Body},
    memory::{Budget, Held},
};

/// The period in seconds over which a peer's rate of reading is measured. Callers leave after 2 s
/// without an event, so that one that has taken nothing for five times as long has gone.
const RATE_PERIOD_S: usize = 10;

/// A peer that takes fewer bytes in the period, 256 B/s, while something is waiting for it, isn't
/// served any longer than to its request's deadline. A stream has about 23 events of some hundred bytes, so that a slower
/// reader gets less than an event a second.
const MIN_PERIOD_BYTES: usize = 256 * RATE_PERIOD_S;

/// Bytes that must fit before a body is asked for its next frame: those of one read from an upstream.
const FRAME_BYTES: usize = 16 * 1024;

/// Bytes of a request's head that are read without a share of the budget. Most heads are shorter.
const FREE_HEAD_BYTES: usize = 4 * 1024;

/// Bytes of one read of a head.
const READ_BYTES: usize = 4 * 1024;

/// Whether a connection was closed because its peer reads too slowly. An extension of requests.
#[derive(Debug, Clone)]
pub struct SlowReader(Arc<Reader>);

#[derive(Debug)]
struct Reader {
    closed: AtomicBool,
    connected_at: Instant,
    /// When the response in progress must have ended, in milliseconds since the connection began.
    due_ms: AtomicU64,
}

impl SlowReader {
    fn new() -> Self {
        Self(Arc::new(Reader {
            closed: AtomicBool::new(false),
            connected_at: Instant::now(),
            due_ms: AtomicU64::new(0),
        }))
    }

    /// Whether the connection was closed for that.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.closed.load(Ordering::Relaxed)
    }

    /// Keeps the connection open for this time however slowly its peer reads: until the deadline of
    /// the request in progress.
    ///
    /// The kernel accepts bytes for a peer in steps of up to 64 KB, so that one that reads 1 kB/s
    /// seems to have stopped for a minute at a time.
    pub fn keep_for(&self, time_left: Duration) {
        let due = self.0.connected_at.elapsed() + time_left;
        let due_ms = u64::try_from(due.as_millis()).unwrap_or(u64::MAX);
        self.0.due_ms.store(due_ms, Ordering::Relaxed);
    }

    fn is_overdue(&self) -> bool {
        let due = Duration::from_millis(self.0.due_ms.load(Ordering::Relaxed));
        self.0.connected_at.elapsed() >= due
    }

    fn close(&self) {
        self.0.closed.store(true, Ordering::Relaxed);
    }
}

/// What a connection holds for its peer. Clones share it.
#[derive(Debug, Clone)]
pub(super) struct Flow(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    budget: Budget,
    /// The share of the budget for unwritten bytes of responses.
    held: Held,
    /// Bytes of responses that weren't written yet, with their framing.
    unwritten: usize,
    /// The share of the budget for the head of the next request.
    head_held: Held,
    /// Bytes read since the last response, or `None` while a request is in progress.
    head_bytes: Option<usize>,
    slow_reader: SlowReader,
}

impl Flow {
    /// Creates the state of a new connection, which takes bytes from this budget.
    pub fn new(budget: &Budget) -> Self {
        Self(Rc::new(RefCell::new(State {
            held: budget.take_beyond(0),
            head_held: budget.take_beyond(0),
            budget: budget.clone(),
            unwritten: 0,
            head_bytes: Some(0),
            slow_reader: SlowReader::new(),
        })))
    }

    /// Whether the connection was closed because its peer reads too slowly.
    pub fn slow_reader(&self) -> SlowReader {
        self.0.borrow().slow_reader.clone()
    }

    /// Records that the head of a request was read.
    pub fn on_request(&self) {
        let mut state = self.0.borrow_mut();
        state.head_bytes = None;
        state.head_held.resize(0);
    }

    /// Counts the frames of a response's body.
    pub fn meter(&self, body: Body) -> Body {
        Body::wrap(MeteredBody {
            body,
            flow: self.clone(),
        })
    }

    fn on_written(&self, bytes: usize) {
        let mut state = self.0.borrow_mut();
        state.unwritten = state.unwritten.saturating_sub(bytes);
        let unwritten = state.unwritten;
        state.held.resize(unwritten);
    }

    /// Records that nothing is left to be written.
    fn on_flushed(&self) {
        self.on_written(usize::MAX);
    }
}

/// Bytes that frame a chunk: its length in hexadecimal digits and two line ends.
fn chunk_framing(length: usize) -> usize {
    let digits = (usize::BITS - length.leading_zeros()).div_ceil(4);
    digits as usize + 4
}

/// A response body whose unwritten frames are counted.
struct MeteredBody {
    body: Body,
    flow: Flow,
}

impl Drop for MeteredBody {
    fn drop(&mut self) {
        self.flow.0.borrow_mut().head_bytes = Some(0);
    }
}

impl http_body::Body for MeteredBody {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        // A peer that has taken everything so far gets the next frame even if others have used up
        // the budget, or those that don't read would stop the streams of those that do.
        // The frame is counted before this poll ends, so that nothing is reserved for it: giving a
        // reservation back would wake all connections that wait.
        {
            let state = self.flow.0.borrow();
            if state.unwritten > 0 {
                ready!(state.budget.poll_fits(cx, FRAME_BYTES));
            }
        }
        let is_chunked = self.body.size_hint().exact().is_none();
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(data) = frame.data_ref()
        {
            let framing = if is_chunked {
                chunk_framing(data.len())
            } else {
                0
            };
            let mut state = self.flow.0.borrow_mut();
            state.unwritten += data.len() + framing;
            let unwritten = state.unwritten;
            state.held.resize(unwritten);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection's socket, whose transfers are counted.
pub(super) struct MeteredIo<T> {
    io: T,
    flow: Flow,
    /// Whether slow readers are disconnected.
    closes_slow_readers: bool,
    /// What the peer has taken, while something is waiting for it.
    taken: Option<Taken>,
}

/// What a peer has taken in each of the last seconds, since something is waiting for it.
struct Taken {
    second_end: Pin<Box<monoio::time::Sleep>>,
    /// Number of complete seconds.
    seconds: usize,
    /// Bytes taken by second.
    bytes: [usize; RATE_PERIOD_S],
}

impl Taken {
    fn start() -> Self {
        Self {
            second_end: Box::pin(monoio::time::sleep(Duration::from_secs(1))),
            seconds: 0,
            bytes: [0; RATE_PERIOD_S],
        }
    }

    fn count(&mut self, bytes: usize) {
        self.bytes[self.seconds % RATE_PERIOD_S] += bytes;
    }

    /// Whether the peer has taken too little in a whole period. Wakes the task again later.
    fn is_too_little(&mut self, cx: &mut Context<'_>) -> bool {
        let mut too_little = false;
        while self.second_end.as_mut().poll(cx).is_ready() {
            self.seconds += 1;
            let taken: usize = self.bytes.iter().sum();
            too_little = self.seconds >= RATE_PERIOD_S && taken < MIN_PERIOD_BYTES;
            self.bytes[self.seconds % RATE_PERIOD_S] = 0;
            let end = Instant::now() + Duration::from_secs(1);
            self.second_end.as_mut().reset(end);
        }
        too_little
    }
}

impl<T> MeteredIo<T> {
    /// Counts the transfers of a socket.
    pub fn new(io: T, flow: Flow, closes_slow_readers: bool) -> Self {
        Self {
            io,
            flow,
            closes_slow_readers,
            taken: None,
        }
    }

    /// Counts written bytes. Fails if the peer has taken too few in the period.
    fn on_write(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match polled {
            Poll::Ready(Ok(written)) => {
                self.flow.on_written(written);
                if let Some(taken) = &mut self.taken {
                    taken.count(written);
                }
            }
            Poll::Pending if self.closes_slow_readers => {
                let taken = self.taken.get_or_insert_with(Taken::start);
                let reader = self.flow.slow_reader();
                if taken.is_too_little(cx) && reader.is_overdue() {
                    reader.close();
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
            }
            Poll::Ready(Err(_)) | Poll::Pending => {}
        }
        polled
    }
}

impl<T: Read + Unpin> Read for MeteredIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(head_bytes) = self.flow.0.borrow().head_bytes else {
            return Pin::new(&mut self.io).poll_read(cx, buf);
        };
        if head_bytes >= FREE_HEAD_BYTES {
            ready!(self.flow.0.borrow().budget.poll_fits(cx, READ_BYTES));
        }
        let mut chunk = [MaybeUninit::uninit(); READ_BYTES];
        let length = chunk.len().min(buf.remaining());
        let mut read = ReadBuf::uninit(&mut chunk[..length]);
        ready!(Pin::new(&mut self.io).poll_read(cx, read.unfilled()))?;
        buf.put_slice(read.filled());
        let head_bytes = head_bytes + read.filled().len();
        let mut state = self.flow.0.borrow_mut();
        state.head_bytes = Some(head_bytes);
        let beyond = head_bytes.saturating_sub(FREE_HEAD_BYTES);
        state.head_held.resize(beyond);
        Poll::Ready(Ok(()))
    }
}

impl<T: Write + Unpin> Write for MeteredIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write(cx, buf);
        self.on_write(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.on_write(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket once it has written all it holds.
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        self.flow.on_flushed();
        self.taken = None;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use std::{
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Wake, Waker},
    };

    use futures_util::stream;
    use http_body::{Body as _, Frame};
    use http_body_util::StreamBody;

    use super::{Flow, READ_BYTES};
    use crate::http::{
        body::{Body, Error},
        memory::Budget,
    };

    /// Counts how often a task is woken.
    #[derive(Default)]
    struct Wakes(AtomicUsize);

    impl Wake for Wakes {
        fn wake(self: Arc<Self>) {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Guards against waking all connections that wait for the budget whenever another one asks
    /// its response for a frame, which with hundreds of them takes the time of the event loop.
    #[test]
    fn polling_a_body_wakes_no_other_connection() {
        let budget = Budget::new(100);
        let held = budget.take_beyond(100);
        let counter = Arc::new(Wakes::default());
        let waker = Waker::from(counter.clone());
        let waits = budget.poll_fits(&mut Context::from_waker(&waker), READ_BYTES);
        assert!(waits.is_pending());
        let frames = stream::pending::<Result<Frame<_>, Error>>();
        let mut body = Flow::new(&budget).meter(Body::wrap(StreamBody::new(frames)));
        let polled = Pin::new(&mut body).poll_frame(&mut Context::from_waker(Waker::noop()));
        assert!(polled.is_pending());
        assert_eq!(counter.0.load(Ordering::Relaxed), 0);
        drop(held);
        assert_eq!(counter.0.load(Ordering::Relaxed), 1);
    }
}
