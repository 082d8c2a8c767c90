//! Checks that the outcomes reported to callers are true.

use std::collections::HashSet;

use verbenaspool_protocol::outcome::Outcome;

/// The final outcome of a request, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Identifies the request within the history.
    pub request: String,
    /// The outcome.
    pub outcome: Outcome,
}

/// Checks the reported outcomes against the requests that upstreams had started by the end of the
/// run, when no request is in flight; returns how many requests were reported as not run.
///
/// ```
/// use verbenaspool_protocol::outcome::Outcome;
/// use verbenaspool_standin::history::outcomes::{Entry, Violation, check};
///
/// let reported = [Entry { request: "net-7".to_owned(), outcome: Outcome::NotRun }];
/// assert_eq!(check(&reported, ["net-8"]), Ok(1));
/// let violation = Violation::Ran("net-7".to_owned());
/// assert_eq!(check(&reported, ["net-7"]), Err(violation));
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

/// A caller got a false outcome.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A request ran that was reported as not run.
    #[error("request {0} ran, but was reported as not run")]
    Ran(String),
    /// A request was reported as run that no upstream started.
    #[error("request {0} was reported as run, but no upstream started it")]
    NotRun(String),
}
