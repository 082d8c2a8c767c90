//! Applies a file atomically and reports the outcome to the operator.
//!
//! The state machine reads the head, uploads the pieces that the head's file lacks, and
//! replaces the head by compare-and-swap. Only the swap makes the file accepted; a
//! failure before it leaves at most unreferenced pieces.
//!
//! A swap whose answer is lost may have taken effect, or may still do so. It is sent
//! again under the same condition, so that it takes effect at most once, until the
//! store answers; the apply ids in the head then show the outcome.

use std::{collections::VecDeque, rc::Rc};

use verbenaspool_state::{name::Name, version::Version};

use crate::{
    head::Head,
    keys,
    piece::{Hash, Pieces, Split},
    store::{Answer, Call, Machine, Step, When},
};

/// Applies one file.
#[derive(Debug)]
pub struct Apply {
    /// The operator's request.
    request: Request,
    /// The new pieces, and the nodes of the current file that were read for comparison.
    pieces: Pieces,
    /// The head to replace.
    base: Option<StoredHead>,
    /// The highest version that is active anywhere. The store may have an older head, if it came
    /// back from a copy; a version that was active isn't used again.
    highest_active: Version,
    /// Current state.
    state: State,
    /// Whether the last call must be repeated after a delay.
    retry: bool,
    /// Whether a swap was sent whose outcome is unknown.
    unconfirmed_swap: bool,
    /// Last error, reported if the apply is abandoned.
    last_error: String,
}

/// An operator's request to apply a file.
#[derive(Debug, Clone)]
pub struct Request {
    /// The firm.
    pub firm: Name,
    /// Unique id of the apply. Applying again under the same id resolves an unknown
    /// outcome.
    pub id: String,
    /// Version that the operator expects to replace, if specified.
    pub expected_version: Option<Version>,
    /// The file, split into pieces.
    pub split: Split,
}

/// A head as read from the store.
#[derive(Debug, Clone)]
struct StoredHead {
    /// Version of the head's object in the store.
    object_version: u64,
    /// The head.
    head: Head,
}

/// State of an apply.
#[derive(Debug)]
enum State {
    /// Reads the head.
    ReadHead,
    /// Reads a node of the current head's file.
    ReadNode(Hash),
    /// Writes the queued pieces; swaps the head once the queue is empty.
    Upload(VecDeque<(Hash, Rc<[u8]>)>),
    /// Reads the head that made the swap fail.
    ResolveConflict,
    /// Finished.
    Done(Outcome),
}

/// Outcome of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The file is accepted.
    Accepted {
        /// Version assigned to the file.
        version: Version,
        /// Version of the head's object, if this apply's head is still the current one.
        object_version: Option<u64>,
    },
    /// The file is already the accepted one; nothing changed.
    Unchanged(Version),
    /// Another apply was accepted first, or the current version isn't the expected one.
    /// This file isn't accepted.
    Conflict {
        /// Version that this apply was to replace.
        expected: Version,
        /// Current version.
        current: Version,
    },
    /// The file wasn't accepted and this apply will never make it so.
    Failed(String),
    /// The swap was sent and its outcome couldn't be determined. Applying again under
    /// the same id resolves it.
    Unknown(String),
}

impl Apply {
    /// Creates an apply that has made no call yet.
    ///
    /// ```
    /// use verbenaspool_coordination::{apply::{Apply, Request}, piece, store::{Call, Machine, Step}};
    /// use verbenaspool_state::file::File;
    ///
    /// let firm: verbenaspool_state::name::Name = "quetzal".parse().unwrap();
    /// let file = File { firm: firm.clone(), places: vec![], services: vec![], customers: vec![] };
    /// let split = piece::split(&file).unwrap();
    /// let apply = Apply::new(Request { firm, id: "apply-1".into(), expected_version: None, split });
    /// assert_eq!(apply.step(), Step::Call(Call::Get { key: "firms/quetzal/head".into() }));
    /// ```
    #[must_use]
    pub fn new(request: Request) -> Self {
        let mut pieces = Pieces::default();
        pieces.extend(&request.split);
        Self {
            request,
            pieces,
            base: None,
            highest_active: Version::default(),
            state: State::ReadHead,
            retry: false,
            unconfirmed_swap: false,
            last_error: String::new(),
        }
    }

