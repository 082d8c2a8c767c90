//! How a service weighs even ranks against the cost of moving experts.

use serde::{Deserialize, Serialize};

/// The largest weight; beyond it the other weight no longer counts.
const HEAVIEST: f64 = 1_000.0;

/// The largest share of a step's time that may be lost to a move.
const WHOLE: f64 = 1.0;

/// The rebalancer's settings for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rebalancing {
    /// The weight of step-time skew.
    pub skew: f64,
    /// The weight of the work lost or delayed while experts move.
    pub cost: f64,
    /// The most experts that one change of map may move, over all layers and ranks.
    pub most_moves: u32,
    /// The most bytes a second that a rank may load while it serves.
    pub bytes_a_second: u64,
    /// The least time between two changes of map, in seconds.
    pub pause_s: u64,
    /// The largest part of a step's time by which loading may slow the group,
    /// 0 to 1. Zero forbids any move that would delay a request.
    pub most_delay: f64,
}

impl Default for Rebalancing {
    /// Even weights. A change moves at most 2048 experts, no oftener than each
    /// 10 s, and a rank loads 256 MB a second, a small part of what an
    /// accelerator's host link carries; loading may take 5% of a step.
    fn default() -> Self {
        Self {
            skew: 1.0,
            cost: 1.0,
            most_moves: 2_048,
            bytes_a_second: 256 << 20,
            pause_s: 10,
            most_delay: 0.05,
        }
    }
}

impl Rebalancing {
    /// Every setting that can't be put in force.
    ///
    /// ```
    /// use verbenaspool_state::rebalancing::Rebalancing;
    ///
    /// assert_eq!(Rebalancing::default().check(), []);
    /// let settings = Rebalancing { skew: f64::NAN, pause_s: 0, ..Rebalancing::default() };
    /// let keys: Vec<_> = settings.check().iter().map(|problem| problem.key).collect();
    /// assert_eq!(keys, ["skew", "pause_s"]);
    /// ```
    #[must_use]
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut check = |key, held: bool, reason| {
            if !held {
                problems.push(Problem { key, reason });
            }
        };
        let weight = |weight: f64| (0.0..=HEAVIEST).contains(&weight);
        check("skew", weight(self.skew), Reason::Weight(self.skew));
        check("cost", weight(self.cost), Reason::Weight(self.cost));
        check("bytes_a_second", self.bytes_a_second > 0, Reason::Zero);
        check("pause_s", self.pause_s > 0, Reason::Zero);
        let part = (0.0..=WHOLE).contains(&self.most_delay);
        check("most_delay", part, Reason::Part(self.most_delay));
        problems
    }
}

/// A setting that can't be put in force.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct Problem {
    /// The setting's key in the file.
    pub key: &'static str,
    /// What is wrong with its value.
    pub reason: Reason,
}

/// What is wrong with a value.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Reason {
    /// A weight is out of range or no number.
    #[error("{0} is no weight between 0 and {HEAVIEST}")]
    Weight(f64),
    /// The value has to be above zero.
    #[error("has to be above 0")]
    Zero,
    /// A part is out of range or no number.
    #[error("{0} is no part between 0 and {WHOLE}")]
    Part(f64),
}
