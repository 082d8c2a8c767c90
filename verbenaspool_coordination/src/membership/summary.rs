//! Summary of the active versions at many instances, of bounded size.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenaspool_state::{name::Name, version::Version};

/// Maximum number of lagging instances listed in a summary, those furthest behind. Each
/// takes 60 bytes of every heartbeat on the way up the tree.
const MAX_BEHIND: usize = 8;

/// Summary of the active versions at an instance and those below it in the tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// Number of instances in the summary.
    pub instances: u32,
    /// The highest active version at any of them.
    pub highest: Version,
    /// The lowest active version at any of them, 0 for none.
    pub lowest: Version,
    /// Age of the oldest information in the summary, in milliseconds.
    pub age_ms: u64,
    /// Instances with less than the highest version, those furthest behind first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub behind: Vec<LaggingInstance>,
}

/// An instance whose active version is below the highest.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LaggingInstance {
    /// Its active version, 0 for none.
    pub version: Version,
    /// The instance.
    pub name: Name,
}

/// Summary of a subtree, as received from its root.
#[derive(Debug, Clone, Copy)]
pub struct SubtreeSummary<'a> {
    /// The root of the subtree.
    pub name: &'a Name,
    /// The summary that it sent.
    pub summary: &'a Summary,
    /// Time since the summary was received.
    pub age: Duration,
}

impl Summary {
    /// The summary of a single instance.
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

    /// Combines the version of an instance with the summaries of the subtrees below it.
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
        // A subtree lists only instances behind its own highest version. If it lags as a
        // whole, at least its root is listed here.
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
