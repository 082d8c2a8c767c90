//! Claims on idempotency keys: of all attempts under one key, one may run.
//!
//! The claim is an object made by create-if-absent before the call is sent, and
//! it names the attempt. If the answer to that write is lost, reading the claim
//! back tells whose it is. While the store can't be reached no claim is made
//! and the call isn't sent: a write that didn't run can be repeated, one that
//! ran twice can't be undone.
//!
//! A claim whose attempt was never sent, because its entry died or lost the
//! answer, would keep its key for ever. So the claim also names the agent that
//! the attempt is meant for. Whoever finds it asks that agent; one that never
//! admitted the attempt leaves a tombstone, and from then on the attempt can't
//! run. Only then is the claim replaced, under the version that was read. Each
//! further attempt of the same request replaces the claim first as well, so
//! that the claim always names the one attempt that may be on its way.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    piece::Hash,
    store::{Answer, Call, Machine, Step, When},
};

/// What a claim says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The attempt that may run: its entry's incarnation and counter.
    pub attempt: String,
    /// Where it may run, and where it can be settled.
    pub agent: Agent,
    /// The hash of the request, by which a key used for another one is told.
    pub request: Hash,
}

/// The agent process that an attempt is meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Where the agent takes control calls.
    pub control: SocketAddr,
    /// The number of its process.
    pub process: u64,
}

/// One try to claim a key.
#[derive(Debug)]
pub struct Claim {
    /// The claim's key in the store.
    key: String,
    /// What the claim is to say.
    record: Record,
    /// What must stand there for the claim to be written.
    when: When,
    /// How far the claim has come.
    state: State,
    /// Whether the last call has to be made again after a pause.
    retry: bool,
    /// Whether a write was sent whose fate isn't known.
    unconfirmed_write: bool,
}

/// How far a claim has come.
#[derive(Debug)]
enum State {
    /// The claim is to be written.
    Write,
    /// Some claim stands, which is to be read.
    Read,
    /// The outcome stands.
    Done(Outcome),
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt may run. The claim can be released under this version if the
    /// attempt is confirmed as not run.
    Acquired {
        /// The version of the claim's object.
        version: u64,
    },
    /// Another attempt holds the key.
    Taken {
        /// What its claim says.
        record: Record,
        /// The version of the claim's object.
        version: u64,
    },
    /// No claim could be made; the call mustn't be sent.
    Failed {
        /// The last trouble met.
        reason: String,
        /// Whether the claim may stand all the same, and keep the key.
        may_be_stored: bool,
    },
}

impl Claim {
    /// A claim on `key`, as made by [`crate::keys::claim`].
    ///
    /// ```
    /// use verbenaspool_coordination::{
    ///     claim::{Agent, Claim, Record}, piece::Hash, store::{Machine, Step},
    /// };
    ///
    /// let agent = Agent { control: ([127, 0, 0, 1], 7102).into(), process: 9 };
    /// let record = Record { attempt: "3.17".into(), agent, request: Hash::of(b"POST /bookings") };
    /// let claim = Claim::new("firms/quetzal/claims/1f".into(), record);
    /// assert!(matches!(claim.step(), Step::Call(_)));
    /// ```
    #[must_use]
    pub fn new(key: String, record: Record) -> Self {
        Self {
            key,
            record,
            when: When::Absent,
            state: State::Write,
            retry: false,
            unconfirmed_write: false,
        }
    }

    /// A claim that replaces the one at `version`, whose attempt is confirmed
    /// as never to run.
    ///
    /// ```
    /// use verbenaspool_coordination::{
    ///     claim::{Agent, Claim, Record}, piece::Hash, store::{Call, Machine, Step, When},
    /// };
    ///
    /// let agent = Agent { control: ([127, 0, 0, 1], 7102).into(), process: 9 };
    /// let record = Record { attempt: "3.18".into(), agent, request: Hash::of(b"POST /bookings") };
    /// let claim = Claim::replace("firms/quetzal/claims/1f".into(), 7, record);
    /// assert!(matches!(claim.step(), Step::Call(Call::Put { when: When::Version(7), .. })));
    /// ```
    #[must_use]
    pub fn replace(key: String, version: u64, record: Record) -> Self {
        Self {
            when: When::Version(version),
            ..Self::new(key, record)
        }
    }

