//! Splits a stream of server-sent events into events, and tells events from filler.
//!
//! A connection to an upstream may break in the middle of an event; another upstream then
//! resumes the stream after the last complete event. Only complete events are therefore
//! forwarded, each once and in order.
//!
//! A server in trouble may send empty lines or comments without end. Only events count as progress;
//! everything else is held until the next event, up to a limit, and is forwarded with it unchanged.

use bytes::{Bytes, BytesMut};

use super::response_limits::Limit;

/// Why a stream is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An event is missing or repeated.
    OutOfOrder,
    /// An unfinished event or the filler between two events is too large.
    Exceeded(Limit),
}

/// The result of adding bytes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The events that are now complete, with the filler before them.
    pub events: Bytes,
    /// The number of events.
    pub count: u64,
    /// Why the stream must not be continued from this upstream after these events.
    pub fault: Option<Fault>,
}

/// Maximum size of an unfinished event. Events of engines have a few hundred bytes.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Maximum size of the filler between two events. Engines send comments of a few bytes, some times
/// a second at most.
pub const MAX_FILLER_BYTES: usize = 4 * 1024;

/// Splits the bytes of a stream into complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes after the last complete event.
    held: BytesMut,
    /// The start of the unfinished line in `held`.
    line_start: usize,
    /// How much of `held` has been searched for the end of that line.
    searched: usize,
    /// The fields since the last empty line.
    block: Block,
    /// The size of the complete lines in `held` that belong to no unfinished event.
    filler_bytes: usize,
    /// The id of the last complete event, if events have ids.
    last_id: Option<u64>,
    /// Whether an event with an id was received. The id that a caller names isn't enough: an
    /// upstream may send events without ids all the same.
    has_ids: bool,
}

/// The lines since the last empty line, without comments.
#[derive(Debug, Default)]
struct Block {
    bytes: usize,
    id: Option<u64>,
    has_data: bool,
}

impl Splitter {
    /// Creates a splitter for a caller that already has the events up to `last_id`.
    ///
    /// ```
    /// use verbenaspool_transport::http::events::Splitter;
    ///
    /// let mut splitter = Splitter::after(Some(3));
    /// assert_eq!(splitter.push(b"\n: comment\n\n").count, 0);
    /// let progress = splitter.push(b"id: 4\ndata: x\n\n");
    /// assert_eq!(progress.events, "\n: comment\n\nid: 4\ndata: x\n\n");
    /// assert_eq!(splitter.last_id(), Some(4));
    /// ```
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// The id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the bytes received so far end outside of an event. Complete comments may follow it.
    #[must_use]
    pub fn at_event_end(&self) -> bool {
        self.block.bytes == 0 && self.line_start == self.held.len()
    }

    /// Number of bytes held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held.len()
    }

    /// Discards an incomplete event, which another upstream will send again, and filler.
    pub fn discard_partial(&mut self) {
        *self = Self {
            last_id: self.last_id,
            has_ids: self.has_ids,
            ..Self::default()
        };
    }

    /// Takes the filler after the last event of a stream that has ended normally.
    pub fn take_rest(&mut self) -> Bytes {
        let rest = self.held.split().freeze();
        self.discard_partial();
        rest
    }

    /// Appends bytes. Events before a fault count as received: the stream is resumed after them.
    pub fn push(&mut self, bytes: &[u8]) -> Progress {
        self.held.extend_from_slice(bytes);
        let (mut count, mut complete) = (0, 0);
        let lines = self.push_lines(&mut count, &mut complete);
        let events = self.held.split_to(complete).freeze();
        self.line_start -= complete;
        self.searched = self.held.len();
        Progress {
            events,
            count,
            fault: lines.and_then(|()| self.check_limits()).err(),
        }
    }

    /// Takes the complete lines in. Counts the events, and the bytes up to the end of the last one.
    fn push_lines(&mut self, count: &mut u64, complete: &mut usize) -> Result<(), Fault> {
        while let Some(found) = self.held[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let start = std::mem::replace(&mut self.line_start, self.searched + found + 1);
            self.searched = self.line_start;
            if self.push_line(start)? {
                *count += 1;
                *complete = self.line_start;
            }
            if self.filler_bytes > MAX_FILLER_BYTES {
                return Err(Fault::Exceeded(Limit::FillerBytes));
            }
        }
        Ok(())
    }

    /// Checks the limits with the unfinished line.
    fn check_limits(&self) -> Result<(), Fault> {
        let line = &self.held[self.line_start..];
        let comment_bytes = line.first().map_or(0, |byte| match byte {
            b':' => line.len(),
            _ => 0,
        });
        if self.filler_bytes + comment_bytes > MAX_FILLER_BYTES {
            return Err(Fault::Exceeded(Limit::FillerBytes));
        }
        if self.block.bytes + line.len() > MAX_EVENT_BYTES {
            return Err(Fault::Exceeded(Limit::EventBytes));
        }
        Ok(())
    }

    /// Takes a complete line in. Returns whether it ends an event.
    fn push_line(&mut self, start: usize) -> Result<bool, Fault> {
        let line = &self.held[start..self.line_start];
        let text = line.strip_suffix(b"\n").unwrap_or(line);
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        if text.first() == Some(&b':') {
            self.filler_bytes += line.len();
        } else if !text.is_empty() {
            self.block.bytes += line.len();
            if let Some(value) = text.strip_prefix(b"id:") {
                self.block.id = self.block.id.or_else(|| parse_id(value));
            } else if let Some(value) = text.strip_prefix(b"data:") {
                self.block.has_data |= !value.trim_ascii().is_empty();
            }
        } else {
            let line_bytes = line.len();
            let block = std::mem::take(&mut self.block);
            let is_next = |last: u64| block.id == last.checked_add(1);
            if block.id.is_some() && self.last_id.is_some_and(|last| !is_next(last)) {
                return Err(Fault::OutOfOrder);
            }
            let is_event = block.id.is_some() || (block.has_data && !self.has_ids);
            if is_event {
                self.has_ids |= block.id.is_some();
                self.last_id = block.id.or(self.last_id);
                self.filler_bytes = 0;
                return Ok(true);
            }
            self.filler_bytes += block.bytes + line_bytes;
        }
        Ok(false)
    }
}

/// The value of an event's `id` field.
fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
