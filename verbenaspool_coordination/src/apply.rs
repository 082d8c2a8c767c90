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
    order: Order,
    /// The new pieces, and the old nodes read to find out what differs.
    pieces: Pieces,
    /// The head that the new one is to replace.
    base: Option<Base>,
    /// How far the apply has come.
    state: State,
    /// Whether the last call has to be made again after a pause.
    again: bool,
    /// Whether a swap was sent whose fate isn't known.
    open: bool,
    /// The last trouble met, to be reported if the apply is given up.
    trouble: String,
}

/// What the operator asked for.
#[derive(Debug, Clone)]
pub struct Order {
    /// The firm.
    pub firm: Name,
    /// The apply's id, unique; a later apply under the same id settles this one.
    pub id: String,
    /// The version that the operator expects to replace, if one was named.
    pub expect: Option<Version>,
    /// The file in pieces.
    pub split: Split,
}

/// The head that the new one is to replace.
#[derive(Debug, Clone)]
struct Base {
    /// The version of the head's object.
    object: u64,
    /// The head.
    head: Head,
}

/// How far an apply has come.
#[derive(Debug)]
enum State {
    /// The head is to be read.
    Start,
    /// A node of the head's file is to be read.
    Walk(Hash),
    /// Pieces are to be written; once none is left, the head is to be swapped.
    Upload(VecDeque<(Hash, Rc<[u8]>)>),
    /// The swap met another head, which is to be read.
    Settle,
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
        object: Option<u64>,
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
    /// use verbenaspool_coordination::{apply::{Apply, Order}, piece, store::{Call, Machine, Step}};
    /// use verbenaspool_state::file::File;
    ///
    /// let firm: verbenaspool_state::name::Name = "quetzal".parse().unwrap();
    /// let file = File { firm: firm.clone(), places: vec![], services: vec![], customers: vec![] };
    /// let split = piece::split(&file).unwrap();
    /// let apply = Apply::new(Order { firm, id: "apply-1".into(), expect: None, split });
    /// assert_eq!(apply.step(), Step::Call(Call::Get { key: "firms/quetzal/head".into() }));
    /// ```
    #[must_use]
    pub fn new(order: Order) -> Self {
        let mut pieces = Pieces::default();
        pieces.extend(&order.split);
        Self {
            order,
            pieces,
            base: None,
            state: State::Start,
            again: false,
            open: false,
            trouble: String::new(),
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
            _ if self.open => Outcome::Unknown(self.trouble.clone()),
            _ => Outcome::Failed(self.trouble.clone()),
        }
    }

    /// The version that this apply replaces.
    fn replaced(&self) -> Version {
        let head = self.base.as_ref().map(|base| base.head.version);
        head.unwrap_or_default()
    }

    /// The head to be put in place.
    fn head(&self) -> Head {
        let Order { id, split, .. } = &self.order;
        match &self.base {
            Some(base) => base.head.next(id, split.root),
            None => Head::first(id, split.root),
        }
    }