    /// Has the file accepted as a version above one that is active.
    ///
    /// ```no_run
    /// # use verbenaspool_coordination::apply::Apply;
    /// # use verbenaspool_state::version::Version;
    /// # fn example(apply: Apply) {
    /// let apply = apply.above(Version(7));
    /// # }
    /// ```
    #[must_use]
    pub fn above(self, highest_active: Version) -> Self {
        Self {
            highest_active,
            ..self
        }
    }

    /// Returns the outcome to report if the apply is abandoned now.
    ///
    /// ```no_run
    /// # use verbenaspool_coordination::apply::{Apply, Outcome};
    /// # fn example(apply: Apply) {
    /// assert!(matches!(apply.abandon(), Outcome::Failed(_) | Outcome::Unknown(_)));
    /// # }
    /// ```
    #[must_use]
    pub fn abandon(&self) -> Outcome {
        match &self.state {
            State::Done(outcome) => outcome.clone(),
            _ if self.unconfirmed_swap => Outcome::Unknown(self.last_error.clone()),
            _ => Outcome::Failed(self.last_error.clone()),
        }
    }

    /// Returns the version that this apply replaces.
    fn base_version(&self) -> Version {
        let head = self.base.as_ref().map(|base| base.head.version);
        head.unwrap_or_default()
    }

    /// Builds the new head.
    fn head(&self) -> Head {
        let Request { id, split, .. } = &self.request;
        match &self.base {
            Some(base) if base.head.version >= self.highest_active => {
                base.head.next(id, split.root)
            }
            _ => Head::after(self.highest_active, id, split.root),
        }
    }

    /// Returns the call that the current state needs.
    fn call(&self) -> Result<Call, Outcome> {
        let firm = &self.request.firm;
        Ok(match &self.state {
            State::ReadHead | State::ResolveConflict => Call::Get {
                key: keys::head(firm),
            },
            State::ReadNode(hash) => Call::Get {
                key: keys::piece(firm, *hash),
            },
            State::Upload(queue) => match queue.front() {
                Some((hash, bytes)) => Call::Put {
                    key: keys::piece(firm, *hash),
                    value: bytes.to_vec(),
                    when: When::Always,
                },
                None => self.swap(),
            },
            State::Done(outcome) => return Err(outcome.clone()),
        })
    }

    /// Returns the compare-and-swap that makes the file the accepted one.
    fn swap(&self) -> Call {
        let when = self
            .base
            .as_ref()
            .map_or(When::Absent, |base| When::Version(base.object_version));
        Call::Put {
            key: keys::head(&self.request.firm),
            value: self.head().to_bytes(),
            when,
        }
    }

    /// Handles the head read at the start.
    fn handle_head(&mut self, found: Option<StoredHead>) {
        if let Some(base) = &found {
            let current = base.head.version;
            if let Some(version) = base.head.version_of(&self.request.id) {
                let object_version = (version == current).then_some(base.object_version);
                return self.finish(Outcome::Accepted {
                    version,
                    object_version,
                });
            }
            let is_active = current >= self.highest_active;
            let is_same = base.head.root == self.request.split.root;
            if is_same && is_active && self.may_replace(current) {
                return self.finish(Outcome::Unchanged(current));
            }
        }
        self.base = found;
        let current = self.base_version();
        if !self.may_replace(current) {
            let expected = self.request.expected_version.unwrap_or_default();
            return self.finish(Outcome::Conflict { expected, current });
        }
        self.read_or_upload();
    }

    /// Whether the request allows `current` to be replaced.
    fn may_replace(&self, current: Version) -> bool {
        self.request
            .expected_version
            .is_none_or(|expected| expected == current)
    }

    /// Reads the next node of the current head's file, or starts the upload once all
    /// are known.
    ///
    /// Only nodes that differ are read: pieces shared with the new file are already at
    /// hand. Every piece outside the head's file is written even if it is already
    /// stored, because it may be about to be garbage collected; the write gives it a
    /// new version, on which the collection's delete condition fails.
    fn read_or_upload(&mut self) {
        let Some(base) = &self.base else {
            let all = self.request.split.pieces.clone();
            self.state = State::Upload(all.into_iter().collect());
            return;
        };
        let root = base.head.root;
        match (self.pieces.missing_node(root), self.pieces.referenced(root)) {
            (Ok(Some(hash)), _) => self.state = State::ReadNode(hash),
            (Ok(None), Ok(known)) => {
                let pieces = self.request.split.pieces.iter();
                let fresh = pieces.filter(|(hash, _)| !known.contains(hash));
                self.state = State::Upload(fresh.map(|(h, b)| (*h, Rc::clone(b))).collect());
            }
            (Err(e), _) | (_, Err(e)) => self.finish(Outcome::Failed(e.to_string())),
        }
    }

