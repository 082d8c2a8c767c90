//! The events of a stream, cut at their ends.
//!
//! An upstream may break off in the middle of an event, and the stream then goes
//! on at another upstream with the next whole one. So only whole events are
//! passed on, each once and in order.

use bytes::{Bytes, BytesMut};

/// Why a stream can't go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An event is missing, or comes a second time.
    OutOfOrder,
    /// An event is longer than any that engines send.
    TooLarge,
}

/// The largest event, in bytes. Those of engines have some hundred.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts a stream's bytes into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    /// The id of the last whole event, where events have ids.
    last_id: Option<u64>,
}

impl Splitter {
    /// Events of which the caller has those up to `last` already.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the stream stands behind a whole event.
    pub fn at_event_end(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops the part of an event that another upstream will send whole.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes bytes in; returns the whole events among them, and how many.
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

/// The end of the first event at or behind `from`: behind its empty line.
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

/// The id of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
