//! Switches a group of engines to a new expert map such that no forward pass runs
//! with different maps on different ranks.
//!
//! Each engine switches on its own: a rank armed for a pass uses the new map from
//! that pass on. If an order is lost or executed seconds late, some ranks may be
//! armed when the pass begins and others not. The protocol therefore holds the
//! pass first:
//!
//! 1. Every rank copies the experts it lacks ([`Order::Prepare`]) and reports that
//!    it has them.
//! 2. One rank holds the pass ([`Order::Hold`]) and reports it.
//! 3. Every rank is armed ([`Order::Arm`]) and reports it.
//! 4. The pass is released ([`Order::Go`]).
//!
//! No rank is armed before step 3, so a change can be abandoned until then. From
//! step 3 on it can only be completed: an unanswered order may still be executed,
//! so a rank that was sent an arm order can never be assumed unarmed. The held pass
//! can't begin in the meantime, however late an order is. Orders carry the group's
//! epoch, and pass numbers and versions are never reused, so a late order matches
//! nothing that follows.
//!
//! The lead may freeze, crash or lose its network at any of these points, and a held
//! pass stalls the whole group. The pass is therefore held at [`HOLDER_RANK`], which
//! is still reachable then, and the lead arms its own rank, the first, only after
//! another one is armed.
//!
//! A new lead, or an agent that stands in for the lead, may find a pass held that
//! doesn't belong to a change of its own. It first blocks arming at the agents of all
//! ranks but the first ([`Order::BlockArming`]): from then on they reject the lead's
//! arm orders for that pass, and report whether they have already passed one on. These
//! answers are final, so two agents that do this concurrently reach the same decision:
//!
//! - No agent has passed one on: no rank is armed, the first included, and none can
//!   be. The pass begins with the old map.
//! - Some agent has: an unanswered order may still take effect. All ranks are armed
//!   ([`Order::Finish`]) and the pass begins with the new map. This waits while the
//!   first rank is unreachable.
//!
//! The state machine does no I/O: it takes reports and the time, and returns orders.

mod order;

use std::time::Duration;

pub use self::order::{Order, Outcome, RankOrder, Report};

/// Number of passes between the latest reported one and the one to hold. Two leave
/// one whole pass, some 60 ms, for the orders to arrive. With one, groups of 32 ranks
/// waited 16 ms for each change and some 50 ms at worst, which paused the streams of
/// all ranks: a group earned 0.913 of the value of an undisturbed day, against 0.995
/// with two.
const HOLD_AHEAD_PASSES: u64 = 2;

/// As [`HOLD_AHEAD_PASSES`], for long passes: orders arrive within a third of one, and
/// a second pass would only delay a change that relieves a slow rank.
const HOLD_AHEAD_LONG_PASSES: u64 = 1;

/// Duration from which a pass counts as long. Orders take some 45 ms to arrive.
const LONG_PASS_DURATION: Duration = Duration::from_millis(150);

/// Rank at which passes are held. Not the lead's own, unless the group has only one.
pub const HOLDER_RANK: u16 = 1;

/// Time after which an order is resent if no report shows its effect. Answers and
/// reports arrive within milliseconds, and a pass may be held in the meantime.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a prepare order is resent. Copying one expert takes 0.15 s, and
/// the order carries the whole map.
const PREPARE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Time allowed for preparing a map in addition to twice the expected copy time.
const PREPARE_SLACK: Duration = Duration::from_millis(2_500);

/// Age above which a report no longer counts as recent.
const STALE_REPORT_AGE: Duration = Duration::from_millis(400);

/// Time within which the holder must report that it holds the pass. Without a limit the
/// change would wait for a holder that is unreachable.
const HOLD_TIMEOUT: Duration = Duration::from_millis(400);

/// Age above which the holder's report no longer confirms that a pass is held. A lead
/// that was frozen must not act on what it knew before: another agent may have stood in
/// for it, which happens after [`STALE_REPORT_AGE`] at the earliest.
const CONFIRMED_REPORT_AGE: Duration = Duration::from_millis(100);

/// Time after which a held pass without a change under way counts as orphaned and is
/// resolved. A change that proceeds normally delays no pass.
const MAX_HOLD_TIME: Duration = Duration::from_millis(150);

