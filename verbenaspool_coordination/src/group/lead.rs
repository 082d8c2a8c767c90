//! The lead's side: which steps are granted on which map.
//!
//! A lead starts by *collecting*: every rank has to promise to refuse lower
//! fences and to say what it was granted. Only then does it grant, above the
//! highest step that any rank holds. A change of map is staged on all ranks
//! first and then takes effect at the next step that nobody was granted yet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use verbenaspool_state::expert_map::{Layer, Map};

use super::{
    message::{Command, Refusal, Report, ReportBody, Request, StartId},
    schedule::{Schedule, Span},
};

mod collecting;
mod commands;

pub use super::lead_io::{AbortReason, Output, ProposeError, Settings};

/// How many maps one fence may bring in. An epoch is the fence times this plus
/// a count, so two leads can't give one epoch to two maps, and an operator can
/// read off both.
pub const EPOCHS_PER_FENCE: u64 = 1_000_000;

/// How many steps one fence may grant. A group whose engines have all lost
/// everything starts at the fence times this, so that no step's number is ever
/// used twice and a late order or sample can't be taken for a present one.
pub const STEPS_PER_FENCE: u64 = 10_000_000_000;

/// How far a lead is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It collects promises.
    Collecting,
    /// It grants steps.
    Granting,
    /// It is over.
    Ended,
}

/// What the lead knows of a rank.
#[derive(Debug, Default)]
struct RankView {
    /// Whether it has answered the round of asking.
    joined: bool,
    /// The start it joined with.
    start: StartId,
    /// The last step it ran.
    done: u64,
    /// The last step it has acknowledged.
    acked_top: u64,
    /// The start at which its engine was last found to have run nothing.
    reset_start: Option<StartId>,
    /// The step after which such an engine joins the others.
    resume_after: u64,
    /// The epochs its engine holds.
    loaded: BTreeSet<u64>,
    /// The last step it was sent a grant for.
    sent_top: u64,
    /// When it was last sent something.
    last_sent: Option<Duration>,
}

/// A change of map under way.
#[derive(Debug)]
struct Change {
    /// The new map's epoch.
    epoch: u64,
    /// The bytes a second that each rank may load for it.
    rate: u64,
    /// When it was proposed.
    proposed_at: Duration,
    /// What an engine last said against it.
    last_failure: Option<String>,
}

/// The lead of a group.
#[derive(Debug)]
pub struct Lead {
    /// Fixed properties.
    settings: Settings,
    /// The fence that the platform gave.
    fence: u64,
    /// How far the lead is.
    phase: Phase,
    /// Counts the rounds of asking.
    round: u64,
    /// The ranks.
    ranks: Vec<RankView>,
    /// The steps granted to some rank and not known to be run.
    schedule: Schedule,
    /// The epoch of the next step to grant.
    epoch: Option<u64>,
    /// The highest epoch used.
    highest_epoch: u64,
    /// The change under way.
    change: Option<Change>,
    /// The placements known.
    maps: BTreeMap<u64, Map>,
    /// When a placement was last asked for.
    fetch_sent_at: Option<Duration>,
    /// The seat that was asked.
    fetch_seat: u16,
}

impl Lead {
    /// A lead with the fence that the platform gave it.
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
    /// // Its own rank is the first to promise.
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

    /// The lead's fence.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Whether all ranks have joined and steps are granted.
    #[must_use]
    pub fn is_granting(&self) -> bool {
        self.phase == Phase::Granting
    }

    /// Whether a higher fence was heard of.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// The epoch of the next step to grant, where there is a map.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// The placement that the next step to grant runs on.
    #[must_use]
    pub fn map(&self) -> Option<&Map> {
        self.maps.get(&self.epoch?)
    }

    /// The epoch of the change under way.
    #[must_use]
    pub fn pending_epoch(&self) -> Option<u64> {
        self.change.as_ref().map(|change| change.epoch)
    }

    /// The last step that any rank has run, as far as is known.
    #[must_use]
    pub fn done(&self) -> u64 {
        self.ranks.iter().map(|rank| rank.done).max().unwrap_or(0)
    }

    /// Starts a change to a placement, under an epoch of this lead's own. Each
    /// rank loads at most `rate` bytes a second for it.
    ///
    /// # Errors
    ///
    /// Why the placement isn't taken up; the map in force stays.
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

    /// Time has passed: what has to be said, or said again.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        self.advance(now, false)
    }

    /// A rank reports.
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
        // A message of a start that was replaced says nothing about the present one.
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
            ReportBody::Refused(refusal) => self.handle_refusal(report.seat, &refusal),
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

    /// A rank didn't carry out a command.
    fn handle_refusal(&mut self, seat: u16, refusal: &Refusal) -> Vec<Output> {
        let rank = &mut self.ranks[usize::from(seat)];
        match *refusal {
            Refusal::Fence { fence } if fence > self.fence => {
                self.phase = Phase::Ended;
                vec![Output::Deposed { fence }]
            }
            // The rank's books end earlier than was believed.
            Refusal::Gap { top } => {
                rank.acked_top = rank.acked_top.min(top);
                Vec::new()
            }
            // The rank has to say anew where it stands.
            Refusal::Restarted | Refusal::Unjoined => {
                rank.joined = false;
                Vec::new()
            }
            Refusal::Conflict { step } => {
                let ran = false;
                vec![Output::Diverged { seat, step, ran }]
            }
            Refusal::Fence { .. } | Refusal::Learning | Refusal::Unknown => Vec::new(),
        }
    }

    /// Takes in a step that an engine has from someone else. Where nobody was
    /// granted it, granting it to all on the same map keeps the step whole.
    fn adopt_foreign_step(&mut self, step: u64, epoch: u64) {
        let next = self.top() + 1;
        if step >= next && self.maps.contains_key(&epoch) {
            let span = Span {
                from: next,
                to: step,
                epoch,
            };
            // The span follows the schedule's end.
            let _ = self.schedule.merge(&[span]);
        }
    }

    /// A rank has promised to refuse lower fences.
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

    /// Adds what a rank was granted to the schedule. Ranks report in any order,
    /// so a span may lie before, in or after what is listed.
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

    /// The last step granted to anyone.
    fn top(&self) -> u64 {
        self.schedule.top().unwrap_or(0).max(self.base_step())
    }

    /// The step after which the group goes on.
    fn base_step(&self) -> u64 {
        let first = self.schedule.first().map(|step| step - 1);
        match self.done() {
            0 => first.unwrap_or(self.fence * STEPS_PER_FENCE),
            done => done,
        }
    }

    /// Goes on as far as what is known allows.
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

    /// Decides the change under way, once every rank has staged it or too long.
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
            // The old map is kept until the schedule has left it behind.
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

    /// Grants further steps once half of those granted are run.
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
        // The span follows the schedule's end.
        let _ = self.schedule.merge(&[span]);
        let oldest = self.schedule.epochs().next().unwrap_or(epoch);
        let oldest = oldest.min(epoch);
        self.maps.retain(|&epoch, _| epoch >= oldest);
    }

    /// A command under this lead's fence.
    fn command(&self, seat: u16, request: Request) -> Output {
        let command = Command {
            fence: self.fence,
            lead: self.settings.seat,
            request,
        };
        Output::Send { seat, command }
    }
}
