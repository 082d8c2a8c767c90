//! The lead of a group, which grants steps on maps to the ranks.
//!
//! A lead starts by *collecting*: every rank has to join, that is, reject lower
//! fences from then on and report which steps it was granted. Only then does the
//! lead grant steps, above the highest one that any rank was granted. A new map is
//! staged on all ranks first and takes effect at the next step that no rank was
//! granted yet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use verbenaspool_state::expert_map::{Layer, Map};

use super::{
    message::{Command, Rejection, Report, ReportBody, Request, StartId},
    schedule::{Schedule, Span},
};

mod collecting;
mod commands;

pub use super::lead_io::{AbortReason, Output, ProposeError, Settings};

/// The number of epochs per fence. An epoch is the fence times this plus a counter,
/// so that two leads can't give the same epoch to two maps, and operators can read
/// both numbers from it.
pub const EPOCHS_PER_FENCE: u64 = 1_000_000;

/// The number of steps per fence. A group whose engines have all lost their state
/// starts at the fence times this, so that no step number is used twice and a late
/// order or sample can't be mistaken for a current one.
pub const STEPS_PER_FENCE: u64 = 10_000_000_000;

/// The phase of a lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waiting for all ranks to join.
    Collecting,
    /// Granting steps.
    Granting,
    /// Replaced by a lead with a higher fence; sends nothing more.
    Ended,
}

/// The lead's view of a rank.
#[derive(Debug, Default)]
struct RankView {
    /// Whether it has joined in the current collection round.
    joined: bool,
    /// The start with which it joined.
    start: StartId,
    /// The last step it ran.
    done: u64,
    /// The last step whose grant it has acknowledged.
    acked_top: u64,
    /// The last start with which its engine was found to have run nothing, although
    /// others had run steps.
    reset_start: Option<StartId>,
    /// The step after which an engine that has run nothing joins the others; 0 while
    /// that isn't known.
    resume_after: u64,
    /// The epochs whose weights its engine holds.
    loaded: BTreeSet<u64>,
    /// The last step in a grant sent to it.
    sent_top: u64,
    /// When a command was last sent to it.
    last_sent: Option<Duration>,
}

/// A change of map in progress.
#[derive(Debug)]
struct Change {
    /// The new map's epoch.
    epoch: u64,
    /// The maximum load rate of each rank in bytes per second.
    rate: u64,
    /// When it was proposed.
    proposed_at: Duration,
    /// The last error of an engine that failed to load the map.
    last_failure: Option<String>,
}

/// The lead of a group.
#[derive(Debug)]
pub struct Lead {
    /// The settings.
    settings: Settings,
    /// The fence of the lease.
    fence: u64,
    /// The current phase.
    phase: Phase,
    /// The current collection round, from 1.
    round: u64,
    /// The ranks by seat.
    ranks: Vec<RankView>,
    /// The steps granted to any rank and not known to be run.
    schedule: Schedule,
    /// The epoch of the next step to grant.
    epoch: Option<u64>,
    /// The highest epoch known.
    highest_epoch: u64,
    /// The change in progress.
    change: Option<Change>,
    /// The known placements by epoch.
    maps: BTreeMap<u64, Map>,
    /// When a placement was last requested.
    fetch_sent_at: Option<Duration>,
    /// The seat of that request.
    fetch_seat: u16,
}

impl Lead {
    /// Creates a lead with the fence of its lease.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_coordination::group::lead::{Lead, Output, Settings};
    /// use verbenaspool_state::expert_map::Shape;
    ///
    /// let shape = Shape { ranks: 2, experts: 4, layers: 1, slots: 2 };
    /// let settings = Settings {
    ///     seat: 0,
    ///     shape,
    ///     window: 256,
    ///     resend_interval: Duration::from_millis(200),
    ///     staging_timeout: Duration::from_secs(60),
    /// };
    /// let mut lead = Lead::new(settings, 1);
    /// // Its own rank has to join first.
    /// assert!(matches!(lead.tick(Duration::ZERO)[..], [Output::Send { seat: 0, .. }]));
    /// ```
    #[must_use]
    pub fn new(settings: Settings, fence: u64) -> Self {
        let seats = 0..settings.shape.ranks;
        Self {
            ranks: seats.map(|_| RankView::default()).collect(),
            settings,
            fence,
            phase: Phase::Collecting,
            round: 1,
            schedule: Schedule::default(),
            epoch: None,
            highest_epoch: 0,
            change: None,
            maps: BTreeMap::new(),
            fetch_sent_at: None,
            fetch_seat: 0,
        }
    }