/// Phase of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No change is under way.
    Idle,
    /// Ranks copy experts.
    Preparing { version: u64, until: Duration },
    /// Waits for the holder to hold the pass.
    Holding {
        version: u64,
        step: u64,
        until: Duration,
    },
    /// Waits for all ranks to be armed.
    Arming { version: u64, step: u64 },
    /// Waits for the holder to release the pass.
    Releasing { version: u64, step: u64 },
    /// Waits for the agents to block arming for an orphaned held pass.
    BlockingArming { step: u64 },
    /// Arms all ranks to complete a change that another lead began.
    Finishing { version: u64, step: u64 },
}

/// A rank as known from its reports.
#[derive(Debug, Clone, Copy, Default)]
struct RankState {
    report: Option<(Report, Duration)>,
    /// When the last order of the current phase was sent to it.
    last_order_at: Option<Duration>,
}

impl RankState {
    /// Whether the last report is recent and satisfies the predicate.
    fn matches_recently(&self, now: Duration, predicate: impl Fn(&Report) -> bool) -> bool {
        let fresh = self
            .report
            .filter(|(_, at)| now.saturating_sub(*at) <= STALE_REPORT_AGE);
        fresh.is_some_and(|(report, _)| predicate(&report))
    }
}

/// State machine that changes the map of one group, run by its lead or by an agent that
/// stands in for it.
#[derive(Debug)]
pub struct Switch {
    epoch: u64,
    ranks: Vec<RankState>,
    phase: Phase,
    /// A held pass that belongs to no change of this machine, and when it was first seen.
    orphaned_hold: Option<(u64, Duration)>,
    /// The latest reported pass and when it was reported.
    latest_pass: (u64, Duration),
    /// Duration of a pass, averaged over those since the previous report.
    pass_duration: Duration,
    /// Ranks that hadn't prepared the map when the last change was abandoned.
    unprepared_ranks: Vec<usize>,
}

impl Switch {
    /// Creates the state machine for a group with the given number of ranks.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_coordination::switch::{Order, Report, Switch};
    ///
    /// let mut switch = Switch::new(1);
    /// let now = Duration::from_secs(1);
    /// switch.report(now, 0, Report { epoch: 1, step: 7, ..Report::default() });
    /// assert!(switch.is_ready(now));
    /// switch.start(now, 5, Duration::from_millis(150));
    /// let (orders, _) = switch.poll(now);
    /// assert_eq!(orders[0].order, Order::Prepare { version: 5 });
    /// ```
    #[must_use]
    pub fn new(ranks: usize) -> Self {
        Self {
            epoch: 0,
            ranks: vec![RankState::default(); ranks],
            phase: Phase::Idle,
            orphaned_hold: None,
            latest_pass: (0, Duration::ZERO),
            pass_duration: Duration::ZERO,
            unprepared_ranks: Vec::new(),
        }
    }

    /// Ranks that hadn't prepared the map, or had sent no recent report of it, when the
    /// last change was abandoned.
    #[must_use]
    pub fn unprepared_ranks(&self) -> &[usize] {
        &self.unprepared_ranks
    }

    /// Whether no change is under way.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// The highest epoch of the group reported so far.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Processes a report of a rank.
    pub fn report(&mut self, now: Duration, rank: usize, report: Report) {
        if report.epoch > self.epoch {
            // The group has re-formed with the initial map, and with nothing
            // prepared, armed or held. Earlier state no longer applies.
            let ranks = self.ranks.len();
            *self = Self {
                epoch: report.epoch,
                ..Self::new(ranks)
            };
        }
        if report.epoch == self.epoch
            && let Some(known) = self.ranks.get_mut(rank)
            && known.report.is_none_or(|(_, at)| at <= now)
        {
            known.report = Some((report, now));
            self.measure_pass(now, report.step);
        }
    }

    /// Updates the duration of a pass.
    fn measure_pass(&mut self, now: Duration, step: u64) {
        let (latest, at) = self.latest_pass;
        if step > latest {
            if latest > 0 {
                let passes = u32::try_from(step - latest).unwrap_or(u32::MAX);
                self.pass_duration = now.saturating_sub(at) / passes;
            }
            self.latest_pass = (step, now);
        }
    }

    /// The pass to hold: the earliest for which the orders still arrive in time.
    fn pass_to_hold(&self) -> u64 {
        let ahead = if self.pass_duration >= LONG_PASS_DURATION {
            HOLD_AHEAD_LONG_PASSES
        } else {
            HOLD_AHEAD_PASSES
        };
        self.latest_step() + ahead
    }

