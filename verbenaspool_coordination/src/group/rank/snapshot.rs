//! Handles the state that a rank's engine reports.

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
    /// Handles the engine's state.
    pub(super) fn handle_snapshot(&mut self, now: Duration, snapshot: Snapshot) -> Vec<Output> {
        match self.phase {
            // An order of the previous agent may still reach the engine after
            // this state was read; no agent would know of its steps.
            Phase::Learning => Vec::new(),
            // A state read before the wait ended may be outdated.
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

    /// Answers the pending collection round, if this state was read for it.
    fn finish_join(&mut self, snapshot: &Snapshot) -> Vec<Output> {
        let rejects = snapshot.fence.is_some_and(|fence| fence >= self.fence);
        let seen = snapshot.ticket == self.ticket && (rejects || !self.settings.checks_fences);
        let Some(round) = self.pending_round.take_if(|_| seen) else {
            return Vec::new();
        };
        self.joined = true;
        vec![self.joined_report(round)]
    }

    /// Replaces the agent's state with that of a restarted or newly read engine.
    fn reset_from_snapshot(&mut self, snapshot: Snapshot) {
        self.engine_incarnation = Some(snapshot.incarnation);
        self.joined = false;
        if let Some(fence) = snapshot.fence.filter(|&fence| fence > self.fence) {
            // The engine knows a fence that the previous agent had promised to
            // follow.
            self.fence = fence;
            self.lead = None;
        }
        self.done = snapshot.done;
        self.reported_done = snapshot.done;
        self.running = snapshot.running;
        self.schedule = Schedule::default();
        // The engine's spans are contiguous. If they weren't, the schedule would
        // stay empty.
        let _ = self.schedule.merge(&snapshot.spans);
        self.confirmed_top = self.top();
        self.sent_top = self.top();
        self.loaded = snapshot.loaded.into_iter().collect();
        let maps = snapshot.maps.into_iter().map(|map| (map.epoch, map));
        self.maps.extend(maps);
    }

    /// Joins the lead with the current fence again, if it is known.
    fn rejoin_lead(&mut self) -> Vec<Output> {
        if self.lead.is_none() {
            return Vec::new();
        }
        self.begin_join(0)
    }

    /// Updates progress from the engine's state.
    fn update_progress(&mut self, now: Duration, snapshot: &Snapshot) -> Vec<Output> {
        if snapshot.done < self.done {
            // The state is older than one handled before.
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
        // Ranks run in lock-step, so the progress of the lead's own rank is that of
        // all; reports of a hundred others over the network would add nothing.
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

    /// Detects steps that the engine was given by another agent.
    ///
    /// An order of an agent that was paused and replaced can reach an engine that
    /// ignores fences. Nothing can prevent that, so it is detected here, reported to
    /// the lead, and reverted for steps that haven't run.
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

    /// Unloads the maps that no rank needs any more: this rank has run a step on a
    /// later map, which means that all ranks have started that step.
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
