//! The versions in force at many instances, in a bounded number of bytes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenaspool_state::{name::Name, version::Version};

/// Instances behind_below in a summary: those furthest behind. Each takes 60 bytes of
/// every heartbeat on the way up the tree.
const MAX_BEHIND: usize = 8;

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
    pub behind: Vec<LaggingInstance>,
}

/// An instance that is behind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LaggingInstance {
    /// The version in force there, 0 for none.
    pub version: Version,
    /// The instance.
    pub name: Name,
}

/// What the first of a subtree of the tree said of it.
#[derive(Debug, Clone, Copy)]
pub struct SubtreeSummary<'a> {
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
    /// assert_eq!(Summary::of_instance(Version(7)).instances, 1);
    /// ```
    #[must_use]
    pub fn of_instance(version: Version) -> Self {
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
    /// use verbenaspool_coordination::membership::{SubtreeSummary, Summary};
    /// use verbenaspool_state::version::Version;
    ///
    /// let (one, two) = ("entry-1".parse().unwrap(), "entry-2".parse().unwrap());
    /// let below = Summary::of_instance(Version(6));
    /// let age = Duration::from_millis(300);
    /// let subtree = SubtreeSummary { name: &two, summary: &below, age };
    /// let summary = Summary::aggregate(&one, Version(7), &[subtree]);
    /// assert_eq!((summary.lowest, summary.behind.len()), (Version(6), 1));
    /// ```
    #[must_use]
    pub fn aggregate(name: &Name, version: Version, subtrees: &[SubtreeSummary<'_>]) -> Self {
        let mut summary = Self::of_instance(version);
        for subtree in subtrees {
            let SubtreeSummary {
                summary: other,
                age,
                ..
            } = subtree;
            summary.instances += other.instances;
            summary.highest = summary.highest.max(other.highest);
            summary.lowest = summary.lowest.min(other.lowest);
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            summary.age_ms = summary.age_ms.max(other.age_ms.saturating_add(age_ms));
        }
        // A subtree that is behind as a whole names only its first itself.
        let own = [(name, version)].into_iter();
        let roots = subtrees
            .iter()
            .map(|subtree| (subtree.name, subtree.summary.highest));
        for (name, version) in own.chain(roots) {
            if version < summary.highest {
                let name = name.clone();
                summary.behind.push(LaggingInstance { version, name });
            }
        }
        let behind_below = subtrees.iter().flat_map(|subtree| &subtree.summary.behind);
        summary.behind.extend(behind_below.cloned());
        summary.behind.sort();
        summary.behind.dedup_by(|a, b| a.name == b.name);
        summary.behind.truncate(MAX_BEHIND);
        summary
    }
}
