//! Checks that a configuration never goes back.
//!
//! Callers of a zone see the instances that are there, not processes: an
//! instance that is replaced and comes back with an older version has reverted
//! just as one that steps back while it runs. So an instance's successor is held
//! to what its predecessor had in force, and no instance may come in force with
//! a version below what the whole zone had reached before.

use std::collections::BTreeMap;

/// What an instance had in force, in the order of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The availability zone.
    pub zone: String,
    /// The instance's name, which a successor takes over.
    pub instance: String,
    /// The version.
    pub version: u64,
    /// What the version says, so that two files under one version are told.
    pub content: String,
}

/// What a history breaks.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// An instance, or its successor, went back.
    #[error("{instance} of {zone} went from version {before} back to {after}")]
    Reverted {
        /// The availability zone.
        zone: String,
        /// The instance.
        instance: String,
        /// The version before.
        before: u64,
        /// The version after.
        after: u64,
    },
    /// Two files were in force under one version.
    #[error("version {version} was in force as two files")]
    Forked {
        /// The version.
        version: u64,
    },
}

/// Checks the events of one firm.
///
/// # Errors
/// The first fault found.
///
/// ```
/// use verbenaspool_standin::history::reverts::{Event, check};
///
/// let event = |version| Event {
///     zone: "bowen".into(),
///     instance: "entry-1".into(),
///     version,
///     content: format!("file {version}"),
/// };
/// assert_eq!(check(&[event(1), event(2)]), Ok(()));
/// assert!(check(&[event(2), event(1)]).is_err());
/// ```
pub fn check(events: &[Event]) -> Result<(), Violation> {
    let mut instances: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut contents: BTreeMap<u64, &str> = BTreeMap::new();
    for event in events {
        let key = (event.zone.as_str(), event.instance.as_str());
        let before = instances.insert(key, event.version).unwrap_or_default();
        if event.version < before {
            return Err(Violation::Reverted {
                zone: event.zone.clone(),
                instance: event.instance.clone(),
                before,
                after: event.version,
            });
        }
        let content = contents.entry(event.version).or_insert(&event.content);
        if *content != event.content {
            let version = event.version;
            return Err(Violation::Forked { version });
        }
    }
    Ok(())
}
