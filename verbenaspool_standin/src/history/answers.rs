//! The check that each caller got the whole answer to its own request.

use std::collections::HashMap;

use verbenaspool_protocol::outcome::Outcome;

/// What one caller asked for and got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Names the request within the history.
    pub request: u64,
    /// The answer that the request has.
    pub expected: String,
    /// The outcome that the caller was told.
    pub outcome: Outcome,
    /// What arrived, up to where it ended or broke off.
    pub received: String,
    /// Whether it ended as a whole answer does.
    pub ended: bool,
}

/// Judges what callers got; returns how many got a whole answer.
///
/// An answer that visibly broke off is no violation, as its caller knows.
/// One that ended must be the caller's own and whole, whatever it was told.
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

/// A caller got what it must not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// An answer that isn't the request's own.
    #[error("request {request} got another's answer, that of {owner:?}")]
    Foreign {
        /// The request.
        request: u64,
        /// Whose answer it is, where that can be told.
        owner: Option<u64>,
    },
    /// A part of an answer that ended like a whole one.
    #[error("request {request} got {length} bytes of its answer as if that were all")]
    Truncated {
        /// The request.
        request: u64,
        /// How many bytes arrived.
        length: usize,
    },
}
