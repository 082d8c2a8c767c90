//! Collecting pieces that no head refers to, without touching one that does.
//!
//! Failure guarded against: a piece looks unreferenced while another operator's
//! apply is about to refer to it; deleting it would leave an accepted file that
//! nobody can read. Two rules exclude that, without any clock:
//!
//! 1. Only a piece whose version is below the head object's is deleted. Whoever
//!    builds on this head writes every piece outside its file anew, so those
//!    have higher versions; whoever builds on an older head fails to swap.
//! 2. Each deletion is conditional on the version seen, so a piece written
//!    again in between stays.

use std::collections::{BTreeSet, VecDeque};

use verbenaspool_state::name::Name;

use crate::{
    keys,
    piece::Hash,
    store::{Answer, Call, Entry, Machine, Step, When},
};

/// One collection, after an apply was accepted.
#[derive(Debug)]
pub struct Collection {
    /// The firm.
    firm: Name,
    /// The version of the accepted head's object.
    object: u64,
    /// The pieces of the accepted head's file.
    kept: BTreeSet<Hash>,
    /// What is to be deleted, once listed.
    queue: Option<VecDeque<Entry>>,
    /// Pieces deleted so far.
    deleted: usize,
    /// Whether the store failed a call. What is left waits for the next apply.
    ended: bool,
}

impl Collection {
    /// A collection relative to the head whose object has version `object` and
    /// whose file has the pieces `kept`.
    ///
    /// ```
    /// use verbenaspool_coordination::{collection::Collection, store::{Machine, Step}};
    ///
    /// let collection = Collection::new("quetzal".parse().unwrap(), 7, Default::default());
    /// assert!(matches!(collection.step(), Step::Call(_)));
    /// ```
    #[must_use]
    pub fn new(firm: Name, object: u64, kept: BTreeSet<Hash>) -> Self {
        Self {
            firm,
            object,
            kept,
            queue: None,
            deleted: 0,
            ended: false,
        }
    }

    /// Whether a listed object may be deleted.
    fn garbage(&self, entry: &Entry) -> bool {
        let name = entry.key.strip_prefix(&keys::pieces(&self.firm));
        let hash = name.and_then(|name| name.parse().ok());
        entry.version < self.object && hash.is_some_and(|hash| !self.kept.contains(&hash))
    }
}

impl Machine for Collection {
    type Outcome = usize;

    fn step(&self) -> Step<usize> {
        let Some(queue) = &self.queue else {
            if self.ended {
                return Step::Done(0);
            }
            let prefix = keys::pieces(&self.firm);
            return Step::Call(Call::List { prefix });
        };
        match queue.front() {
            Some(entry) if !self.ended => Step::Call(Call::Delete {
                key: entry.key.clone(),
                when: When::Version(entry.version),
            }),
            _ => Step::Done(self.deleted),
        }
    }

    fn answer(&mut self, answer: Answer) {
        match answer {
            Answer::Listed(entries) => {
                let garbage = entries.into_iter().filter(|entry| self.garbage(entry));
                self.queue = Some(garbage.collect());
            }
            Answer::Failed(_) | Answer::Lost(_) | Answer::Refused(_) => self.ended = true,
            Answer::Changed(_) => {
                self.deleted += 1;
                self.queue.as_mut().and_then(VecDeque::pop_front);
            }
            _ => {
                self.queue.as_mut().and_then(VecDeque::pop_front);
            }
        }
    }
}
