//! Token counts per expert as reported by engines. They may arrive late, with
//! gaps or with wrong values.

use serde::{Deserialize, Serialize};
use verbenaspool_state::expert_map::Shape;

/// Largest plausible number of tokens per step for one expert. No engine
/// batches as many; a larger count is an error or an overflow on the way.
const MAX_TOKENS_PER_STEP: u64 = 1 << 32;

/// Tokens per expert that a group's engines counted over a number of steps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The epoch of the expert map that the steps ran on.
    pub epoch: u64,
    /// The last step that the sample covers.
    pub step: u64,
    /// The number of steps that the sample covers.
    pub steps: u32,
    /// The fraction of time, 0 to 1, in which steps left the ranks' host links
    /// idle. Loading weights within it delays no step.
    pub spare: f64,
    /// Token counts by layer and expert.
    pub layers: Vec<Vec<u64>>,
}

impl Sample {
    /// Checks that the sample fits a group of this shape that runs on `epoch`
    /// and has already used samples up to `last_step`.
    ///
    /// # Errors
    ///
    /// The reason for which the sample has to be ignored.
    pub fn check(&self, shape: Shape, epoch: u64, last_step: u64) -> Result<(), Error> {
        let experts = usize::from(shape.experts);
        let layers_fit = self.layers.iter().all(|layer| layer.len() == experts);
        if !layers_fit || self.layers.len() != usize::from(shape.layers) {
            return Err(Error::ShapeMismatch);
        }
        if self.epoch < epoch {
            let sample = self.epoch;
            return Err(Error::StaleEpoch { sample, epoch });
        }
        if self.step <= last_step {
            let step = self.step;
            return Err(Error::StaleStep { step, last_step });
        }
        let max_count = MAX_TOKENS_PER_STEP * u64::from(self.steps);
        let mut counts = self.layers.iter().flatten();
        if let Some(&count) = counts.find(|&&count| count > max_count) {
            return Err(Error::ImplausibleCount { count });
        }
        let is_empty = |layer: &Vec<u64>| layer.iter().all(|&count| count == 0);
        if self.steps == 0 || self.layers.iter().any(is_empty) {
            return Err(Error::NoTokens);
        }
        Ok(())
    }
}

/// Why a sample is ignored. The group keeps its map.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The sample's layers or experts don't match the group's shape.
    #[error("sample has other layers or experts than the group")]
    ShapeMismatch,
    /// The sample was taken on an older map.
    #[error("sample was taken on epoch {sample}, but the group runs on epoch {epoch}")]
    StaleEpoch {
        /// The sample's epoch.
        sample: u64,
        /// The group's current epoch.
        epoch: u64,
    },
    /// A sample that ends at the same step or later has been used already.
    #[error("sample ends at step {step}, but samples up to step {last_step} have been used")]
    StaleStep {
        /// The sample's last step.
        step: u64,
        /// The last step of the samples used so far.
        last_step: u64,
    },
    /// A count exceeds what any engine processes.
    #[error("implausible count of {count} tokens for one expert")]
    ImplausibleCount {
        /// The count.
        count: u64,
    },
    /// The sample covers no step, or a layer has no tokens.
    #[error("sample covers no step, or a layer without tokens")]
    NoTokens,
}