    /// Returns the lead's fence.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns whether all ranks have joined and steps are granted.
    #[must_use]
    pub fn is_granting(&self) -> bool {
        self.phase == Phase::Granting
    }

    /// Returns whether a rank reported a higher fence.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns the epoch of the next step to grant, if there is a map.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Returns the placement of the next step to grant, if it is known.
    #[must_use]
    pub fn map(&self) -> Option<&Map> {
        self.maps.get(&self.epoch?)
    }

    /// Returns the epoch of the change in progress.
    #[must_use]
    pub fn pending_epoch(&self) -> Option<u64> {
        self.change.as_ref().map(|change| change.epoch)
    }

    /// Returns the last step that any rank is known to have run.
    #[must_use]
    pub fn done(&self) -> u64 {
        self.ranks.iter().map(|rank| rank.done).max().unwrap_or(0)
    }

    /// Starts a change to a placement, under a new epoch of this lead. Each rank
    /// loads at most `rate` bytes per second for it.
    ///
    /// # Errors
    ///
    /// Why the placement is rejected; the current map stays in use.
    pub fn propose(
        &mut self,
        now: Duration,
        layers: Vec<Layer>,
        rate: u64,
    ) -> Result<(u64, Vec<Output>), ProposeError> {
        match self.phase {
            Phase::Collecting => return Err(ProposeError::Collecting),
            Phase::Ended => return Err(ProposeError::Ended),
            Phase::Granting => {}
        }
        if let Some(change) = &self.change {
            let epoch = change.epoch;
            return Err(ProposeError::Busy { epoch });
        }
        let epoch = self.highest_epoch.max(self.fence * EPOCHS_PER_FENCE) + 1;
        if epoch >= (self.fence + 1) * EPOCHS_PER_FENCE {
            return Err(ProposeError::Ended);
        }
        let map = Map { epoch, layers };
        map.check(self.settings.shape, self.highest_epoch)?;
        self.highest_epoch = epoch;
        self.maps.insert(epoch, map);
        self.change = Some(Change {
            epoch,
            rate,
            proposed_at: now,
            last_failure: None,
        });
        Ok((epoch, self.advance(now, true)))
    }

