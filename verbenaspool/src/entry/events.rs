//! Counts the server-sent events in a stream and finds where they end.

use verbenaspool_protocol::engine::END_OF_STREAM;

/// The prefix of a line with data.
const DATA: &[u8] = b"data:";

/// The number of bytes of a line that are buffered to recognise it: the longest form of the end
/// mark's line, and one byte to tell a longer line from it.
const MAX_LINE_BYTES: usize = DATA.len() + 1 + END_OF_STREAM.len() + 1;

/// The content of an event's lines so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Content {
    /// No data.
    #[default]
    Empty,
    /// Data of the answer.
    Data,
    /// The mark that ends the answer, and no other data.
    EndMark,
}

/// Counts the complete events with data, wherever the stream is split into chunks.
///
/// The event with the end mark isn't counted: an engine that resumes the answer sends it again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counter {
    /// The number of complete events with data.
    pub count: u32,
    /// Whether the end mark was read, so that the answer is complete.
    pub end_mark_seen: bool,
    /// The start of the current line.
    line: Vec<u8>,
    /// The content of the current event.
    content: Content,
}

impl Counter {
    /// Reads a chunk and returns the offset after its last event end, or 0 if no event ends in
    /// it.
    ///
    /// ```
    /// use verbenaspool::entry::events::Counter;
    ///
    /// let mut events = Counter::default();
    /// assert_eq!(events.read(b"data: net\n"), 0);
    /// assert_eq!(events.read(b"\n: a comment\n\ndata: to"), 14);
    /// assert_eq!(events.count, 1);
    /// ```
    pub fn read(&mut self, chunk: &[u8]) -> usize {
        let mut end = 0;
        for (i, &byte) in chunk.iter().enumerate() {
            match byte {
                b'\n' if self.line.is_empty() => {
                    self.end_event();
                    end = i + 1;
                }
                b'\n' => self.end_line(),
                b'\r' => {}
                _ if self.line.len() < MAX_LINE_BYTES => self.line.push(byte),
                _ => {}
            }
        }
        end
    }

    /// Discards an incomplete event; the count stays.
    ///
    /// ```
    /// use verbenaspool::entry::events::Counter;
    ///
    /// let mut events = Counter::default();
    /// events.read(b"data: n");
    /// events.discard_partial();
    /// assert_eq!(events, Counter::default());
    /// ```
    pub fn discard_partial(&mut self) {
        self.line.clear();
        self.content = Content::Empty;
    }

    /// Processes the end of a line.
    fn end_line(&mut self) {
        if let Some(value) = self.line.strip_prefix(DATA) {
            let value = value.strip_prefix(b" ").unwrap_or(value);
            let marks_end = self.content == Content::Empty && value == END_OF_STREAM.as_bytes();
            self.content = if marks_end {
                Content::EndMark
            } else {
                Content::Data
            };
        }
        self.line.clear();
    }

    /// Processes the end of an event.
    fn end_event(&mut self) {
        match std::mem::take(&mut self.content) {
            Content::Empty => {}
            Content::Data => self.count += 1,
            Content::EndMark => self.end_mark_seen = true,
        }
    }
}
