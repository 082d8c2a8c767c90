//! The check that the outcomes told to callers are true.

use std::collections::HashSet;

use verbenaspool_protocol::outcome::Outcome;

/// What a caller was told in the end about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Names the request within the history.
    pub request: String,
    /// The outcome.
    pub outcome: Outcome,
}

/// Judges what callers were told against what upstreams had begun by the end
/// of the run, when nothing is on its way any more; returns how many requests
/// were told "not run".
///
/// ```
/// use verbenaspool_protocol::outcome::Outcome;
/// use verbenaspool_standin::history::outcomes::{Entry, Violation, check};
///
/// let reported = [Entry { request: "net-7".to_owned(), outcome: Outcome::NotRun }];
/// assert_eq!(check(&reported, ["net-8"]), Ok(1));
/// let lie = Violation::Ran("net-7".to_owned());
/// assert_eq!(check(&reported, ["net-7"]), Err(lie));
/// ```
///
/// # Errors
/// The first violation.
pub fn check<'a>(
    reported: &[Entry],
    started: impl IntoIterator<Item = &'a str>,
) -> Result<usize, Violation> {
    let started: HashSet<&str> = started.into_iter().collect();
    let mut not_run = 0;
    for entry in reported {
        let has_run = started.contains(entry.request.as_str());
        match entry.outcome {
            Outcome::NotRun if has_run => return Err(Violation::Ran(entry.request.clone())),
            Outcome::NotRun => not_run += 1,
            Outcome::Ran if !has_run => return Err(Violation::NotRun(entry.request.clone())),
            Outcome::Ran | Outcome::Unknown => {}
        }
    }
    Ok(not_run)
}

/// A caller was told what isn't true.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A request ran that was said not to.
    #[error("the request {0} ran, and its caller was told that it did not")]
    Ran(String),
    /// A request was said to have run that no upstream began.
    #[error("the request {0} was begun by no upstream, and its caller was told that it ran")]
    NotRun(String),
}
