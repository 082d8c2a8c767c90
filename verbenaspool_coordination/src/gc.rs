//! Garbage collection of pieces that no head references.
//!
//! A piece may look unreferenced while another operator's apply is about to reference
//! it; deleting it would leave an accepted file that can't be read. Two rules prevent
//! that without relying on clocks:
//!
//! 1. Only pieces with a version below that of the head object are deleted. An apply
//!    based on this head rewrites every piece outside the head's file, so those pieces
//!    have higher versions; an apply based on an older head fails its compare-and-swap.
//! 2. Each deletion is conditional on the listed version, so a piece that was rewritten
//!    since then stays.

use std::collections::{BTreeSet, VecDeque};

use verbenaspool_state::name::Name;

use crate::{
    keys,
    piece::Hash,
    store::{Answer, Call, Entry, Machine, Step, When},
};

/// A garbage collection that runs after an accepted apply.
#[derive(Debug)]
pub struct Collection {
    /// The firm.
    firm: Name,
    /// Version of the accepted head's object.
    head_version: u64,
    /// Hashes of the pieces of the accepted head's file.
    referenced: BTreeSet<Hash>,
    /// Objects to delete; `None` until the listing was received.
    queue: Option<VecDeque<Entry>>,
    /// Pieces deleted so far.
    deleted: usize,
    /// Whether a store call failed. The remaining garbage is left for the next apply.
    stopped: bool,
}

impl Collection {
    /// Creates a collection relative to a head whose object has the version
    /// `head_version` and whose file consists of the pieces `referenced`.
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
