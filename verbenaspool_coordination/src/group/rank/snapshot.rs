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
    pub(super) fn handle_snapshot(&mut self, now: Duration, snapshot: Snapshot) -> Vec<Output> {
        match self.phase {
            // An engine read too early might still get an order of the
            // previous agent, which would then be in nobody's books.
            Phase::Learning => Vec::new(),
            // What was read before the wait ended may be out of date.
            Phase::Reading if snapshot.ticket != self.ticket => Vec::new(),
            Phase::Reading => {
                self.phase = Phase::Ready;
                self.reset_from_snapshot(snapshot);
                self.rejoin_lead()
            }
            Phase::Ready if self.engine_incarnation != Some(snapshot.incarnation) => {
                self.engine_restarts += 1;
                self.reset_from_snapshot(snapshot);
                self.rejoin_lead()
            }
            Phase::Ready => {
                let mut outputs = self.update_progress(now, &snapshot);
                outputs.extend(self.finish_join(&snapshot));
                outputs
            }
        }
    }

    /// Answers the round of asking that waits for this reading.
    fn finish_join(&mut self, snapshot: &Snapshot) -> Vec<Output> {
        let refuses = snapshot.fence.is_some_and(|fence| fence >= self.fence);
        let seen = snapshot.ticket == self.ticket && (refuses || !self.settings.checks_fences);
        let Some(round) = self.pending_round.take_if(|_| seen) else {
            return Vec::new();
        };
        self.joined = true;
        vec![self.joined_report(round)]
    }

    /// Takes over all that the engine says.
    fn reset_from_snapshot(&mut self, snapshot: Snapshot) {
        self.engine_incarnation = Some(snapshot.incarnation);
        self.joined = false;
        if let Some(fence) = snapshot.fence.filter(|&fence| fence > self.fence) {
            // The engine saw a promise that this agent's forerunner made.
            self.fence = fence;
            self.lead = None;
        }
        self.done = snapshot.done;
        self.reported_done = snapshot.done;
        self.running = snapshot.running;
        self.schedule = Schedule::default();
        // An engine's own list has no holes; one that had would be cut there.
        let _ = self.schedule.merge(&snapshot.spans);
        self.confirmed_top = self.top();
        self.sent_top = self.top();
        self.loaded = snapshot.loaded.into_iter().collect();
        let maps = snapshot.maps.into_iter().map(|map| (map.epoch, map));
        self.maps.extend(maps);
    }

    /// Tells the lead that holds the fence, where known, that the rank is here.
    fn rejoin_lead(&mut self) -> Vec<Output> {
        if self.lead.is_none() {
            return Vec::new();
        }
        self.begin_join(0)
    }

    /// Takes in how far the engine has come since.
    fn update_progress(&mut self, now: Duration, snapshot: &Snapshot) -> Vec<Output> {
        if snapshot.done < self.done {
            // A report that was overtaken by a later one.
            return Vec::new();
        }
        if snapshot.done == 0 {
            let same = snapshot.spans == self.schedule.after(0);
            self.confirmed_top = if same { self.top() } else { 0 };
            return Vec::new();
        }
        let mut outputs = self.detect_divergence(snapshot);
        if snapshot.done > self.done {
            self.done = snapshot.done;
            self.running = snapshot.running;
            self.schedule.trim(self.done);
        }
        let listed = snapshot.spans.last().map_or(0, |span| span.to);
        self.confirmed_top = listed.max(self.done);
        outputs.extend(self.drop_old_maps());
        // Ranks run in lock-step, so the lead hears from its own how far all
        // are; a hundred others would tell it the same over the network.
        let lead_is_local = self.lead == Some(self.settings.seat);
        if lead_is_local && self.done >= self.reported_done + self.settings.progress_interval_steps
        {
            outputs.extend(self.report_progress());
        }
        if now >= self.last_sent + self.settings.resend_interval {
            self.last_sent = now;
            outputs.extend(self.forward_grants());
        }
        outputs
    }

    /// Looks for steps that the engine has from someone else.
    ///
    /// An engine that ignores fences may be reached by an agent that was paused
    /// and replaced. Nothing can prevent that, so it is found here, reported,
    /// and taken back where the step hasn't run.
    fn detect_divergence(&self, snapshot: &Snapshot) -> Vec<Output> {
        let granted = |step| self.schedule.epoch(step);
        let mut divergence = None;
        if let Some(epoch) = snapshot.running {
            let step = snapshot.done;
            if step > self.done && granted(step) != Some(epoch) {
                divergence = Some((step, epoch, true));
            }
        }
        let spans = snapshot.spans.iter();
        let edges = spans.flat_map(|span| [(span.from, span.epoch), (span.to, span.epoch)]);
        let mut unexpected = edges.filter(|&(step, epoch)| granted(step) != Some(epoch));
        let divergence =
            divergence.or_else(|| unexpected.next().map(|(step, epoch)| (step, epoch, false)));
        let Some((step, epoch, ran)) = divergence else {
            return Vec::new();
        };
        let mut outputs = self.report_to_lead(ReportBody::Diverged { step, epoch, ran });
        let spans = self.schedule.after(snapshot.done);
        outputs.push(self.engine_order(Action::Replace { spans }));
        outputs
    }

    /// Has the engine forget the maps that every rank has left behind: to have
    /// run a step of a later map takes that all ranks have started it.
    fn drop_old_maps(&mut self) -> Vec<Output> {
        let Some(running) = self.running else {
            return Vec::new();
        };
        let old: Vec<u64> = self.loaded.range(..running).copied().collect();
        let mut outputs = Vec::new();
        for epoch in old {
            self.loaded.remove(&epoch);
            self.maps.remove(&epoch);
            outputs.push(self.engine_order(Action::Drop { epoch }));
        }
        outputs
    }
}
