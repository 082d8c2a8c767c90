//! What goes wrong in an engine, set by tests.

use std::cell::Cell;

/// What goes wrong; each fault strikes once for each time it is set.
#[derive(Debug, Default)]
pub struct Faults {
    start_failures: Cell<u32>,
    /// Break off behind this many tokens of an answer.
    fail_after: Cell<Option<u32>>,
    other_answer: Cell<bool>,
}

impl Faults {
    /// The next request breaks off before the engine begins it.
    pub fn fail_before_start(&self) {
        self.start_failures.set(self.start_failures.get() + 1);
    }

    /// The next answer breaks off behind so many of its tokens.
    pub fn fail_after_tokens(&self, tokens: u32) {
        self.fail_after.set(Some(tokens));
    }

    /// The next answer is that to another prompt.
    pub fn answer_other_prompt(&self) {
        self.other_answer.set(true);
    }

    pub(crate) fn take_start_failure(&self) -> bool {
        let fails = self.start_failures.get() > 0;
        self.start_failures
            .set(self.start_failures.get().saturating_sub(1));
        fails
    }

    pub(crate) fn take_token_failure(&self) -> Option<u32> {
        self.fail_after.take()
    }

    pub(crate) fn take_other_answer(&self) -> bool {
        self.other_answer.take()
    }
}