    /// The outcome if the claim is given up now, at the call's deadline.
    ///
    /// ```
    /// # use verbenaspool_coordination::{claim::{Agent, Claim, Outcome, Record}, piece::Hash};
    /// let agent = Agent { control: ([127, 0, 0, 1], 7102).into(), process: 9 };
    /// let record = Record { attempt: "3.17".into(), agent, request: Hash::of(b"POST /bookings") };
    /// let claim = Claim::new("firms/quetzal/claims/1f".into(), record);
    /// assert!(matches!(claim.abandon(), Outcome::Failed { may_be_stored: false, .. }));
    /// ```
    #[must_use]
    pub fn abandon(&self) -> Outcome {
        match &self.state {
            State::Done(outcome) => outcome.clone(),
            _ => Outcome::Failed {
                reason: "the platform gave no answer in time".to_owned(),
                may_be_stored: self.unconfirmed_write,
            },
        }
    }

    /// The call that releases a claim whose attempt is confirmed as not run, so
    /// that the caller may repeat it under the same key.
    ///
    /// ```
    /// use verbenaspool_coordination::{claim, store::{Call, When}};
    ///
    /// let call = claim::Claim::release("firms/quetzal/claims/1f", 9);
    /// assert!(matches!(call, Call::Delete { when: When::Version(9), .. }));
    /// ```
    #[must_use]
    pub fn release(key: &str, version: u64) -> Call {
        Call::Delete {
            key: key.to_owned(),
            when: When::Version(version),
        }
    }

    /// Takes in the claim that stands.
    fn compare(&mut self, version: u64, value: &[u8]) {
        let outcome = match serde_json::from_slice::<Record>(value) {
            Ok(record) if record == self.record => Outcome::Acquired { version },
            Ok(record) => Outcome::Taken { record, version },
            Err(_) => Outcome::Failed {
                reason: "the stored claim is garbled".to_owned(),
                may_be_stored: false,
            },
        };
        self.state = State::Done(outcome);
    }
}

impl Machine for Claim {
    type Outcome = Outcome;

    fn step(&self) -> Step<Outcome> {
        let call = match &self.state {
            State::Write => Call::Put {
                key: self.key.clone(),
                // A record holds nothing that JSON can't say.
                value: serde_json::to_vec(&self.record).expect("a claim is written as JSON"),
                when: self.when,
            },
            State::Read => Call::Get {
                key: self.key.clone(),
            },
            State::Done(outcome) => return Step::Done(outcome.clone()),
        };
        if self.retry {
            Step::Retry(call)
        } else {
            Step::Call(call)
        }
    }

    fn answer(&mut self, answer: Answer) {
        self.retry = false;
        match (&self.state, answer) {
            (_, Answer::Failed(_)) => self.retry = true,
            (state, Answer::Lost(_)) => {
                self.unconfirmed_write |= matches!(state, State::Write);
                self.retry = true;
            }
            (_, Answer::Rejected(reason)) => {
                let may_be_stored = self.unconfirmed_write;
                self.state = State::Done(Outcome::Failed {
                    reason,
                    may_be_stored,
                });
            }
            (State::Write, Answer::Changed(version)) => {
                self.state = State::Done(Outcome::Acquired { version });
            }
            (State::Write, _) => self.state = State::Read,
            (State::Read, Answer::Found { version, value }) => self.compare(version, &value),
            // Its holder released it in between.
            (State::Read, _) => {
                self.when = When::Absent;
                self.state = State::Write;
            }
            (State::Done(_), _) => {}
        }
    }
}
