//! Checks that each caller got the complete answer to its own request.

use std::collections::HashMap;

use verbenaspool_protocol::outcome::Outcome;

/// The answer expected and received by one caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Identifies the request within the history.
    pub request: u64,
    /// The correct answer to the request.
    pub expected: String,
    /// The outcome reported to the caller.
    pub outcome: Outcome,
    /// The text received until the answer ended or broke off.
    pub received: String,
    /// Whether the answer ended like a complete one.
    pub ended: bool,
}

/// Checks the answers that callers received; returns how many are complete.
///
/// Only answers with the outcome `Ran` are checked. What was received must be the beginning of the
/// caller's own answer, and all of it if the answer ended. An answer that visibly broke off is no
/// violation, since its caller knows.
///
/// ```
/// use verbenaspool_protocol::outcome::Outcome;
/// use verbenaspool_standin::history::answers::{Entry, check};
///
/// let entry = Entry {
///     request: 1,
///     expected: "splice".to_owned(),
///     outcome: Outcome::Ran,
///     received: "splice".to_owned(),
///     ended: true,
/// };
/// assert_eq!(check(&[entry]), Ok(1));
/// ```
///
/// # Errors
/// The first violation.
pub fn check(entries: &[Entry]) -> Result<usize, Violation> {
    let owners: HashMap<&str, u64> = entries
        .iter()
        .map(|entry| (entry.expected.as_str(), entry.request))
        .collect();
    let mut complete = 0;
    for entry in entries {
        if entry.outcome != Outcome::Ran {
            continue;
        }
        let is_own = entry.expected.starts_with(&entry.received);
        if !is_own {
            return Err(Violation::Foreign {
                request: entry.request,
                owner: owners.get(entry.received.as_str()).copied(),
            });
        }
        if !entry.ended {
            continue;
        }
        if entry.received.len() < entry.expected.len() {
            return Err(Violation::Truncated {
                request: entry.request,
                length: entry.received.len(),
            });
        }
        complete += 1;
    }
    Ok(complete)
}

/// A caller received a wrong answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// The answer isn't a beginning of the request's own.
    #[error("request {request} got an answer that isn't its own (that of request {owner:?})")]
    Foreign {
        /// The request.
        request: u64,
        /// The request whose complete answer it is, if any.
        owner: Option<u64>,
    },
    /// A truncated answer ended like a complete one.
    #[error(
        "request {request} got only {length} bytes of its answer, which ended like a complete one"
    )]
    Truncated {
        /// The request.
        request: u64,
        /// The number of bytes received.
        length: usize,
    },
}
