//! Limits on responses of servers that send without end.
//!
//! hyper 1.12 bounds a head only by its read buffer of 408 KiB and by 100 fields, reads any number
//! of interim responses, and allows 16 KiB of chunk extensions and as much of trailers. The
//! [`Meter`] therefore follows a connection's bytes beside hyper, with tighter limits, and leaves
//! the bytes as they are. It has no socket and no clock.

use std::{
    cell::RefCell,
    fmt, io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum size of the head of a response, and of each interim response. Heads of upstreams have a
/// few hundred bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of lines of a head, with the status line and the empty line at its end.
pub const MAX_HEAD_LINES: usize = 64;

/// Maximum number of interim responses (status 1xx) before a response.
pub const MAX_INTERIM_RESPONSES: usize = 8;

/// Maximum size of the chunk extensions and trailers of a response together.
pub const MAX_FRAMING_BYTES: usize = 4 * 1024;

/// Maximum size of hyper's read buffer of a connection, by default 408 KiB. A head fits twice.
pub const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Number of digits of the largest chunk size. Further digits are leading zeros.
const MAX_CHUNK_SIZE_DIGITS: usize = 16;

/// A limit on responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response exceeded the limit {}", .0.name())]
pub struct Exceeded(pub Limit);

/// The limit that a body exceeded, if its error is about one.
#[must_use]
pub fn exceeded_limit(error: &super::body::Error) -> Option<Limit> {
    let exceeded = error.downcast_ref::<Exceeded>();
    exceeded.map(|exceeded| exceeded.0)
}

/// What is limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// The size of a head.
    HeadBytes,
    /// The lines of a head.
    HeadLines,
    /// The number of interim responses.
    InterimResponses,
    /// The size of chunk extensions and trailers.
    FramingBytes,
    /// Bytes after a complete response, of which there may be none.
    ExtraBytes,
    /// The size of a body that is buffered.
    BodyBytes,
    /// The rate of a body, which must allow it to end in time.
    BodyRate,
    /// The size of an unfinished event.
    EventBytes,
    /// The size of empty lines, comments and events without data between two events.
    FillerBytes,
}

impl Limit {
    /// The limit's name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::HeadBytes => "head-bytes",
            Self::HeadLines => "head-lines",
            Self::InterimResponses => "interim-responses",
            Self::FramingBytes => "framing-bytes",
            Self::ExtraBytes => "extra-bytes",
            Self::BodyBytes => "body-bytes",
            Self::BodyRate => "body-rate",
            Self::EventBytes => "event-bytes",
            Self::FillerBytes => "filler-bytes",
        }
    }
}

/// Where in a connection's responses the next byte is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No response is expected.
    Idle,
    /// In the head of a response or of an interim one.
    Head,
    /// In a body with a length, of which this number of bytes is left.
    Length(u64),
    /// In the line with the size of a chunk.
    ChunkSize {
        size: u64,
        digits: usize,
        ended: bool,
    },
    /// In a chunk of which this number of bytes is left.
    Chunk(u64),
    /// In the end of line after a chunk.
    ChunkEnd,
    /// In the trailers. The current line has this number of bytes.
    Trailers(usize),
    /// In a body that ends with the connection.
    UntilClose,
}

/// What has been read of a head.
#[derive(Debug, Default)]
struct Head {
    bytes: usize,
    lines: usize,
    status: Option<u16>,
    /// Whether the last transfer coding is `chunked`, if there are any.
    chunked: Option<bool>,
    length: Option<u64>,
}

/// Follows the responses on a connection and checks their limits.
#[derive(Debug)]
pub struct Meter {
    state: State,
    /// Whether the response is to a HEAD request and has no body.
    is_head_request: bool,
    head: Head,
    /// The unfinished line of a head.
    line: Vec<u8>,
    interim_responses: usize,
    framing_bytes: usize,
    exceeded: Option<Limit>,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            state: State::Idle,
            is_head_request: false,
            head: Head::default(),
            line: Vec::new(),
            interim_responses: 0,
            framing_bytes: 0,
            exceeded: None,
        }
    }
}

impl Meter {
    /// Expects the response to a request.
    ///
    /// ```
    /// use verbenaspool_transport::http::response_limits::{Limit, Meter};
    ///
    /// let mut meter = Meter::default();
    /// meter.begin(false);
    /// assert_eq!(meter.push(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"), Ok(()));
    /// assert_eq!(meter.push(b"more").unwrap_err().0, Limit::ExtraBytes);
    /// ```
    pub fn begin(&mut self, is_head_request: bool) {
        self.is_head_request = is_head_request;
        self.state = State::Head;
        self.head = Head::default();
        self.line.clear();
        self.interim_responses = 0;
        self.framing_bytes = 0;
    }

