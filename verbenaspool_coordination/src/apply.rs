//! Applying a file: entirely or not at all, and the operator told which.
//!
//! The machine reads the head, uploads the pieces that the head's file doesn't
//! have, and swaps the head by compare-and-swap. Only the swap makes anything
//! count: whatever fails before it leaves unreferenced pieces at worst.
//!
//! A swap whose answer is lost may have taken effect, or may do so yet. It is
//! sent again under the same condition, which lets it take effect at most once,
//! until the store gives an answer; then the head tells by the apply's id.

use std::{collections::VecDeque, rc::Rc};

use verbenaspool_state::{name::Name, version::Version};

use crate::{
    head::Head,
    keys,
    piece::{Hash, Pieces, Split},
    store::{Answer, Call, Machine, Step, When},
};

/// One apply of one file.
#[derive(Debug)]
pub struct Apply {
    /// What the operator asked for.
    request: Request,
    /// The new pieces, and the old nodes read to find out what differs.
    pieces: Pieces,
    /// The head that the new one is to replace.
    base: Option<StoredHead>,
    /// How far the apply has come.
    state: State,
    /// Whether the last call has to be made again after a pause.
    retry: bool,
    /// Whether a swap was sent whose fate isn't known.
    unconfirmed_swap: bool,
    /// The last trouble met, to be reported if the apply is given up.
    last_error: String,
}

/// What the operator asked for.
#[derive(Debug, Clone)]
pub struct Request {
    /// The firm.
    pub firm: Name,
    /// The apply's id, unique; a later apply under the same id settles this one.
    pub id: String,
    /// The version that the operator expects to replace, if one was named.
    pub expected_version: Option<Version>,
    /// The file in pieces.
    pub split: Split,
}

/// The head that the new one is to replace.
#[derive(Debug, Clone)]
struct StoredHead {
    /// The version of the head's object.
    object_version: u64,
    /// The head.
    head: Head,
}

/// How far an apply has come.
#[derive(Debug)]
enum State {
    /// The head is to be read.
    ReadHead,
    /// A node of the head's file is to be read.
    ReadNode(Hash),
    /// Pieces are to be written; once none is left, the head is to be swapped.
    Upload(VecDeque<(Hash, Rc<[u8]>)>),
    /// The swap met another head, which is to be read.
    ResolveConflict,
    /// The outcome stands.
    Done(Outcome),
}

/// What became of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The file is accepted.
    Accepted {
        /// The version that it got.
        version: Version,
        /// The version of the head's object, where this apply's head still stands.
        object_version: Option<u64>,
    },
    /// The file is what is accepted already; nothing was changed.
    Unchanged(Version),
    /// Another apply came first, or the expected version isn't there. Nothing of
    /// this file is in force.
    Conflict {
        /// The version that this apply was made for.
        expected: Version,
        /// The version that stands.
        current: Version,
    },
    /// The file wasn't accepted and never will be under this apply.
    Failed(String),
    /// The swap was sent and its fate couldn't be learnt: an apply under the
    /// same id finds out.
    Unknown(String),
}

impl Apply {
    /// An apply that has made no call yet.
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
            state: State::ReadHead,
            retry: false,
            unconfirmed_swap: false,
            last_error: String::new(),
        }
    }

    /// What to tell the operator if the apply is given up now.
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

    /// The version that this apply replaces.
    fn base_version(&self) -> Version {
        let head = self.base.as_ref().map(|base| base.head.version);
        head.unwrap_or_default()
    }

    /// The head to be put in place.
    fn head(&self) -> Head {
        let Request { id, split, .. } = &self.request;
        match &self.base {
            Some(base) => base.head.next(id, split.root),
            None => Head::first(id, split.root),
        }
    }

    /// The call of the present state.
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

    /// The call that makes the file count.
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

    /// Takes the head in, at the start.
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
            if base.head.root == self.request.split.root && self.may_replace(current) {
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

    /// Whether the operator is content to replace `current`.
    fn may_replace(&self, current: Version) -> bool {
        self.request
            .expected_version
            .is_none_or(|expected| expected == current)
    }

    /// Reads on in the head's file, or goes on to write what it doesn't have.
    ///
    /// Only nodes that differ have to be read: the new file's pieces stand in for
    /// all that are the same. Every piece outside the head's file is written even
    /// if it already stands in the store, because it may be about to be collected;
    /// writing it gives it a new version, which the collection's condition minds.
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

    /// Takes a node of the head's file in.
    fn handle_node(&mut self, hash: Hash, answer: Answer) {
        match answer {
            Answer::Found { value, .. } => match self.pieces.insert(hash, &value) {
                Ok(()) => self.read_or_upload(),
                Err(e) => self.finish(Outcome::Failed(e.to_string())),
            },
            // The head was replaced and its pieces were collected meanwhile.
            _ => self.state = State::ReadHead,
        }
    }

    /// Takes in what stands in place of the head that was to be replaced.
    fn resolve_conflict(&mut self, found: Option<StoredHead>) {
        let Some(base) = found else {
            return self.finish(Outcome::Failed("the head is gone".to_owned()));
        };
        let current = base.head.version;
        let outcome = match base.head.version_of(&self.request.id) {
            Some(version) => Outcome::Accepted {
                version,
                object_version: (version == current).then_some(base.object_version),
            },
            // The head remembers only so many applies. Beyond them a swap whose
            // answer was lost can't be told from one that never took effect.
            None if self.unconfirmed_swap && !base.head.remembers(self.base_version().next()) => {
                Outcome::Unknown("too many versions were accepted since".to_owned())
            }
            None => Outcome::Conflict {
                expected: self.base_version(),
                current,
            },
        };
        self.finish(outcome);
    }

    /// Ends the apply.
    fn finish(&mut self, outcome: Outcome) {
        self.state = State::Done(outcome);
    }

    /// Reads the answer to a read of the head.
    fn parse_head(&mut self, answer: Answer) -> Option<StoredHead> {
        let Answer::Found { version, value } = answer else {
            return None;
        };
        let head = Head::from_bytes(&value);
        if head.is_none() {
            self.finish(Outcome::Failed("the stored head is garbled".to_owned()));
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
