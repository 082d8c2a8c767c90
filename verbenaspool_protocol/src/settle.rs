//! Settling an attempt whose answer was lost: the entry asks the agent whether it was
//! executed.

use serde::{Deserialize, Serialize};

use verbenaspool_coordination::attempt::Status;

use crate::attempt;

/// The JSON-RPC method.
pub const METHOD: &str = "attempt_settle";

/// Asks whether an attempt was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The attempt.
    pub attempt: attempt::Id,
    /// The agent process to which it was sent.
    pub agent: u64,
}

/// The agent's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// It did not run and never will: the agent rejects it if it still arrives.
    Refused,
    /// It is in progress.
    Running,
    /// It is finished.
    Ended,
    /// It may have run: it was interrupted, its record was dropped, or it was sent to another
    /// agent process.
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
