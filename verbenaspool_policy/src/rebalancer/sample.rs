//! Tokens per expert, as engines report them: late, with gaps, sometimes wrong.

use serde::{Deserialize, Serialize};
use verbenaspool_state::expert_map::Shape;

/// The most tokens a step that a sample may claim for one expert. No engine
/// batches as many; a larger number is an error or an overflow on the way.
const MAX_TOKENS_PER_STEP: u64 = 1 << 32;

/// What a group's engines counted over some steps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The epoch of the map that the steps ran on.
    pub epoch: u64,
    /// The last of the steps.
    pub step: u64,
    /// How many steps there were.
    pub steps: u32,
    /// The part of the time for which the ranks' host links were not needed by
    /// steps, 0 to 1. Loading within it delays nobody.
    pub spare: f64,
    /// The tokens that each expert of each layer got.
    pub layers: Vec<Vec<u64>>,
}

impl Sample {
    /// Whether the sample can be used by a group of this layout that runs on
    /// this epoch and has used samples up to this step.
    ///
    /// # Errors
    ///
    /// Why it is ignored.
    pub fn check(&self, shape: Shape, epoch: u64, last_step: u64) -> Result<(), SampleError> {
        let experts = usize::from(shape.experts);
        let layers_fit = self.layers.iter().all(|layer| layer.len() == experts);
        if !layers_fit || self.layers.len() != usize::from(shape.layers) {
            return Err(SampleError::ShapeMismatch);
        }
        if self.epoch < epoch {
            let sample = self.epoch;
            return Err(SampleError::StaleEpoch { sample, epoch });
        }
        if self.step <= last_step {
            let step = self.step;
            return Err(SampleError::StaleStep { step, last_step });
        }
        let max_count = MAX_TOKENS_PER_STEP * u64::from(self.steps);
        let mut counts = self.layers.iter().flatten();
        if let Some(&count) = counts.find(|&&count| count > max_count) {
            return Err(SampleError::ImplausibleCount { count });
        }
        let is_empty = |layer: &Vec<u64>| layer.iter().all(|&count| count == 0);
        if self.steps == 0 || self.layers.iter().any(is_empty) {
            return Err(SampleError::NoTokens);
        }
        Ok(())
    }
}

/// Why a sample is ignored. The group goes on with its map.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SampleError {
    /// It counts other layers or experts than the group has.
    #[error("the sample counts other layers or experts than the group has")]
    ShapeMismatch,
    /// It was taken on an older map.
    #[error("the sample was taken on epoch {sample}, the group runs on {epoch}")]
    StaleEpoch {
        /// The sample's epoch.
        sample: u64,
        /// The epoch in force.
        epoch: u64,
    },
    /// A later one was used already.
    #[error("the sample ends at step {step}, one up to {last_step} was used already")]
    StaleStep {
        /// The sample's last step.
        step: u64,
        /// The last step used.
        last_step: u64,
    },
    /// A count is beyond what any engine does.
    #[error("{count} tokens for one expert can't be")]
    ImplausibleCount {
        /// The count.
        count: u64,
    },
    /// It covers no step, or a layer without a token.
    #[error("the sample holds no tokens")]
    NoTokens,
}