    /// Runs the periodic work: timeouts and resending.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        self.advance(now, false)
    }

    /// Handles the report of a rank.
    pub fn handle_report(&mut self, now: Duration, report: Report) -> Vec<Output> {
        if self.phase == Phase::Ended {
            return Vec::new();
        }
        if report.fence > self.fence {
            self.phase = Phase::Ended;
            let fence = report.fence;
            return vec![Output::Deposed { fence }];
        }
        let Some(rank) = self.ranks.get_mut(usize::from(report.seat)) else {
            return Vec::new();
        };
        // A report from an earlier start says nothing about the current one.
        if report.fence < self.fence && !matches!(report.body, ReportBody::Refused(_))
            || report.start < rank.start
        {
            return Vec::new();
        }
        let current = rank.joined && report.start == rank.start;
        match report.body {
            ReportBody::Joined {
                round,
                done,
                spans,
                running,
                loaded,
            } => {
                let restarted = report.start > rank.start;
                if round != self.round && !(round == 0 && restarted) {
                    return Vec::new();
                }
                let reset_start = rank.reset_start;
                let seat = report.seat;
                let joined = RankView {
                    joined: true,
                    start: report.start,
                    done,
                    acked_top: spans.last().map_or(done, |span| span.to),
                    reset_start,
                    resume_after: 0,
                    loaded: loaded.into_iter().collect(),
                    sent_top: 0,
                    last_sent: None,
                };
                self.handle_joined(seat, joined, &spans, running)
            }
            ReportBody::Progress { done, top } if current => {
                rank.done = rank.done.max(done);
                rank.acked_top = rank.acked_top.max(top);
                Vec::new()
            }
            ReportBody::Staged { epoch } if current => {
                rank.loaded.insert(epoch);
                Vec::new()
            }
            ReportBody::Failed { epoch, reason } if current => {
                if let Some(change) = self.change.as_mut().filter(|c| c.epoch == epoch) {
                    change.last_failure = Some(reason);
                }
                Vec::new()
            }
            ReportBody::FetchedMap { map } => {
                self.maps.entry(map.epoch).or_insert(map);
                Vec::new()
            }
            ReportBody::Refused(rejection) => self.handle_rejection(report.seat, &rejection),
            ReportBody::Diverged { step, epoch, ran } if current => {
                self.adopt_foreign_step(step, epoch);
                let seat = report.seat;
                vec![Output::Diverged { seat, step, ran }]
            }
            _ => Vec::new(),
        }
        .into_iter()
        .chain(self.advance(now, false))
        .collect()
    }

    /// Handles a rank's rejection of a command.
    fn handle_rejection(&mut self, seat: u16, rejection: &Rejection) -> Vec<Output> {
        let rank = &mut self.ranks[usize::from(seat)];
        match *rejection {
            Rejection::Fence { fence } if fence > self.fence => {
                self.phase = Phase::Ended;
                vec![Output::Deposed { fence }]
            }
            // The rank's schedule ends earlier than was assumed.
            Rejection::Gap { top } => {
                rank.acked_top = rank.acked_top.min(top);
                Vec::new()
            }
            // The rank has to join again and report its state.
            Rejection::Restarted | Rejection::Unjoined => {
                rank.joined = false;
                Vec::new()
            }
            Rejection::Conflict { step } => {
                let ran = false;
                vec![Output::Diverged { seat, step, ran }]
            }
            Rejection::Fence { .. } | Rejection::Learning | Rejection::Unknown => Vec::new(),
        }
    }

    /// Handles a step that an engine was given by another agent. If no rank was
    /// granted the step, granting it to all ranks on that map keeps the step
    /// consistent.
    fn adopt_foreign_step(&mut self, step: u64, epoch: u64) {
        let next = self.top() + 1;
        if step >= next && self.maps.contains_key(&epoch) {
            let span = Span {
                from: next,
                to: step,
                epoch,
            };
            // This can't fail: the span follows the schedule's end.
            let _ = self.schedule.merge(&[span]);
        }
    }

    /// Records the state of a rank that has joined.
    fn handle_joined(
        &mut self,
        seat: u16,
        joined: RankView,
        spans: &[Span],
        running: Option<u64>,
    ) -> Vec<Output> {
        let known = joined.loaded.last().copied().max(running).unwrap_or(0);
        self.highest_epoch = self.highest_epoch.max(known);
        self.ranks[usize::from(seat)] = joined;
        if self.phase == Phase::Collecting && running > self.epoch {
            self.epoch = running;
        }
        let mut outputs = Vec::new();
        for span in spans {
            outputs.extend(self.merge_reported_span(seat, *span));
        }
        outputs
    }

    /// Adds a span that a rank was granted to the schedule. Ranks report in any
    /// order, so the span may lie before, within or after the scheduled steps.
    fn merge_reported_span(&mut self, seat: u16, span: Span) -> Option<Output> {
        let first = self.schedule.first();
        let result = if first.is_some_and(|first| span.from < first) {
            let mut merged = Schedule::default();
            let rest = self.schedule.after(0);
            let result = merged.merge(&[span]).and_then(|()| merged.merge(&rest));
            result.map(|()| self.schedule = merged)
        } else {
            self.schedule.merge(&[span])
        };
        let step = span.from;
        let ran = false;
        result.err().map(|_| Output::Diverged { seat, step, ran })
    }

    /// Returns the last step granted to any rank.
    fn top(&self) -> u64 {
        self.schedule.top().unwrap_or(0).max(self.base_step())
    }

    /// Returns the step after which the group continues.
    fn base_step(&self) -> u64 {
        let first = self.schedule.first().map(|step| step - 1);
        match self.done() {
            0 => first.unwrap_or(self.fence * STEPS_PER_FENCE),
            done => done,
        }
    }

    /// Proceeds as far as the known state of the ranks allows, and returns the
    /// commands that are due.
    fn advance(&mut self, now: Duration, resend_now: bool) -> Vec<Output> {
        let mut outputs = Vec::new();
        let all_joined = self.phase != Phase::Ended && self.try_assemble();
        if self.phase == Phase::Collecting && all_joined {
            self.phase = Phase::Granting;
        }
        match self.phase {
            Phase::Ended => return outputs,
            Phase::Collecting => {}
            Phase::Granting => {
                outputs.extend(self.resolve_change(now));
                self.extend_grants();
            }
        }
        for seat in 0..self.settings.shape.ranks {
            outputs.extend(self.commands_for(now, seat, resend_now));
        }
        outputs.extend(self.fetch_missing_map(now));
        outputs
    }

    /// Completes the change in progress once all ranks have staged the map, or aborts
    /// it after the staging timeout.
    fn resolve_change(&mut self, now: Duration) -> Vec<Output> {
        let Some(change) = &self.change else {
            return Vec::new();
        };
        let epoch = change.epoch;
        let staged = |rank: &&RankView| rank.joined && rank.loaded.contains(&epoch);
        let missing = self.ranks.len() - self.ranks.iter().filter(staged).count();
        if missing == 0 {
            self.change = None;
            self.epoch = Some(epoch);
            let step = self.top() + 1;
            // The old map is kept until no scheduled step runs on it.
            return vec![Output::Switched { epoch, step }];
        }
        if now < change.proposed_at + self.settings.staging_timeout {
            return Vec::new();
        }
        let last_failure = change.last_failure.clone();
        self.change = None;
        self.maps.remove(&epoch);
        let mut outputs = vec![Output::Aborted {
            epoch,
            reason: AbortReason::StagingTimeout {
                missing,
                last_failure,
            },
        }];
        for seat in 0..self.settings.shape.ranks {
            let start = self.ranks[usize::from(seat)].start;
            outputs.push(self.command(seat, Request::Drop { start, epoch }));
        }
        outputs
    }

    /// Extends the schedule to the full window once half of the window has run, and
    /// forgets steps that are acknowledged and run, and unused maps.
    fn extend_grants(&mut self) {
        let done = self.base_step();
        let acked = |rank: &RankView| {
            if rank.done == 0 {
                rank.resume_after
            } else {
                rank.acked_top
            }
        };
        let lowest_acked = self.ranks.iter().map(acked).min().unwrap_or(0);
        if lowest_acked > 0 {
            self.schedule.trim(done.min(lowest_acked));
        }
        let Some(epoch) = self.epoch else {
            return;
        };
        let top = self.top();
        if top >= done + self.settings.window.div_ceil(2) {
            return;
        }
        let span = Span {
            from: top + 1,
            to: done + self.settings.window,
            epoch,
        };
        // This can't fail: the span follows the schedule's end.
        let _ = self.schedule.merge(&[span]);
        let oldest = self.schedule.epochs().next().unwrap_or(epoch);
        let oldest = oldest.min(epoch);
        self.maps.retain(|&epoch, _| epoch >= oldest);
    }

    /// Creates a command with this lead's fence.
    fn command(&self, seat: u16, request: Request) -> Output {
        let command = Command {
            fence: self.fence,
            lead: self.settings.seat,
            request,
        };
        Output::Send { seat, command }
    }
}
