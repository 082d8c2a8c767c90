//! Tokens per expert, as engines report them: late, with gaps, sometimes wrong.

use serde::{Deserialize, Serialize};
use verbenaspool_state::expert_map::Shape;

/// The most tokens a step that a sample may claim for one expert. No engine
/// batches as many; a larger number is an error or an overflow on the way.
const MOST: u64 = 1 << 32;

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
    pub fn check(&self, shape: Shape, epoch: u64, seen: u64) -> Result<(), Ignored> {
        let experts = usize::from(shape.experts);
        let fits = self.layers.iter().all(|layer| layer.len() == experts);
        if !fits || self.layers.len() != usize::from(shape.layers) {
            return Err(Ignored::Shape);
        }
        if self.epoch < epoch {
            let sample = self.epoch;
            return Err(Ignored::Stale { sample, epoch });
        }
        if self.step <= seen {
            let step = self.step;
            return Err(Ignored::Late { step, seen });
        }
        let most = MOST * u64::from(self.steps);
        let mut counts = self.layers.iter().flatten();
        if let Some(&count) = counts.find(|&&count| count > most) {
            return Err(Ignored::Huge { count });
        }
        let empty = |layer: &Vec<u64>| layer.iter().all(|&count| count == 0);
        if self.steps == 0 || self.layers.iter().any(empty) {
            return Err(Ignored::Empty);
        }
        Ok(())
    }
}

/// Why a sample is ignored. The group goes on with its map.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Ignored {
    /// It counts other layers or experts than the group has.
    #[error("the sample counts other layers or experts than the group has")]
    Shape,
    /// It was taken on an older map.
    #[error("the sample was taken on epoch {sample}, the group runs on {epoch}")]
    Stale {
        /// The sample's epoch.
        sample: u64,
        /// The epoch in force.
        epoch: u64,
    },
    /// A later one was used already.
    #[error("the sample ends at step {step}, one up to {seen} was used already")]
    Late {
        /// The sample's last step.
        step: u64,
        /// The last step used.
        seen: u64,
    },
    /// A count is beyond what any engine does.
    #[error("{count} tokens for one expert can't be")]
    Huge {
        /// The count.
        count: u64,
    },
    /// It covers no step, or a layer without a token.
    #[error("the sample holds no tokens")]
    Empty,
}
