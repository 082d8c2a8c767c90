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
    head_version: u64,
    /// The pieces of the accepted head's file.
    referenced: BTreeSet<Hash>,
    /// What is to be deleted, once listed.
    queue: Option<VecDeque<Entry>>,
    /// Pieces deleted so far.
    deleted: usize,
    /// Whether the store failed a call. What is left waits for the next apply.
    stopped: bool,
}

impl Collection {
    /// A collection relative to the head whose object has version `object` and
    /// whose file has the pieces `kept`.
    ///
    /// ```
    /// use verbenaspool_coordination::{gc::Collection, store::{Machine, Step}};
    ///
    /// let collection = Collection::new("quetzal".parse().unwrap(), 7, Default::default());
    /// assert!(matches!(collection.step(), Step::Call(_)));
    /// ```
    #[must_use]
    pub fn new(firm: Name, head_version: u64, referenced: BTreeSet<Hash>) -> Self {
        Self {
            firm,
            head_version,
            referenced,
            queue: None,
            deleted: 0,
            stopped: false,
        }
    }

    /// Whether a listed object may be deleted.
    fn is_garbage(&self, entry: &Entry) -> bool {
        let name = entry.key.strip_prefix(&keys::pieces(&self.firm));
        let hash = name.and_then(|name| name.parse().ok());
        entry.version < self.head_version
            && hash.is_some_and(|hash| !self.referenced.contains(&hash))
    }
}

impl Machine for Collection {
    type Outcome = usize;

    fn step(&self) -> Step<usize> {
        let Some(queue) = &self.queue else {
            if self.stopped {
                return Step::Done(0);
            }
            let prefix = keys::pieces(&self.firm);
            return Step::Call(Call::List { prefix });
        };
        match queue.front() {
            Some(entry) if !self.stopped => Step::Call(Call::Delete {
                key: entry.key.clone(),
                when: When::Version(entry.version),
            }),
            _ => Step::Done(self.deleted),
        }
    }

    fn answer(&mut self, answer: Answer) {
        match answer {
            Answer::Listed(entries) => {
                let garbage = entries.into_iter().filter(|entry| self.is_garbage(entry));
                self.queue = Some(garbage.collect());
            }
            Answer::Failed(_) | Answer::Lost(_) | Answer::Rejected(_) => self.stopped = true,
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
