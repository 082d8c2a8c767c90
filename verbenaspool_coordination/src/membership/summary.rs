//! The versions in force at many instances, in a bounded number of bytes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenaspool_state::{name::Name, version::Version};

/// Instances named in a summary. A zone of today's size is named whole; of a
/// large one the instances that are furthest behind are.
const NAMED: usize = 8;

/// The versions in force at an instance and those below it in the tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// How many instances it speaks of.
    pub instances: u32,
    /// The highest version in force at any of them.
    pub highest: Version,
    /// The instances with the lowest versions, the lowest first.
    pub lowest: Vec<Seen>,
}

/// What one instance has in force.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seen {
    /// The version in force, 0 for none.
    pub version: Version,
    /// The instance.
    pub name: Name,
    /// How old the word is, in milliseconds.
    pub age_ms: u64,
}

impl Summary {
    /// What one instance says of itself.
    ///
    /// ```
    /// use verbenaspool_coordination::membership::Summary;
    /// use verbenaspool_state::version::Version;
    ///
    /// let summary = Summary::of(&"entry-1".parse().unwrap(), Version(7));
    /// assert_eq!(summary.instances, 1);
    /// ```
    #[must_use]
    pub fn of(name: &Name, version: Version) -> Self {
        Self {
            instances: 1,
            highest: version,
            lowest: vec![Seen {
                version,
                name: name.clone(),
                age_ms: 0,
            }],
        }
    }

    /// Adds another summary that was heard `age` ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use verbenaspool_coordination::membership::Summary;
    /// use verbenaspool_state::version::Version;
    ///
    /// let mut summary = Summary::of(&"entry-1".parse().unwrap(), Version(7));
    /// let other = Summary::of(&"entry-2".parse().unwrap(), Version(6));
    /// summary.add(&other, Duration::from_millis(300));
    /// assert_eq!(summary.lowest[0].version, Version(6));
    /// ```
    pub fn add(&mut self, other: &Self, age: Duration) {
        self.instances += other.instances;
        self.highest = self.highest.max(other.highest);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let older = other.lowest.iter().map(|seen| Seen {
            age_ms: seen.age_ms.saturating_add(age_ms),
            ..seen.clone()
        });
        self.lowest.extend(older);
        self.lowest.sort();
        self.lowest.truncate(NAMED);
    }
}