    /// Whether a change can start: all ranks report recently, use the same map and are
    /// neither armed nor holding a pass.
    #[must_use]
    pub fn is_ready(&self, now: Duration) -> bool {
        let fresh = |rank: &RankState| match rank.report {
            Some((report, at)) => {
                now.saturating_sub(at) <= STALE_REPORT_AGE
                    && report.armed_version.is_none()
                    && report.held_step.is_none()
            }
            None => false,
        };
        let first = self.ranks.first().and_then(|rank| rank.report);
        let same = |rank: &RankState| {
            rank.report.map(|(r, _)| r.map_version) == first.map(|(r, _)| r.map_version)
        };
        self.is_idle() && self.ranks.iter().all(|rank| fresh(rank) && same(rank))
    }

    /// The map version in use at the first rank, according to its last report.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_coordination::switch::{Report, Switch};
    ///
    /// let mut switch = Switch::new(1);
    /// assert_eq!(switch.map_version(), None);
    /// switch.report(Duration::ZERO, 0, Report { epoch: 1, map_version: 7, ..Report::default() });
    /// assert_eq!(switch.map_version(), Some(7));
    /// ```
    #[must_use]
    pub fn map_version(&self) -> Option<u64> {
        let first = self.ranks.first()?.report;
        first.map(|(report, _)| report.map_version)
    }

    /// The highest version that any rank uses, has prepared or is armed for, according to
    /// the last reports.
    #[must_use]
    pub fn highest_version(&self) -> u64 {
        let versions = |(report, _): (Report, Duration)| {
            let known = [
                Some(report.map_version),
                report.prepared_version,
                report.armed_version,
            ];
            known.into_iter().flatten().max()
        };
        let highest = self.ranks.iter().filter_map(|rank| versions(rank.report?));
        highest.max().unwrap_or(0)
    }

    /// Starts a change to a version that no rank has had yet. `copy_duration` is the
    /// expected copy time at the rank with the most experts to copy.
    pub fn start(&mut self, now: Duration, version: u64, copy_duration: Duration) {
        self.enter_phase(Phase::Preparing {
            version,
            until: now + copy_duration * 2 + PREPARE_SLACK,
        });
    }

    /// Enters a phase. Its orders are due immediately.
    fn enter_phase(&mut self, phase: Phase) {
        self.phase = phase;
        for rank in &mut self.ranks {
            rank.last_order_at = None;
        }
    }

    /// Whether every rank has a recent report that satisfies the predicate.
    fn all_match_recently(&self, now: Duration, predicate: impl Fn(&Report) -> bool) -> bool {
        self.ranks
            .iter()
            .all(|rank| rank.matches_recently(now, &predicate))
    }

    /// Whether the last report of a rank in this epoch, however old, satisfies the predicate.
    fn last_report_matches(&self, rank: usize, predicate: impl Fn(&Report) -> bool) -> bool {
        let report = self.ranks.get(rank).and_then(|rank| rank.report);
        report.is_some_and(|(report, _)| predicate(&report))
    }

    /// Whether all ranks are armed for a version or use it.
    ///
    /// An armed rank stays armed until the pass begins, so a report of it is valid at any
    /// age. A lead that froze after it armed its own rank and reported that isn't waited
    /// for.
    fn is_armed(&self, version: u64) -> bool {
        let armed = |report: &Report| {
            report.armed_version == Some(version) || report.map_version == version
        };
        (0..self.ranks.len()).all(|rank| self.last_report_matches(rank, armed))
    }

    /// The latest pass that any rank has begun.
    fn latest_step(&self) -> u64 {
        let steps = self.ranks.iter().filter_map(|rank| rank.report);
        steps.map(|(report, _)| report.step).max().unwrap_or(0)
    }

    /// The rank at which passes are held.
    fn holder_rank(&self) -> usize {
        usize::from(HOLDER_RANK).min(self.ranks.len().saturating_sub(1))
    }

    /// The pass that the holder recently reported as held.
    fn held_step(&self, now: Duration) -> Option<u64> {
        let (report, at) = self.ranks.get(self.holder_rank())?.report?;
        report
            .held_step
            .filter(|_| now.saturating_sub(at) <= CONFIRMED_REPORT_AGE)
    }

    /// Whether the holder recently reported that it doesn't hold the pass.
    fn is_released(&self, now: Duration, step: u64) -> bool {
        let holder = self
            .ranks
            .get(self.holder_rank())
            .and_then(|rank| rank.report);
        holder.is_some_and(|(report, at)| {
            now.saturating_sub(at) <= CONFIRMED_REPORT_AGE && report.held_step != Some(step)
        })
    }

