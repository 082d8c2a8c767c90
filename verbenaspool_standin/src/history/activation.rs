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
    Rejected {
        /// What the file says.
        content: String,
    },
    /// A file came in force at an instance.
    Activated {
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
pub enum Violation {
    /// Two applies were accepted as the same version.
    #[error("two files were accepted as version {0}")]
    DuplicateVersion(u64),
    /// A file that its operator was told isn't accepted came in force.
    #[error("'{0}' was refused and came in force")]
    Rejected(String),
    /// Something else came in force than was accepted as that version.
    #[error("version {version} is in force as '{found}' at {instance}")]
    WrongContent {
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
/// use verbenaspool_standin::history::activation::{Event, check};
///
/// let at = Duration::from_millis(10);
/// let content = String::from("first");
/// let accepted = Event::Accepted { at, version: 1, content };
/// let late = check(&[accepted], &["entry-1"], Duration::from_secs(9));
/// assert!(late.is_err());
/// ```
pub fn check(events: &[Event], instances: &[&str], max_delay: Duration) -> Result<(), Violation> {
    let mut accepted: BTreeMap<u64, (Duration, &str)> = BTreeMap::new();
    for event in events {
        if let Event::Accepted {
            at,
            version,
            content,
        } = event
        {
            let previous = accepted.insert(*version, (*at, content));
            if previous.is_some_and(|(_, other)| other != content) {
                return Err(Violation::DuplicateVersion(*version));
            }
        }
    }
    for event in events {
        match event {
            Event::Rejected { content } => check_rejected(events, content)?,
            Event::Activated {
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
                    return Err(Violation::WrongContent {
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
            if !activated_by(events, instance, version, at + max_delay) {
                return Err(Violation::Late {
                    instance: (*instance).to_owned(),
                    version,
                });
            }
        }
    }
    Ok(())
}

/// A refused file mustn't be in force anywhere.
fn check_rejected(events: &[Event], rejected: &str) -> Result<(), Violation> {
    let found = events
        .iter()
        .any(|event| matches!(event, Event::Activated { content, .. } if content == rejected));
    if found {
        return Err(Violation::Rejected(rejected.to_owned()));
    }
    Ok(())
}

/// Whether an instance had `version` or a later one in force by `end`.
fn activated_by(
    events: &[Event],
    instance_name: &str,
    min_version: u64,
    deadline: Duration,
) -> bool {
    events.iter().any(|event| {
        matches!(event, Event::Activated { at, instance, version, .. }
            if instance == instance_name && *version >= min_version && *at <= deadline)
    })
}
