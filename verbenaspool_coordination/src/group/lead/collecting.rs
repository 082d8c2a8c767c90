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
    pub(super) fn assemble(&mut self) -> bool {
        if !self.attendance.iter().all(|seat| seat.joined) {
            return false;
        }
        let stands = self.done() > 0;
        let base = self.base();
        let mut anew = false;
        for seat in self.attendance.iter_mut().filter(|seat| seat.done == 0) {
            if stands && seat.lost != Some(seat.start) {
                seat.lost = Some(seat.start);
                anew = true;
            }
            if seat.place == 0 {
                seat.place = base;
            }
        }
        if anew {
            self.recollect();
        }
        !anew
    }

    /// Asks all ranks anew where they stand, under the same fence.
    fn recollect(&mut self) {
        self.phase = Phase::Collecting;
        self.round += 1;
        for seat in &mut self.attendance {
            seat.joined = false;
            seat.sent = None;
        }
    }
}
