//! Decides when a lead has collected the state of all ranks.

use super::{Lead, Phase};

impl Lead {
    /// Returns whether all ranks have joined. If an engine has newly lost its state,
    /// starts another collection round and returns `false`.
    ///
    /// Such an engine has to start at the step where the others wait for it. What
    /// they reported before it lost its state may be many steps old: the engine
    /// would start at a step that the others have already run, and the group would
    /// stop for good.
    pub(super) fn try_assemble(&mut self) -> bool {
        if !self.ranks.iter().all(|rank| rank.joined) {
            return false;
        }
        let others_have_run = self.done() > 0;
        let base = self.base_step();
        let mut newly_reset = false;
        for rank in self.ranks.iter_mut().filter(|rank| rank.done == 0) {
            if others_have_run && rank.reset_start != Some(rank.start) {
                rank.reset_start = Some(rank.start);
                newly_reset = true;
            }
            if rank.resume_after == 0 {
                rank.resume_after = base;
            }
        }
        if newly_reset {
            self.restart_collection();
        }
        !newly_reset
    }

    /// Starts another collection round under the same fence.
    fn restart_collection(&mut self) {
        self.phase = Phase::Collecting;
        self.round += 1;
        for rank in &mut self.ranks {
            rank.joined = false;
            rank.last_sent = None;
        }
    }
}
