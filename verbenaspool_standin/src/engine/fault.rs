//! Faults that tests inject into an engine.

use std::cell::Cell;

/// The faults to inject. Each call of a method affects one request; start failures add up, the
/// others don't.
#[derive(Debug, Default)]
pub struct Faults {
    /// How many further requests fail before the engine starts them.
    start_failures: Cell<u32>,
    /// The next answer breaks off after this many tokens.
    fail_after: Cell<Option<u32>>,
    /// The next answer is that to another prompt.
    other_answer: Cell<bool>,
}

impl Faults {
    /// Has the connection of one more request break before the engine starts the request.
    pub fn fail_before_start(&self) {
        self.start_failures.set(self.start_failures.get() + 1);
    }

    /// Has the next answer break off after this many tokens.
    pub fn fail_after_tokens(&self, tokens: u32) {
        self.fail_after.set(Some(tokens));
    }

    /// Has the next request answered with the text of another prompt.
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
