//! Checks that accepted files become active on all instances in time, and that no other files do.

use std::{collections::BTreeMap, time::Duration};

/// An event of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An apply was reported to its operator as accepted.
    Accepted {
        /// When it was reported.
        at: Duration,
        /// The accepted version.
        version: u64,
        /// The content of the file.
        content: String,
    },
    /// An apply was reported to its operator as not accepted.
    Rejected {
        /// The content of the file.
        content: String,
    },
    /// A file became active on an instance.
    Activated {
        /// When it became active.
        at: Duration,
        /// The instance.
        instance: String,
        /// The version.
        version: u64,
        /// The content of the file.
        content: String,
    },
}

/// A file became active that must not, or didn't in time.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Two different files were accepted as the same version.
    #[error("two files were accepted as version {0}")]
    DuplicateVersion(u64),
    /// A file became active that was reported as not accepted.
    #[error("'{0}' was rejected, but became active")]
    Rejected(String),
    /// Another file became active than was accepted as its version.
    #[error("version {version} is active on {instance} with the wrong content '{found}'")]
    WrongContent {
        /// The instance.
        instance: String,
        /// The version.
        version: u64,
        /// The content that is active there.
        found: String,
    },
    /// Neither an accepted version nor a later one became active on an instance in time.
    #[error("version {version} was not active on {instance} in time")]
    Late {
        /// The instance.
        instance: String,
        /// The version.
        version: u64,
    },
}

/// Checks the events of one firm: each accepted version, or a later one, must be active on each of
/// `instances` within `max_delay`.
///
/// # Errors
/// The first violation.
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
                // A version that wasn't reported may come from an apply whose operator gave up. It
                // must be the same file everywhere, which the `reverts` checker verifies.
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

/// Checks that a rejected file is not active anywhere.
fn check_rejected(events: &[Event], rejected: &str) -> Result<(), Violation> {
    let found = events
        .iter()
        .any(|event| matches!(event, Event::Activated { content, .. } if content == rejected));
    if found {
        return Err(Violation::Rejected(rejected.to_owned()));
    }
    Ok(())
}

/// Returns whether `min_version` or a later one became active on an instance by `deadline`.
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