    /// Whether the pass has begun at some rank with another map than this version.
    fn began_on_other_map(&self, now: Duration, version: u64, step: u64) -> bool {
        self.ranks
            .iter()
            .filter_map(|rank| rank.report)
            .any(|(report, at)| {
                now.saturating_sub(at) <= STALE_REPORT_AGE
                    && report.step >= step
                    && report.map_version != version
            })
    }

    /// Returns the orders to send now, and the outcome if the change has ended. A change has
    /// no outcome if the group re-formed, or if another agent released the pass while this
    /// one resolved it.
    pub fn poll(&mut self, now: Duration) -> (Vec<RankOrder>, Option<Outcome>) {
        let outcome = self.advance(now);
        (self.orders(now), outcome)
    }

    /// Moves on to the next phase if the reports allow it.
    fn advance(&mut self, now: Duration) -> Option<Outcome> {
        match self.phase {
            Phase::Idle => {
                self.detect_orphaned_hold(now);
                None
            }
            Phase::Preparing { version, until } => {
                if self.all_match_recently(now, |report| report.prepared_version == Some(version)) {
                    let step = self.pass_to_hold();
                    let until = now + HOLD_TIMEOUT;
                    self.enter_phase(Phase::Holding {
                        version,
                        step,
                        until,
                    });
                } else if now >= until {
                    let copied = |report: &Report| report.prepared_version == Some(version);
                    let not_prepared =
                        |rank: &usize| !self.ranks[*rank].matches_recently(now, copied);
                    self.unprepared_ranks = (0..self.ranks.len()).filter(not_prepared).collect();
                    self.enter_phase(Phase::Idle);
                    return Some(Outcome::Abandoned(version));
                }
                None
            }
            Phase::Holding {
                version,
                step,
                until,
            } => {
                if self.held_step(now) == Some(step) {
                    self.enter_phase(Phase::Arming { version, step });
                } else if self.latest_step() >= step {
                    // The pass began before it was held. No rank is armed yet, so a
                    // later pass can be held instead.
                    let step = self.pass_to_hold();
                    self.enter_phase(Phase::Holding {
                        version,
                        step,
                        until,
                    });
                } else if now >= until {
                    // If this lead was frozen, another agent may have stood in: the pass
                    // may still be held and some ranks armed for it. It is therefore
                    // resolved like an orphaned pass.
                    self.enter_phase(Phase::BlockingArming { step });
                }
                None
            }
            Phase::Arming { version, step } => {
                if self.is_armed(version) {
                    self.enter_phase(Phase::Releasing { version, step });
                } else if self.began_on_other_map(now, version, step) {
                    // Another agent stood in and released the pass.
                    self.enter_phase(Phase::Idle);
                    return Some(Outcome::Abandoned(version));
                } else if self.is_arming_blocked(step) {
                    self.enter_phase(Phase::BlockingArming { step });
                }
                None
            }
            Phase::Releasing { version, step } => {
                if self.is_released(now, step) {
                    self.enter_phase(Phase::Idle);
                    let missed = self.began_on_other_map(now, version, step);
                    return Some(if missed {
                        Outcome::Abandoned(version)
                    } else {
                        Outcome::Completed(version)
                    });
                }
                None
            }
            Phase::BlockingArming { step } => {
                if self.is_released(now, step) {
                    self.enter_phase(Phase::Idle);
                } else if self
                    .others_match_recently(now, |report| report.arming_blocked_through >= step)
                {
                    self.resolve_hold(now, step);
                }
                None
            }
            Phase::Finishing { version, step } => {
                if self.is_released(now, step) {
                    self.enter_phase(Phase::Idle);
                } else if self.is_armed(version) {
                    self.enter_phase(Phase::Releasing { version, step });
                }
                None
            }
        }
    }

    /// Whether some agent rejects arm orders for the pass.
    fn is_arming_blocked(&self, step: u64) -> bool {
        let blocked = |rank: &RankState| {
            rank.report
                .is_some_and(|(report, _)| report.arming_blocked_through >= step)
        };
        self.ranks.iter().skip(1).any(blocked)
    }

    /// Whether every rank but the first has a recent report that satisfies the predicate.
    fn others_match_recently(&self, now: Duration, predicate: impl Fn(&Report) -> bool) -> bool {
        let mut others = self.ranks.iter().skip(1);
        others.all(|rank| rank.matches_recently(now, &predicate))
    }