    /// Handles a node of the current head's file.
    fn handle_node(&mut self, hash: Hash, answer: Answer) {
        match answer {
            Answer::Found { value, .. } => match self.pieces.insert(hash, &value) {
                Ok(()) => self.read_or_upload(),
                Err(e) => self.finish(Outcome::Failed(e.to_string())),
            },
            // The head was replaced and its pieces were garbage collected in the
            // meantime.
            _ => self.state = State::ReadHead,
        }
    }

    /// Handles the head that made the swap fail.
    fn resolve_conflict(&mut self, found: Option<StoredHead>) {
        let Some(base) = found else {
            return self.finish(Outcome::Failed("the head was deleted".to_owned()));
        };
        let current = base.head.version;
        let outcome = match base.head.version_of(&self.request.id) {
            Some(version) => Outcome::Accepted {
                version,
                object_version: (version == current).then_some(base.object_version),
            },
            // A head lists a limited number of applies. Beyond that, a swap whose
            // answer was lost can't be told from one that never took effect.
            None if self.unconfirmed_swap && !base.head.remembers(self.head().version) => {
                Outcome::Unknown(
                    "too many versions were accepted since the swap was sent".to_owned(),
                )
            }
            None => Outcome::Conflict {
                expected: self.base_version(),
                current,
            },
        };
        self.finish(outcome);
    }

    /// Finishes the apply with an outcome.
    fn finish(&mut self, outcome: Outcome) {
        self.state = State::Done(outcome);
    }

    /// Parses the answer to a read of the head; fails the apply if the head is corrupt.
    fn parse_head(&mut self, answer: Answer) -> Option<StoredHead> {
        let Answer::Found { version, value } = answer else {
            return None;
        };
        let head = Head::from_bytes(&value);
        if head.is_none() {
            self.finish(Outcome::Failed("the stored head is corrupt".to_owned()));
        }
        head.map(|head| StoredHead {
            object_version: version,
            head,
        })
    }
}

impl Machine for Apply {
    type Outcome = Outcome;

    fn step(&self) -> Step<Outcome> {
        match self.call() {
            Ok(call) if self.retry => Step::Retry(call),
            Ok(call) => Step::Call(call),
            Err(outcome) => Step::Done(outcome),
        }
    }

    fn answer(&mut self, answer: Answer) {
        let swap = matches!(&self.state, State::Upload(queue) if queue.is_empty());
        self.retry = false;
        match answer {
            Answer::Failed(reason) => {
                self.last_error = reason;
                self.retry = true;
                return;
            }
            Answer::Lost(reason) => {
                self.last_error = reason;
                self.retry = true;
                self.unconfirmed_swap |= swap;
                return;
            }
            Answer::Rejected(reason) => return self.finish(Outcome::Failed(reason)),
            _ => {}
        }
        match &mut self.state {
            State::ReadHead => {
                let found = self.parse_head(answer);
                if !matches!(self.state, State::Done(_)) {
                    self.handle_head(found);
                }
            }
            State::ReadNode(hash) => {
                let hash = *hash;
                self.handle_node(hash, answer);
            }
            State::Upload(queue) if !queue.is_empty() => {
                queue.pop_front();
            }
            State::Upload(_) => match answer {
                Answer::Changed(object_version) => {
                    let version = self.head().version;
                    let object_version = Some(object_version);
                    self.finish(Outcome::Accepted {
                        version,
                        object_version,
                    });
                }
                _ => self.state = State::ResolveConflict,
            },
            State::ResolveConflict => {
                let found = self.parse_head(answer);
                if !matches!(self.state, State::Done(_)) {
                    self.resolve_conflict(found);
                }
            }
            State::Done(_) => {}
        }
    }
}
