//! Server-sent events as they pass: counted, and cut at their ends.

/// What a line that carries data begins with.
const DATA: &[u8] = b"data:";

/// Counts the events with data that have passed whole, wherever chunks are cut.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Events {
    /// How many have passed.
    pub count: u32,
    /// How many bytes of the present line there are.
    column: usize,
    /// Whether the present line began like [`DATA`] so far.
    matches: bool,
    /// Whether the present event has data.
    data: bool,
}

impl Events {
    /// Reads a chunk and tells where its last event ends; none ends at 0.
    ///
    /// ```
    /// use verbenaspool::entry::events::Events;
    ///
    /// let mut events = Events::default();
    /// assert_eq!(events.read(b"data: net\n"), 0);
    /// assert_eq!(events.read(b"\n: a comment\n\ndata: to"), 14);
    /// assert_eq!(events.count, 1);
    /// ```
    pub fn read(&mut self, chunk: &[u8]) -> usize {
        let mut end = 0;
        for (i, &byte) in chunk.iter().enumerate() {
            match byte {
                b'\n' if self.column == 0 => {
                    self.count += u32::from(std::mem::take(&mut self.data));
                    end = i + 1;
                }
                b'\n' => self.column = 0,
                b'\r' => {}
                _ => self.character(byte),
            }
        }
        end
    }

    /// Forgets an event that isn't whole; the count stays.
    ///
    /// ```
    /// use verbenaspool::entry::events::Events;
    ///
    /// let mut events = Events::default();
    /// events.read(b"data: n");
    /// events.restart();
    /// assert_eq!(events, Events::default());
    /// ```
    pub fn restart(&mut self) {
        *self = Self {
            count: self.count,
            ..Self::default()
        };
    }

    /// Reads a character within a line.
    fn character(&mut self, byte: u8) {
        if self.column == 0 {
            self.matches = true;
        }
        if let Some(expected) = DATA.get(self.column) {
            self.matches &= byte == *expected;
            self.data |= self.matches && self.column + 1 == DATA.len();
        }
        self.column += 1;
    }
}
