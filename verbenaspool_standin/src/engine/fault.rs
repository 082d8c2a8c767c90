//! What goes wrong in an engine, set by tests.

use std::cell::Cell;

/// What goes wrong; each fault strikes once for each time it is set.
#[derive(Debug, Default)]
pub struct Faults {
    before: Cell<u32>,
    /// Break off behind this many tokens of an answer.
    behind: Cell<Option<u32>>,
    crossed: Cell<bool>,
}

impl Faults {
    /// The next request breaks off before the engine begins it.
    pub fn break_before(&self) {
        self.before.set(self.before.get() + 1);
    }

    /// The next answer breaks off behind so many of its tokens.
    pub fn break_behind(&self, tokens: u32) {
        self.behind.set(Some(tokens));
    }

    /// The next answer is that to another prompt.
    pub fn cross(&self) {
        self.crossed.set(true);
    }

    pub(crate) fn refuse_before(&self) -> bool {
        let struck = self.before.get() > 0;
        self.before.set(self.before.get().saturating_sub(1));
        struck
    }

    pub(crate) fn take_behind(&self) -> Option<u32> {
        self.behind.take()
    }

    pub(crate) fn take_crossed(&self) -> bool {
        self.crossed.take()
    }
}