    /// The call of the present state.
    fn call(&self) -> Result<Call, Outcome> {
        let firm = &self.order.firm;
        Ok(match &self.state {
            State::Start | State::Settle => Call::Get {
                key: keys::head(firm),
            },
            State::Walk(hash) => Call::Get {
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
            .map_or(When::Absent, |base| When::Version(base.object));
        Call::Put {
            key: keys::head(&self.order.firm),
            value: self.head().write(),
            when,
        }
    }

    /// Takes the head in, at the start.
    fn start(&mut self, found: Option<Base>) {
        if let Some(base) = &found {
            let current = base.head.version;
            if let Some(version) = base.head.accepted(&self.order.id) {
                let object = (version == current).then_some(base.object);
                return self.finish(Outcome::Accepted { version, object });
            }
            if base.head.root == self.order.split.root && self.expected(current) {
                return self.finish(Outcome::Unchanged(current));
            }
        }
        self.base = found;
        let current = self.replaced();
        if !self.expected(current) {
            let expected = self.order.expect.unwrap_or_default();
            return self.finish(Outcome::Conflict { expected, current });
        }
        self.walk();
    }

    /// Whether the operator is content to replace `current`.
    fn expected(&self, current: Version) -> bool {
        self.order.expect.is_none_or(|expect| expect == current)
    }

    /// Reads on in the head's file, or goes on to write what it doesn't have.
    ///
    /// Only nodes that differ have to be read: the new file's pieces stand in for
    /// all that are the same. Every piece outside the head's file is written even
    /// if it already stands in the store, because it may be about to be collected;
    /// writing it gives it a new version, which the collection's condition minds.
    fn walk(&mut self) {
        let Some(base) = &self.base else {
            let all = self.order.split.pieces.clone();
            self.state = State::Upload(all.into_iter().collect());
            return;
        };
        let root = base.head.root;
        match (self.pieces.unread(root), self.pieces.referenced(root)) {
            (Ok(Some(hash)), _) => self.state = State::Walk(hash),
            (Ok(None), Ok(known)) => {
                let pieces = self.order.split.pieces.iter();
                let fresh = pieces.filter(|(hash, _)| !known.contains(hash));
                self.state = State::Upload(fresh.map(|(h, b)| (*h, Rc::clone(b))).collect());
            }
            (Err(e), _) | (_, Err(e)) => self.finish(Outcome::Failed(e.to_string())),
        }
    }

    /// Takes a node of the head's file in.
    fn node(&mut self, hash: Hash, answer: Answer) {
        match answer {
            Answer::Found { value, .. } => match self.pieces.insert(hash, &value) {
                Ok(()) => self.walk(),
                Err(e) => self.finish(Outcome::Failed(e.to_string())),
            },
            // The head was replaced and its pieces were collected meanwhile.
            _ => self.state = State::Start,
        }
    }

    /// Takes in what stands in place of the head that was to be replaced.
    fn settle(&mut self, found: Option<Base>) {
        let Some(base) = found else {
            return self.finish(Outcome::Failed("the head is gone".to_owned()));
        };
        let current = base.head.version;
        let outcome = match base.head.accepted(&self.order.id) {
            Some(version) => Outcome::Accepted {
                version,
                object: (version == current).then_some(base.object),
            },
            // The head remembers only so many applies. Beyond them a swap whose
            // answer was lost can't be told from one that never took effect.
            None if self.open && !base.head.reaches(self.replaced().next()) => {
                Outcome::Unknown("too many versions were accepted since".to_owned())
            }
            None => Outcome::Conflict {
                expected: self.replaced(),
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
    fn read(&mut self, answer: Answer) -> Option<Base> {
        let Answer::Found { version, value } = answer else {
            return None;
        };
        let head = Head::read(&value);
        if head.is_none() {
            self.finish(Outcome::Failed("the stored head is garbled".to_owned()));
        }
        head.map(|head| Base {
            object: version,
            head,
        })
    }
}

impl Machine for Apply {
    type Outcome = Outcome;

    fn step(&self) -> Step<Outcome> {
        match self.call() {
            Ok(call) if self.again => Step::Retry(call),
            Ok(call) => Step::Call(call),
            Err(outcome) => Step::Done(outcome),
        }
    }

    fn answer(&mut self, answer: Answer) {
        let swap = matches!(&self.state, State::Upload(queue) if queue.is_empty());
        self.again = false;
        match answer {
            Answer::Failed(why) => {
                self.trouble = why;
                self.again = true;
                return;
            }
            Answer::Lost(why) => {
                self.trouble = why;
                self.again = true;
                self.open |= swap;
                return;
            }
            Answer::Refused(why) => return self.finish(Outcome::Failed(why)),
            _ => {}
        }
        match &mut self.state {
            State::Start => {
                let found = self.read(answer);
                if !matches!(self.state, State::Done(_)) {
                    self.start(found);
                }
            }
            State::Walk(hash) => {
                let hash = *hash;
                self.node(hash, answer);
            }
            State::Upload(queue) if !queue.is_empty() => {
                queue.pop_front();
            }
            State::Upload(_) => match answer {
                Answer::Changed(object) => {
                    let version = self.head().version;
                    let object = Some(object);
                    self.finish(Outcome::Accepted { version, object });
                }
                _ => self.state = State::Settle,
            },
            State::Settle => {
                let found = self.read(answer);
                if !matches!(self.state, State::Done(_)) {
                    self.settle(found);
                }
            }
            State::Done(_) => {}
        }
    }
}
