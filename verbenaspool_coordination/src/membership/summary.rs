//! The versions in force at many instances, in a bounded number of bytes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenaspool_state::{name::Name, version::Version};

/// Instances named in a summary: those furthest behind. Each takes 60 bytes of
/// every heartbeat on the way up the tree.
const NAMED: usize = 8;

/// The versions in force at an instance and those below it in the tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// How many instances it speaks of.
    pub instances: u32,
    /// The highest version in force at any of them.
    pub highest: Version,
    /// The lowest version in force at any of them, 0 for none.
    pub lowest: Version,
    /// How old the oldest word in it is, in milliseconds.
    pub age_ms: u64,
    /// Instances below the highest version, those furthest behind first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub behind: Vec<Seen>,
}

/// An instance that is behind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seen {
    /// The version in force there, 0 for none.
    pub version: Version,
    /// The instance.
    pub name: Name,
}

/// What the first of a part of the tree said of it.
#[derive(Debug, Clone, Copy)]
pub struct Part<'a> {
    /// Who said it.
    pub name: &'a Name,
    /// What it said.
    pub summary: &'a Summary,
    /// How long ago.
    pub age: Duration,
}

impl Summary {
    /// What one instance says of itself.
    ///
    /// ```
    /// use verbenaspool_coordination::membership::Summary;
    /// use verbenaspool_state::version::Version;
    ///
    /// assert_eq!(Summary::of(Version(7)).instances, 1);
    /// ```
    #[must_use]
    pub fn of(version: Version) -> Self {
        Self {
            instances: 1,
            highest: version,
            lowest: version,
            age_ms: 0,
            behind: Vec::new(),
        }
    }

    /// What an instance at `version` says of itself and the parts below it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use verbenaspool_coordination::membership::{Part, Summary};
    /// use verbenaspool_state::version::Version;
    ///
    /// let (one, two) = ("entry-1".parse().unwrap(), "entry-2".parse().unwrap());
    /// let below = Summary::of(Version(6));
    /// let age = Duration::from_millis(300);
    /// let part = Part { name: &two, summary: &below, age };
    /// let summary = Summary::gather(&one, Version(7), &[part]);
    /// assert_eq!((summary.lowest, summary.behind.len()), (Version(6), 1));
    /// ```
    #[must_use]
    pub fn gather(name: &Name, version: Version, below: &[Part<'_>]) -> Self {
        let mut summary = Self::of(version);
        for part in below {
            let Part {
                summary: other,
                age,
                ..
            } = part;
            summary.instances += other.instances;
            summary.highest = summary.highest.max(other.highest);
            summary.lowest = summary.lowest.min(other.lowest);
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            summary.age_ms = summary.age_ms.max(other.age_ms.saturating_add(age_ms));
        }
        // A part that is behind as a whole names only its first itself.
        let own = [(name, version)].into_iter();
        let firsts = below.iter().map(|part| (part.name, part.summary.highest));
        for (name, version) in own.chain(firsts) {
            if version < summary.highest {
                let name = name.clone();
                summary.behind.push(Seen { version, name });
            }
        }
        let named = below.iter().flat_map(|part| &part.summary.behind);
        summary.behind.extend(named.cloned());
        summary.behind.sort();
        summary.behind.dedup_by(|a, b| a.name == b.name);
        summary.behind.truncate(NAMED);
        summary
    }
}