    /// The first limit that was exceeded on the connection.
    #[must_use]
    pub fn exceeded(&self) -> Option<Limit> {
        self.exceeded
    }

    /// Whether all expected responses are complete and nothing followed them, so that the
    /// connection can carry another request.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.state == State::Idle && self.exceeded.is_none()
    }

    /// Follows received bytes.
    ///
    /// Extra bytes that arrive together with the end of a response aren't an error, as the response
    /// is valid; the connection isn't reusable after it.
    ///
    /// # Errors
    /// A limit is exceeded, and the connection must be closed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Exceeded> {
        if bytes.is_empty() {
            return Ok(());
        }
        let was_idle = self.state == State::Idle;
        let mut rest = bytes;
        while !rest.is_empty() {
            let result = match self.state {
                State::Idle => {
                    self.exceeded.get_or_insert(Limit::ExtraBytes);
                    return if was_idle {
                        Err(Exceeded(Limit::ExtraBytes))
                    } else {
                        Ok(())
                    };
                }
                State::UntilClose => return Ok(()),
                State::Length(left) => {
                    let (taken, left) = take(left, rest.len());
                    self.state = if left == 0 {
                        State::Idle
                    } else {
                        State::Length(left)
                    };
                    Ok(taken)
                }
                State::Chunk(left) => {
                    let (taken, left) = take(left, rest.len());
                    self.state = if left == 0 {
                        State::ChunkEnd
                    } else {
                        State::Chunk(left)
                    };
                    Ok(taken)
                }
                State::ChunkEnd => {
                    if rest[0] == b'\n' {
                        self.state = State::ChunkSize {
                            size: 0,
                            digits: 0,
                            ended: false,
                        };
                    }
                    Ok(1)
                }
                State::Head => self.push_head(rest),
                State::ChunkSize { .. } => self.push_chunk_size(rest[0]),
                State::Trailers(_) => self.push_trailer(rest[0]),
            };
            match result {
                Ok(taken) => rest = &rest[taken..],
                Err(limit) => {
                    self.exceeded.get_or_insert(limit);
                    return Err(Exceeded(limit));
                }
            }
        }
        Ok(())
    }

    /// Follows the bytes of a head up to the end of a line. Returns their number.
    fn push_head(&mut self, bytes: &[u8]) -> Result<usize, Limit> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let taken = end.map_or(bytes.len(), |end| end + 1);
        self.head.bytes += taken;
        if self.head.bytes > MAX_HEAD_BYTES {
            return Err(Limit::HeadBytes);
        }
        self.line.extend_from_slice(&bytes[..taken]);
        if end.is_some() {
            self.head.lines += 1;
            if self.head.lines > MAX_HEAD_LINES {
                return Err(Limit::HeadLines);
            }
            let line = std::mem::take(&mut self.line);
            let is_end = self.head.push_line(line.trim_ascii_end());
            if is_end {
                self.end_head()?;
            }
            self.line = line;
            self.line.clear();
        }
        Ok(taken)
    }

    /// Determines the framing of the body after a head, as RFC 9112, section 6.3, defines it.
    fn end_head(&mut self) -> Result<(), Limit> {
        let head = std::mem::take(&mut self.head);
        let status = head.status.unwrap_or_default();
        self.state = match (status, head.chunked, head.length) {
            (101, _, _) => State::UntilClose,
            (100..=199, _, _) => {
                self.interim_responses += 1;
                if self.interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(Limit::InterimResponses);
                }
                State::Head
            }
            (204 | 304, _, _) => State::Idle,
            _ if self.is_head_request => State::Idle,
            (_, Some(true), _) => State::ChunkSize {
                size: 0,
                digits: 0,
                ended: false,
            },
            (_, None, Some(0)) => State::Idle,
            (_, None, Some(length)) => State::Length(length),
            (_, Some(false), _) | (_, None, None) => State::UntilClose,
        };
        Ok(())
    }

    /// Follows a byte of the line with a chunk's size and extensions.
    fn push_chunk_size(&mut self, byte: u8) -> Result<usize, Limit> {
        let State::ChunkSize {
            size,
            digits,
            ended,
        } = self.state
        else {
            return Ok(0);
        };
        let digit = char::from(byte).to_digit(16).filter(|_| !ended);
        self.state = match (byte, digit) {
            (b'\n', _) if size == 0 => State::Trailers(0),
            (b'\n', _) => State::Chunk(size),
            (_, Some(digit)) => State::ChunkSize {
                size: size.saturating_mul(16).saturating_add(digit.into()),
                digits: digits + 1,
                ended,
            },
            _ => State::ChunkSize {
                size,
                digits,
                ended: true,
            },
        };
        // The end of line after the digits isn't counted: a long response has many chunks.
        let is_counted = match digit {
            Some(_) => digits >= MAX_CHUNK_SIZE_DIGITS,
            None => ended || byte != b'\r',
        };
        if is_counted && byte != b'\n' {
            self.count_framing()?;
        }
        Ok(1)
    }

    /// Follows a byte of the trailers.
    fn push_trailer(&mut self, byte: u8) -> Result<usize, Limit> {
        let State::Trailers(line_bytes) = self.state else {
            return Ok(0);
        };
        self.state = match byte {
            b'\n' if line_bytes == 0 => State::Idle,
            b'\n' => State::Trailers(0),
            b'\r' if line_bytes == 0 => State::Trailers(0),
            _ => State::Trailers(line_bytes + 1),
        };
        self.count_framing()?;
        Ok(1)
    }

    fn count_framing(&mut self) -> Result<(), Limit> {
        self.framing_bytes += 1;
        if self.framing_bytes > MAX_FRAMING_BYTES {
            return Err(Limit::FramingBytes);
        }
        Ok(())
    }
}

