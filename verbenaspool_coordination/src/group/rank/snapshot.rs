//! What a rank's agent makes of where its engine stands.

use std::time::Duration;

use super::{
    super::{
        engine::{Action, Snapshot},
        message::ReportBody,
        schedule::Schedule,
    },
    Output, Phase, Rank,
};

impl Rank {
    /// Takes in where the engine stands.
    pub(super) fn read(&mut self, now: Duration, snapshot: Snapshot) -> Vec<Output> {
        match self.phase {
            // An engine read too early might still get an order of the
            // previous agent, which would then be in nobody's books.
            Phase::Learning => Vec::new(),
            // What was read before the wait ended may be out of date.
            Phase::Reading if snapshot.ticket != self.ticket => Vec::new(),
            Phase::Reading => {
                self.phase = Phase::Ready;
                self.restart(snapshot);
                self.greet()
            }
            Phase::Ready if self.engine != Some(snapshot.incarnation) => {
                self.engine_restarts += 1;
                self.restart(snapshot);
                self.greet()
            }
            Phase::Ready => {
                let mut outputs = self.advance(now, &snapshot);
                outputs.extend(self.settle(&snapshot));
                outputs
            }
        }
    }

    /// Answers the round of asking that waits for this reading.
    fn settle(&mut self, snapshot: &Snapshot) -> Vec<Output> {
        let refuses = snapshot.fence.is_some_and(|fence| fence >= self.fence);
        let seen = snapshot.ticket == self.ticket && (refuses || !self.settings.checked);
        let Some(round) = self.owed.take_if(|_| seen) else {
            return Vec::new();
        };
        self.joined = true;
        vec![self.join(round)]
    }

    /// Takes over all that the engine says.
    fn restart(&mut self, snapshot: Snapshot) {
        self.engine = Some(snapshot.incarnation);
        self.joined = false;
        if let Some(fence) = snapshot.fence.filter(|&fence| fence > self.fence) {
            // The engine saw a promise that this agent's forerunner made.
            self.fence = fence;
            self.lead = None;
        }
        self.done = snapshot.done;
        self.told = snapshot.done;
        self.running = snapshot.running;
        self.schedule = Schedule::default();
        // An engine's own list has no holes; one that had would be cut there.
        let _ = self.schedule.merge(&snapshot.spans);
        self.handed = self.top();
        self.ordered = self.top();
        self.loaded = snapshot.loaded.into_iter().collect();
        let maps = snapshot.maps.into_iter().map(|map| (map.epoch, map));
        self.maps.extend(maps);
    }

    /// Tells the lead that holds the fence, where known, that the rank is here.
    fn greet(&mut self) -> Vec<Output> {
        if self.lead.is_none() {
            return Vec::new();
        }
        self.promise(0)
    }

    /// Takes in how far the engine has come since.
    fn advance(&mut self, now: Duration, snapshot: &Snapshot) -> Vec<Output> {
        if snapshot.done < self.done {
            // A report that was overtaken by a later one.
            return Vec::new();
        }
        if snapshot.done == 0 {
            let same = snapshot.spans == self.schedule.after(0);
            self.handed = if same { self.top() } else { 0 };
            return Vec::new();
        }
        let mut outputs = self.compare(snapshot);
        if snapshot.done > self.done {
            self.done = snapshot.done;
            self.running = snapshot.running;
            self.schedule.trim(self.done);
        }
        let listed = snapshot.spans.last().map_or(0, |span| span.to);
        self.handed = listed.max(self.done);
        outputs.extend(self.retire());
        // Ranks run in lock-step, so the lead hears from its own how far all
        // are; a hundred others would tell it the same over the network.
        let beside = self.lead == Some(self.settings.seat);
        if beside && self.done >= self.told + self.settings.stride {
            outputs.extend(self.progress());
        }
        if now >= self.asked + self.settings.resend {
            self.asked = now;
            outputs.extend(self.hand());
        }
        outputs
    }

    /// Looks for steps that the engine has from someone else.
    ///
    /// An engine that ignores fences may be reached by an agent that was paused
    /// and replaced. Nothing can prevent that, so it is found here, reported,
    /// and taken back where the step hasn't run.
    fn compare(&self, snapshot: &Snapshot) -> Vec<Output> {
        let granted = |step| self.schedule.epoch(step);
        let mut odd = None;
        if let Some(epoch) = snapshot.running {
            let step = snapshot.done;
            if step > self.done && granted(step) != Some(epoch) {
                odd = Some((step, epoch, true));
            }
        }
        let spans = snapshot.spans.iter();
        let edges = spans.flat_map(|span| [(span.from, span.epoch), (span.to, span.epoch)]);
        let mut strange = edges.filter(|&(step, epoch)| granted(step) != Some(epoch));
        let odd = odd.or_else(|| strange.next().map(|(step, epoch)| (step, epoch, false)));
        let Some((step, epoch, ran)) = odd else {
            return Vec::new();
        };
        let mut outputs = self.tell(ReportBody::Diverged { step, epoch, ran });
        let spans = self.schedule.after(snapshot.done);
        outputs.push(self.engine(Action::Replace { spans }));
        outputs
    }

    /// Has the engine forget the maps that every rank has left behind: to have
    /// run a step of a later map takes that all ranks have started it.
    fn retire(&mut self) -> Vec<Output> {
        let Some(running) = self.running else {
            return Vec::new();
        };
        let old: Vec<u64> = self.loaded.range(..running).copied().collect();
        let mut outputs = Vec::new();
        for epoch in old {
            self.loaded.remove(&epoch);
            self.maps.remove(&epoch);
            outputs.push(self.engine(Action::Drop { epoch }));
        }
        outputs
    }
}
