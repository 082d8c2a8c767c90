//! Claims on idempotency keys: at most one of the attempts under a key may run.
//!
//! A claim is an object that names the attempt, created by create-if-absent before the
//! request is sent. If the answer to that write is lost, reading the claim back shows
//! whose it is. While the store is unreachable no claim is made and the request isn't
//! sent: a write that didn't run can be repeated, but one that ran twice can't be
//! undone.
//!
//! A claim whose attempt was never sent, because its entry died or lost the answer,
//! would block its key forever. So the claim also names the agent that the attempt is
//! meant for. Whoever finds the claim asks that agent; if it never admitted the
//! attempt, it records a tombstone, after which the attempt can't run. Only then is the
//! claim replaced, conditional on the version that was read. Each further attempt of
//! the same request also replaces the claim first, so that the claim always names the
//! only attempt that may be in flight.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    piece::Hash,
    store::{Answer, Call, Machine, Step, When},
};

/// Content of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The attempt that may run: incarnation and attempt counter of its entry.
    pub attempt: String,
    /// The agent that may run the attempt, and that settles it.
    pub agent: Agent,
    /// Hash of the request, which detects that the key is reused for another request.
    pub request: Hash,
}

/// The agent process that an attempt is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Address of the agent's control API.
    pub control: SocketAddr,
    /// Number of the agent process.
    pub process: u64,
}

/// An attempt to claim a key.
#[derive(Debug)]
pub struct Claim {
    /// Key of the claim in the store.
    key: String,
    /// Content to write.
    record: Record,
    /// Condition of the write.
    when: When,
    /// Current state.
    state: State,
    /// Whether the last call must be repeated after a delay.
    retry: bool,
    /// Whether a write was sent whose outcome is unknown.
    unconfirmed_write: bool,
}

/// State of a claim.
#[derive(Debug)]
enum State {
    /// Writes the claim.
    Write,
    /// Reads the existing claim.
    Read,
    /// Finished.
    Done(Outcome),
}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt may run. If it is confirmed not to have run, the claim can be
    /// released under this version.
    Acquired {
        /// Version of the claim's object.
        version: u64,
    },
    /// Another attempt holds the key.
    Taken {
        /// Content of the existing claim.
        record: Record,
        /// Version of the existing claim's object.
        version: u64,
    },
    /// The key couldn't be claimed; the request must not be sent.
    Failed {
        /// Last error.
        reason: String,
        /// Whether the claim may have been written nevertheless, and block the key.
        may_be_stored: bool,
    },
}

impl Claim {
    /// Creates a claim on `key`, which [`crate::keys::claim`] computes.
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

    /// Creates a claim that replaces the one at `version`, whose attempt is confirmed
    /// never to run.
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

    /// Returns the outcome if the claim is abandoned now, at the request's deadline.
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
                reason: "timed out waiting for the platform".to_owned(),
                may_be_stored: self.unconfirmed_write,
            },
        }
    }

    /// Returns the call that releases a claim whose attempt is confirmed not to have
    /// run, so that the caller may repeat the request under the same key.
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

    /// Compares the stored claim with this one.
    fn compare(&mut self, version: u64, value: &[u8]) {
        let outcome = match serde_json::from_slice::<Record>(value) {
            Ok(record) if record == self.record => Outcome::Acquired { version },
            Ok(record) => Outcome::Taken { record, version },
            Err(_) => Outcome::Failed {
                reason: "the stored claim is corrupt".to_owned(),
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
                // Every field of a record can be represented in JSON.
                value: serde_json::to_vec(&self.record).expect("a claim serializes to JSON"),
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
            // The claim was released in the meantime.
            (State::Read, _) => {
                self.when = When::Absent;
                self.state = State::Write;
            }
            (State::Done(_), _) => {}
        }
    }
}