impl Head {
    /// Adds a line without its end. Returns whether it ends the head.
    fn push_line(&mut self, line: &[u8]) -> bool {
        if self.status.is_none() {
            // Empty lines before the status line are skipped, as hyper does.
            if !line.is_empty() {
                let mut words = line.split(|byte| *byte == b' ');
                let status = words.nth(1).and_then(parse_number);
                self.status = Some(status.and_then(|s| s.try_into().ok()).unwrap_or_default());
            }
            return false;
        }
        if let Some(colon) = line.iter().position(|byte| *byte == b':') {
            let (name, value) = (&line[..colon], &line[colon + 1..]);
            let last = value.rsplit(|byte| *byte == b',').next();
            let last = last.unwrap_or_default().trim_ascii();
            if name.eq_ignore_ascii_case(b"transfer-encoding") {
                self.chunked = Some(last.eq_ignore_ascii_case(b"chunked"));
            } else if name.eq_ignore_ascii_case(b"content-length") {
                self.length = parse_number(last);
            }
        }
        line.is_empty()
    }
}

/// Takes up to `available` bytes of `left`. Returns their number and what is left after them.
fn take(left: u64, available: usize) -> (usize, u64) {
    let taken = usize::try_from(left).map_or(available, |left| left.min(available));
    (taken, left - taken as u64)
}

fn parse_number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Is told about extra bytes, which fail no request.
pub type Observer = Rc<dyn Fn(SocketAddr, Limit)>;

/// The meter of a connection.
pub(super) struct MeteredConnection {
    address: SocketAddr,
    observer: Observer,
    meter: RefCell<Meter>,
}

impl fmt::Debug for MeteredConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = f.debug_struct("MeteredConnection");
        fields.field("meter", &self.meter).finish_non_exhaustive()
    }
}

impl MeteredConnection {
    pub(super) fn new(address: SocketAddr, observer: Observer) -> Self {
        Self {
            address,
            observer,
            meter: RefCell::default(),
        }
    }

    /// Expects the response to a request.
    pub(super) fn begin(&self, is_head_request: bool) {
        self.meter.borrow_mut().begin(is_head_request);
    }

    /// The limit that the response exceeded. Extra bytes fail no response.
    pub(super) fn exceeded(&self) -> Option<Limit> {
        let exceeded = self.meter.borrow().exceeded();
        exceeded.filter(|limit| *limit != Limit::ExtraBytes)
    }

    /// Whether the connection can carry another request.
    pub(super) fn is_reusable(&self) -> bool {
        self.meter.borrow().is_reusable()
    }

    fn push(&self, bytes: &[u8]) -> io::Result<()> {
        let (result, has_extra) = {
            let mut meter = self.meter.borrow_mut();
            let before = meter.exceeded();
            let result = meter.push(bytes);
            let has_extra = meter.exceeded() == Some(Limit::ExtraBytes);
            (result, has_extra && before.is_none())
        };
        if has_extra {
            (self.observer)(self.address, Limit::ExtraBytes);
        }
        result.map_err(io::Error::other)
    }
}

/// A stream whose received bytes are metered, if it has a meter.
#[derive(Debug)]
pub(super) struct Metered<T> {
    inner: T,
    connection: Option<Rc<MeteredConnection>>,
}

impl<T> Metered<T> {
    pub(super) fn new(inner: T, connection: Option<Rc<MeteredConnection>>) -> Self {
        Self { inner, connection }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if let Some(connection) = &self.connection {
            connection.push(&buf.filled()[before..])?;
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}
