//! Settling an attempt whose answer was lost: the entry asks the agent what
//! became of it.

use serde::{Deserialize, Serialize};

use verbenaspool_coordination::attempt::Status;

use crate::attempt;

/// The JSON-RPC method.
pub const METHOD: &str = "attempt_settle";

/// The question: what became of this attempt?
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Question {
    /// The attempt.
    pub attempt: attempt::Id,
    /// The agent process it was sent to.
    pub agent: u64,
}

/// The agent's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// It was not admitted and, by a tombstone left now, never will be.
    Refused,
    /// It is running.
    Running,
    /// It ran to its end.
    Ended,
    /// Another agent process took it or did not; this one can't tell.
    Unknown,
}

impl From<Status> for Answer {
    fn from(status: Status) -> Self {
        match status {
            Status::Rejected => Self::Refused,
            Status::Running => Self::Running,
            Status::Ended => Self::Ended,
            Status::Unknown => Self::Unknown,
        }
    }
}
