//! An admitted attempt, closed in the ledger however its request ends.

use std::rc::Rc;

use verbenaspool_coordination::attempt::{Ending, Key};

use crate::shared::Shared;

/// An admitted attempt. Dropped without a word it is closed as broken off, so
/// that no path through the code can leave an attempt running for ever.
#[derive(Debug)]
pub(crate) struct Flight {
    shared: Rc<Shared>,
    key: Key,
    ending: Ending,
}

impl Flight {
    pub(crate) fn new(shared: Rc<Shared>, key: Key) -> Self {
        Self {
            shared,
            key,
            ending: Ending::Broken,
        }
    }

    /// Closes the attempt.
    pub(crate) fn end(mut self, ending: Ending) {
        self.ending = ending;
    }

    pub(crate) fn shared(&self) -> &Rc<Shared> {
        &self.shared
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut ledger = self.shared.ledger.borrow_mut();
        ledger.finish(self.key, self.ending);
    }
}
