//! Checks that what is accepted comes in force everywhere in time, and that
//! nothing else does.

use std::{collections::BTreeMap, time::Duration};

/// Something that happened in a run, with its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An operator was told that an apply is accepted.
    Accepted {
        /// When the operator was told.
        at: Duration,
        /// The version that it got.
        version: u64,
        /// What the file says.
        content: String,
    },
    /// An operator was told that an apply isn't accepted.
    Refused {
        /// What the file says.
        content: String,
    },
    /// A file came in force at an instance.
    InForce {
        /// When.
        at: Duration,
        /// The instance.
        instance: String,
        /// The version.
        version: u64,
        /// What the file says.
        content: String,
    },
}

/// What a history breaks.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Two applies were accepted as the same version.
    #[error("two files were accepted as version {0}")]
    Twice(u64),
    /// A file that its operator was told isn't accepted came in force.
    #[error("'{0}' was refused and came in force")]
    Refused(String),
    /// Something else came in force than was accepted as that version.
    #[error("version {version} is in force as '{found}' at {instance}")]
    Other {
        /// The instance.
        instance: String,
        /// The version.
        version: u64,
        /// What is in force there.
        found: String,
    },
    /// An instance had neither an accepted version nor a later one in time.
    #[error("version {version} was not in force at {instance} in time")]
    Late {
        /// The instance.
        instance: String,
        /// The version.
        version: u64,
    },
}

/// Checks the events of one firm: each accepted version, or a later one, has to
/// be in force at each of `instances` within `bound`.
///
/// # Errors
/// The first fault found.
///
/// ```
/// use std::time::Duration;
/// use verbenaspool_standin::history::in_force::{Event, check};
///
/// let at = Duration::from_millis(10);
/// let content = String::from("first");
/// let accepted = Event::Accepted { at, version: 1, content };
/// let late = check(&[accepted], &["entry-1"], Duration::from_secs(9));
/// assert!(late.is_err());
/// ```
pub fn check(events: &[Event], instances: &[&str], bound: Duration) -> Result<(), Fault> {
    let mut accepted: BTreeMap<u64, (Duration, &str)> = BTreeMap::new();
    for event in events {
        if let Event::Accepted {
            at,
            version,
            content,
        } = event
        {
            let before = accepted.insert(*version, (*at, content));
            if before.is_some_and(|(_, other)| other != content) {
                return Err(Fault::Twice(*version));
            }
        }
    }
    for event in events {
        match event {
            Event::Refused { content } => refused(events, content)?,
            Event::InForce {
                instance,
                version,
                content,
                ..
            } => {
                // A version nobody was told about may be an apply whose operator
                // gave up; it must be the same file everywhere, which the check
                // for reverts sees to.
                let file = accepted.get(version).map(|(_, file)| *file);
                if file.is_some_and(|file| file != content) {
                    return Err(Fault::Other {
                        instance: instance.clone(),
                        version: *version,
                        found: content.clone(),
                    });
                }
            }
            Event::Accepted { .. } => {}
        }
    }
    for (version, (at, _)) in accepted {
        for instance in instances {
            if !reached(events, instance, version, at + bound) {
                return Err(Fault::Late {
                    instance: (*instance).to_owned(),
                    version,
                });
            }
        }
    }
    Ok(())
}

/// A refused file mustn't be in force anywhere.
fn refused(events: &[Event], refused: &str) -> Result<(), Fault> {
    let found = events
        .iter()
        .any(|event| matches!(event, Event::InForce { content, .. } if content == refused));
    if found {
        return Err(Fault::Refused(refused.to_owned()));
    }
    Ok(())
}

/// Whether an instance had `version` or a later one in force by `end`.
fn reached(events: &[Event], wanted: &str, least: u64, end: Duration) -> bool {
    events.iter().any(|event| {
        matches!(event, Event::InForce { at, instance, version, .. }
            if instance == wanted && *version >= least && *at <= end)
    })
}
