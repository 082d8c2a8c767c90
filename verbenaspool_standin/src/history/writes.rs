//! Checks that no write ran twice.

use std::collections::{HashMap, HashSet};

/// Checks the writes that ran, as all instances of a service recorded them, against those that
/// callers requested; returns how many ran.
///
/// A write is identified by its caller's key, which a retry carries too.
///
/// ```
/// use verbenaspool_standin::history::writes::{Violation, check};
///
/// assert_eq!(check(["net-7", "net-8"], ["net-7"]), Ok(1));
/// let twice = Violation::Twice("net-7".to_owned());
/// assert_eq!(check(["net-7"], ["net-7", "net-7"]), Err(twice));
/// ```
///
/// # Errors
/// The first violation.
pub fn check<'a>(
    requested: impl IntoIterator<Item = &'a str>,
    ran: impl IntoIterator<Item = &'a str>,
) -> Result<usize, Violation> {
    let requested: HashSet<&str> = requested.into_iter().collect();
    let mut seen = HashSet::new();
    for key in ran {
        if !requested.contains(key) {
            return Err(Violation::Unrequested(key.to_owned()));
        }
        if !seen.insert(key) {
            return Err(Violation::Twice(key.to_owned()));
        }
    }
    Ok(seen.len())
}

/// Counts the runs beyond the first of each write.
///
/// ```
/// use verbenaspool_standin::history::writes::duplicates;
///
/// assert_eq!(duplicates(["net-7", "net-7", "net-7", "net-8"]), 2);
/// ```
#[must_use]
pub fn duplicates<'a>(ran: impl IntoIterator<Item = &'a str>) -> usize {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for key in ran {
        *runs.entry(key).or_default() += 1;
    }
    runs.values().map(|runs| runs - 1).sum()
}

/// A write ran that must not run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A write ran more than once.
    #[error("write {0} ran twice")]
    Twice(String),
    /// A write ran that no caller requested.
    #[error("write {0} ran, but no caller requested it")]
    Unrequested(String),
}
