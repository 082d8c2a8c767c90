//! Checks that the active configuration never reverts to an older version.
//!
//! Callers of a zone see instances, not processes: an instance whose successor starts with an older
//! version has reverted, just like one that returns to an older version while it runs. So the
//! successor, which has the same name, must not activate a version below that of its predecessor.
//! The versions of instances with different names are not compared.

use std::collections::BTreeMap;

/// An instance activated a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The availability zone.
    pub zone: String,
    /// The name of the instance, which a successor takes over.
    pub instance: String,
    /// The version.
    pub version: u64,
    /// The content of the file, to detect different files with the same version.
    pub content: String,
}

/// An instance activated a wrong file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// An instance or its successor reverted to an older version.
    #[error("{instance} of {zone} reverted from version {before} to {after}")]
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
    /// Two different files were active as the same version.
    #[error("two files were active as version {version}")]
    Forked {
        /// The version.
        version: u64,
    },
}

/// Checks the events of one firm, in the order of the run.
///
/// # Errors
/// The first violation.
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
