//! Splits a stream of server-sent events into events.
//!
//! A connection to an upstream may break in the middle of an event; another upstream then
//! resumes the stream after the last complete event. Only complete events are therefore
//! forwarded, each once and in order.

use bytes::{Bytes, BytesMut};

/// Why a stream is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An event is missing or repeated.
    OutOfOrder,
    /// An event exceeds [`MAX_EVENT_BYTES`].
    TooLarge,
}

/// Maximum size of an event. Events of engines have a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits the bytes of a stream into complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes after the last complete event.
    partial: BytesMut,
    /// The id of the last complete event, if events have ids.
    last_id: Option<u64>,
}

impl Splitter {
    /// Creates a splitter for a caller that already has the events up to `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the bytes received so far end with a complete event.
    pub fn at_event_end(&self) -> bool {
        self.partial.is_empty()
    }

    /// Discards an incomplete event, which another upstream will send again.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Appends bytes. Returns the events that are now complete and their number.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(Bytes, u64), Fault> {
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut count = 0;
        let mut start = 0;
        let mut at = searched;
        while let Some(end) = event_end(&self.partial, at) {
            let event = &self.partial[start..end];
            if let Some(id) = event_id(event) {
                if self.last_id.is_some_and(|last| id != last + 1) {
                    return Err(Fault::OutOfOrder);
                }
                self.last_id = Some(id);
            }
            count += 1;
            start = end;
            at = end;
        }
        if self.partial.len() - start > MAX_EVENT_BYTES {
            return Err(Fault::TooLarge);
        }
        Ok((self.partial.split_to(start).freeze(), count))
    }
}

/// The index after the empty line that ends the first event, searched from `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let next = at + found + 1;
        match &bytes[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

/// The value of an event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
