//! A service's settings for the trade-off between evenly loaded ranks and the cost of moving
//! experts.

use serde::{Deserialize, Serialize};

/// Maximum weight. The effect of the other weight would be negligible beyond it.
const MAX_WEIGHT: f64 = 1_000.0;

/// Maximum fraction of a step's time that may be lost to a move: all of it.
const MAX_DELAY_FRACTION: f64 = 1.0;

/// A service's settings for the rebalancer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rebalancing {
    /// Weight of the skew of rank loads.
    pub skew: f64,
    /// Weight of the work that is lost or delayed while experts move.
    pub cost: f64,
    /// Maximum number of experts moved by one map change, over all layers and ranks.
    pub most_moves: u32,
    /// Maximum rate in bytes per second at which a rank loads experts while it serves requests.
    pub bytes_a_second: u64,
    /// Minimum time between two map changes, in seconds.
    pub pause_s: u64,
    /// Maximum slowdown of the group by loading, as a fraction of a step's time, 0 to 1. Zero
    /// prevents all moves that would delay requests.
    pub most_delay: f64,
}

impl Default for Rebalancing {
    /// Equal weights. A map change moves at most 2048 experts, and there is at most one every
    /// 10 s. A rank loads 256 MiB per second, a small fraction of the bandwidth of an
    /// accelerator's host link, and loading may take 5% of a step.
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
    /// Finds all settings with invalid values.
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
        let mut check = |key, valid: bool, reason| {
            if !valid {
                problems.push(Problem { key, reason });
            }
        };
        let weight = |weight: f64| (0.0..=MAX_WEIGHT).contains(&weight);
        check("skew", weight(self.skew), Reason::Weight(self.skew));
        check("cost", weight(self.cost), Reason::Weight(self.cost));
        check("bytes_a_second", self.bytes_a_second > 0, Reason::Zero);
        check("pause_s", self.pause_s > 0, Reason::Zero);
        let in_range = (0.0..=MAX_DELAY_FRACTION).contains(&self.most_delay);
        check("most_delay", in_range, Reason::Fraction(self.most_delay));
        problems
    }
}

/// A setting with an invalid value.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct Problem {
    /// The setting's key in the file.
    pub key: &'static str,
    /// Why the value is invalid.
    pub reason: Reason,
}

/// Why a setting's value is invalid.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Reason {
    /// A weight is out of range or not a number.
    #[error("must be from 0 to {MAX_WEIGHT}, not {0}")]
    Weight(f64),
    /// The value must be positive.
    #[error("must be above 0")]
    Zero,
    /// A fraction is out of range or not a number.
    #[error("must be from 0 to {MAX_DELAY_FRACTION}, not {0}")]
    Fraction(f64),
}
