//! When a lead has heard enough from all ranks.

use super::{Lead, Phase};

impl Lead {
    /// Whether all ranks have joined, each engine that has lost everything
    /// before the others last said where they stand.
    ///
    /// Such an engine has to join at the step where the others wait for it.
    /// What they said before it was lost may be many steps old: the engine
    /// would start at a step that the others have left behind, and the group
    /// would stand for good. So they are asked once more.
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

    /// Asks all ranks anew where they stand, under the same fence.
    fn restart_collection(&mut self) {
        self.phase = Phase::Collecting;
        self.round += 1;
        for rank in &mut self.ranks {
            rank.joined = false;
            rank.last_sent = None;
        }
    }
}
