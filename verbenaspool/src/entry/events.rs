//! Server-sent events as they pass: counted, and cut at their ends.

use verbenaspool_protocol::engine::END_MARK;

/// What a line that carries data begins with.
const DATA: &[u8] = b"data:";

/// How much of a line is kept to recognise it, in bytes: the longest form of the end mark's
/// line, and a byte that tells a longer line from it.
const MAX_LINE_BYTES: usize = DATA.len() + 1 + END_MARK.len() + 1;

/// What the lines of an event carried so far.
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

/// Counts the events with data that have passed whole, wherever chunks are cut.
///
/// The event that marks the answer's end isn't counted: an engine that resumes the answer
/// sends it again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counter {
    /// How many have passed.
    pub count: u32,
    /// Whether the end mark has passed, so that nothing of the answer is missing.
    pub end_mark_seen: bool,
    /// The beginning of the present line.
    line: Vec<u8>,
    /// What the present event carries.
    content: Content,
}

impl Counter {
    /// Reads a chunk and tells where its last event ends; none ends at 0.
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

    /// Forgets an event that isn't whole; the count stays.
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

    /// Takes in what the present line carries.
    fn end_line(&mut self) {
        if let Some(value) = self.line.strip_prefix(DATA) {
            let value = value.strip_prefix(b" ").unwrap_or(value);
            let marks_end = self.content == Content::Empty && value == END_MARK.as_bytes();
            self.content = if marks_end {
                Content::EndMark
            } else {
                Content::Data
            };
        }
        self.line.clear();
    }

    /// Takes in what the present event was.
    fn end_event(&mut self) {
        match std::mem::take(&mut self.content) {
            Content::Empty => {}
            Content::Data => self.count += 1,
            Content::EndMark => self.end_mark_seen = true,
        }
    }
}