    /// Decides with which map a held pass begins once all agents but the first rank's
    /// block arming for it. Does nothing while the first rank has to be waited for.
    fn resolve_hold(&mut self, now: Duration, step: u64) {
        let version = self.highest_version();
        let copied = |report: &Report| {
            [
                Some(report.map_version),
                report.prepared_version,
                report.armed_version,
            ]
            .contains(&Some(version))
        };
        let not_armed =
            |report: &Report| report.last_arm_step < step && report.armed_version.is_none();
        if self.others_match_recently(now, not_armed) {
            // The lead arms its own rank after another one, so it isn't armed either.
            self.enter_phase(Phase::Releasing { version: 0, step });
        } else if self.others_match_recently(now, copied) && self.last_report_matches(0, copied) {
            self.enter_phase(Phase::Finishing { version, step });
        } else if self.all_match_recently(now, |report| report.armed_version.is_none()) {
            // Ranks are armed only once all have prepared the map. Some haven't, so the
            // held pass is left from an earlier change, whose map can't be applied any
            // more.
            self.enter_phase(Phase::Releasing { version: 0, step });
        }
    }

    /// Starts to resolve a pass that stays held although no change is under way, because
    /// its lead crashed or the hold order was executed late.
    fn detect_orphaned_hold(&mut self, now: Duration) {
        let Some(step) = self.held_step(now) else {
            if self
                .ranks
                .get(self.holder_rank())
                .and_then(|rank| rank.report)
                .is_some_and(|(r, _)| r.held_step.is_none())
            {
                self.orphaned_hold = None;
            }
            return;
        };
        let since = match self.orphaned_hold {
            Some((known, since)) if known == step => since,
            _ => {
                self.orphaned_hold = Some((step, now));
                return;
            }
        };
        if now.saturating_sub(since) < MAX_HOLD_TIME {
            return;
        }
        self.enter_phase(Phase::BlockingArming { step });
    }

    /// Whether the lead may arm its own rank, which requires that another one is armed.
    ///
    /// An agent that stands in for the lead asks the other agents whether they received an
    /// arm order, and takes the first rank for unarmed if none did. The first rank doesn't
    /// wait for all others: if the lead freezes after another rank is armed and before its
    /// own is, nobody else can arm it, so this window is kept short.
    fn may_arm_first_rank(&self, version: u64) -> bool {
        let armed = |report: &Report| {
            report.armed_version == Some(version) || report.map_version == version
        };
        let mut others = 1..self.ranks.len();
        others.is_empty() || others.any(|rank| self.last_report_matches(rank, armed))
    }

    /// Returns the orders of the current phase that are due, for the ranks whose reports
    /// don't show their effect yet.
    fn orders(&mut self, now: Duration) -> Vec<RankOrder> {
        let phase = self.phase;
        let holder = self.holder_rank();
        // Ranks are armed only while the pass is confirmed to be held.
        let hold_confirmed = match phase {
            Phase::Arming { step, .. } => self.held_step(now) == Some(step),
            _ => false,
        };
        let may_arm_first = match phase {
            Phase::Arming { version, .. } => self.may_arm_first_rank(version),
            _ => false,
        };
        let mut orders = Vec::new();
        for (rank, known) in self.ranks.iter_mut().enumerate() {
            let Some((report, _)) = known.report else {
                continue;
            };
            let order = match phase {
                Phase::Idle => None,
                Phase::Preparing { version, .. } => {
                    (report.prepared_version != Some(version)).then_some(Order::Prepare { version })
                }
                Phase::Holding { step, .. } => (rank == holder).then_some(Order::Hold { step }),
                Phase::Arming { version, step } => {
                    let may_arm = rank > 0 || may_arm_first;
                    let armed =
                        report.armed_version == Some(version) || report.map_version == version;
                    (hold_confirmed && may_arm && !armed).then_some(Order::Arm { version, step })
                }
                Phase::Releasing { step, .. } => (rank == holder).then_some(Order::Go { step }),
                Phase::BlockingArming { step } => (rank > 0
                    && report.arming_blocked_through < step)
                    .then_some(Order::BlockArming { step }),
                Phase::Finishing { version, step } => {
                    let armed =
                        report.armed_version == Some(version) || report.map_version == version;
                    (!armed).then_some(Order::Finish { version, step })
                }
            };
            let retry_interval = match phase {
                Phase::Preparing { .. } => PREPARE_RETRY_INTERVAL,
                _ => ORDER_RETRY_INTERVAL,
            };
            let due = known
                .last_order_at
                .is_none_or(|sent| now.saturating_sub(sent) >= retry_interval);
            if let Some(order) = order
                && due
            {
                known.last_order_at = Some(now);
                orders.push(RankOrder { rank, order });
            }
        }
        orders
    }
}
