//! Changing the map of experts that a group of engines uses, without a pass in
//! which two ranks use different ones.
//!
//! The engines switch by themselves: a rank that is armed for a pass uses the new
//! map from that pass on. What can go wrong is that some ranks are armed and
//! others aren't when the pass begins, because an order was lost, or was carried
//! out seconds late. So the pass is held first:
//!
//! 1. Every rank copies the experts that are new to it ([`Order::Prepare`]), and
//!    reports that it has them.
//! 2. The pass is held at the lead's own rank ([`Order::Hold`]), and its report
//!    shows that.
//! 3. Every rank is armed ([`Order::Arm`]), and reports that it is.
//! 4. The pass may begin ([`Order::Go`]).
//!
//! Nothing is armed before 3, so a change may be given up until then. From 3 on
//! it only goes forward: an order without an answer may still be carried out, so
//! a rank that was told to arm can never be known not to. The held pass can't
//! begin meanwhile, whatever is late. Orders name the group's epoch, and passes
//! and versions are used once, so that a late order fits nothing that came after.
//!
//! A lead may freeze, die or be cut off at any of these points, and a held pass
//! would keep the group standing. So the pass is held at another rank than the
//! lead's, which can still be reached then, and the lead arms its own rank only once
//! another one is armed.
//! Whoever finds a pass that is held without a change of its own, a new lead or an
//! agent that stands in, first bars the pass at the agents of all ranks but the
//! first ([`Order::BlockArming`]): from then on they give no order of the lead to arm for
//! it, and say whether they have given any. What they say is final, so that two
//! who do this at once come to the same end:
//!
//! - None has given one: no rank is armed, the first included, nor can be. The
//!   pass begins with the old map.
//! - Some have: an order without an answer may still come. All ranks are armed
//!   ([`Order::Finish`]), and the pass begins with the new map. Where the first
//!   rank can't be reached, that waits.
//!
//! The machine does no I/O: it takes reports and the time, and returns orders.

mod order;

use std::time::Duration;

pub use self::order::{Order, RankOrder, Report, SwitchOutcome};

/// How many passes ahead of the newest report a pass is held. The pass after the
/// next leaves one whole pass, some 60 ms, for the orders to arrive. With the next
/// one groups of 32 ranks waited 16 ms for each change and some 50 ms at worst, so
/// that streams of all ranks had a pause out of time: 0.913 of the worth of a calm
/// day was earned then, 0.995 with this.
const HOLD_AHEAD_PASSES: u64 = 2;

/// The same where passes are long: orders arrive within a third of one, and a change
/// that relieves a slow rank would wait a whole pass more for nothing.
const HOLD_AHEAD_LONG_PASSES: u64 = 1;

/// How long passes have to be for that. Orders take some 45 ms.
const LONG_PASS_DURATION: Duration = Duration::from_millis(150);

/// The rank that holds passes, where there is more than one: not the lead's own.
pub const HOLDER_RANK: u16 = 1;

/// After how long an order is sent again whose effect no report shows. Answers
/// come within milliseconds, reports with them, and a pass may be held meanwhile.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// After how long a rank is told again to copy. Copying one expert takes 0.15 s,
/// and the order carries the whole map.
const PREPARE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// How long a rank may take to copy, beyond the time that the copy itself takes.
const PREPARE_SLACK: Duration = Duration::from_millis(2_500);

/// How old a report may be that a held pass is judged by.
const STALE_REPORT_AGE: Duration = Duration::from_millis(400);

/// How long the holder has to show that it holds a pass. Without that the change
/// is given up, or the group would wait for a holder that is out of reach.
const HOLD_TIMEOUT: Duration = Duration::from_millis(400);

/// How old the word may be that a pass is held when ranks are told to arm for
/// it. A lead that was frozen must not act on what it knew before: another
/// agent stands in after [`STALE_REPORT_AGE`] at the soonest.
const CONFIRMED_REPORT_AGE: Duration = Duration::from_millis(100);

/// How long a pass must have been held before a deputy or a lead that doesn't
/// know why looks into it: a change that goes well holds none.
const MAX_HOLD_TIME: Duration = Duration::from_millis(150);

/// Where a change stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No change.
    Idle,
    /// Ranks copy.
    Preparing { version: u64, until: Duration },
    /// The pass is to be held.
    Holding {
        version: u64,
        step: u64,
        until: Duration,
    },
    /// Ranks are to be armed.
    Arming { version: u64, step: u64 },
    /// The pass is to begin.
    Releasing { version: u64, step: u64 },
    /// No order of a lead to arm is to be given any more.
    BlockingArming { step: u64 },
    /// All ranks are to be armed, whoever began that.
    Finishing { version: u64, step: u64 },
}

/// One rank as the machine knows it.
#[derive(Debug, Clone, Copy, Default)]
struct RankState {
    report: Option<(Report, Duration)>,
    /// When it was last sent an order.
    last_order_at: Option<Duration>,
}

impl RankState {
    /// Whether a report that was made in time says so.
    fn matches_recently(&self, now: Duration, predicate: impl Fn(&Report) -> bool) -> bool {
        let fresh = self
            .report
            .filter(|(_, at)| now.saturating_sub(*at) <= STALE_REPORT_AGE);
        fresh.is_some_and(|(report, _)| predicate(&report))
    }
}

/// The changes of one group's map, as its lead or a deputy makes them.
#[derive(Debug)]
pub struct Switch {
    epoch: u64,
    ranks: Vec<RankState>,
    phase: Phase,
    /// Since when the keeper's report shows a held pass that isn't ours.
    orphaned_hold: Option<(u64, Duration)>,
    /// The newest pass that was reported, when that was, and how long passes took
    /// until then.
    latest_pass: (u64, Duration),
    pass_duration: Duration,
    /// The ranks for which the last change that was given up had waited.
    unprepared_ranks: Vec<usize>,
}

impl Switch {
    /// A machine for a group of so many ranks that knows nothing yet.
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

    /// The ranks that had not copied, or not said so lately, when the last change was
    /// given up.
    #[must_use]
    pub fn unprepared_ranks(&self) -> &[usize] {
        &self.unprepared_ranks
    }

    /// Whether no change is under way.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// The group's epoch, as far as known.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes a rank's report in.
    pub fn report(&mut self, now: Duration, rank: usize, report: Report) {
        if report.epoch > self.epoch {
            // The group formed anew: with the first map, and with nothing
            // prepared, armed or held. All that was known is void.
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

    /// Takes the time of passes.
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

    /// The pass to hold: soon, but late enough for the orders to arrive.
    fn pass_to_hold(&self) -> u64 {
        let ahead = if self.pass_duration >= LONG_PASS_DURATION {
            HOLD_AHEAD_LONG_PASSES
        } else {
            HOLD_AHEAD_PASSES
        };
        self.latest_step() + ahead
    }

    /// Whether all ranks use one map and nothing stands in the way of a change.
    #[must_use]
    pub fn is_ready(&self, now: Duration) -> bool {
        let fresh = |rank: &RankState| match rank.report {
            Some((report, at)) => {
                now.saturating_sub(at) <= STALE_REPORT_AGE
                    && report.armed.is_none()
                    && report.held.is_none()
            }
            None => false,
        };
        let first = self.ranks.first().and_then(|rank| rank.report);
        let same = |rank: &RankState| rank.report.map(|(r, _)| r.map) == first.map(|(r, _)| r.map);
        self.is_idle() && self.ranks.iter().all(|rank| fresh(rank) && same(rank))
    }

    /// The version that the first rank uses, as far as its reports tell.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_coordination::switch::{Report, Switch};
    ///
    /// let mut switch = Switch::new(1);
    /// assert_eq!(switch.map_version(), None);
    /// switch.report(Duration::ZERO, 0, Report { epoch: 1, map: 7, ..Report::default() });
    /// assert_eq!(switch.map_version(), Some(7));
    /// ```
    #[must_use]
    pub fn map_version(&self) -> Option<u64> {
        let first = self.ranks.first()?.report;
        first.map(|(report, _)| report.map)
    }

    /// The highest version that any rank has had, as far as reports tell.
    #[must_use]
    pub fn highest_version(&self) -> u64 {
        let versions = |(report, _): (Report, Duration)| {
            let known = [Some(report.map), report.prepared, report.armed];
            known.into_iter().flatten().max()
        };
        let highest = self.ranks.iter().filter_map(|rank| versions(rank.report?));
        highest.max().unwrap_or(0)
    }

    /// Begins a change to a version that no rank has had, whose copies take so
    /// long at the rank that has most.
    pub fn start(&mut self, now: Duration, version: u64, copy_duration: Duration) {
        self.enter_phase(Phase::Preparing {
            version,
            until: now + copy_duration * 2 + PREPARE_SLACK,
        });
    }

    /// Goes on to a phase; its orders are sent at once.
    fn enter_phase(&mut self, phase: Phase) {
        self.phase = phase;
        for rank in &mut self.ranks {
            rank.last_order_at = None;
        }
    }

    /// Whether a report of every rank that was made in time says so.
    fn all_match_recently(&self, now: Duration, predicate: impl Fn(&Report) -> bool) -> bool {
        self.ranks
            .iter()
            .all(|rank| rank.matches_recently(now, &predicate))
    }

    /// Whether a rank said so at any time in this epoch.
    fn last_report_matches(&self, rank: usize, predicate: impl Fn(&Report) -> bool) -> bool {
        let report = self.ranks.get(rank).and_then(|rank| rank.report);
        report.is_some_and(|(report, _)| predicate(&report))
    }

    /// Whether all ranks are armed for a version, or use it.
    ///
    /// An armed rank stays so until the pass begins, so a word that it is holds
    /// however old it is: a lead that froze behind arming its own rank, and had said
    /// so, is not waited for.
    fn is_armed(&self, version: u64) -> bool {
        let armed = |report: &Report| report.armed == Some(version) || report.map == version;
        (0..self.ranks.len()).all(|rank| self.last_report_matches(rank, armed))
    }

    /// The newest pass that any rank has begun.
    fn latest_step(&self) -> u64 {
        let steps = self.ranks.iter().filter_map(|rank| rank.report);
        steps.map(|(report, _)| report.step).max().unwrap_or(0)
    }

    /// The rank that holds passes.
    fn holder_rank(&self) -> usize {
        usize::from(HOLDER_RANK).min(self.ranks.len().saturating_sub(1))
    }

    /// What the holder holds, as far as it said lately.
    fn held_step(&self, now: Duration) -> Option<u64> {
        let (report, at) = self.ranks.get(self.holder_rank())?.report?;
        report
            .held
            .filter(|_| now.saturating_sub(at) <= CONFIRMED_REPORT_AGE)
    }

    /// Whether the keeper said lately that it doesn't hold a pass.
    fn is_released(&self, now: Duration, step: u64) -> bool {
        let holder = self
            .ranks
            .get(self.holder_rank())
            .and_then(|rank| rank.report);
        holder.is_some_and(|(report, at)| {
            now.saturating_sub(at) <= CONFIRMED_REPORT_AGE && report.held != Some(step)
        })
    }

    /// Whether the pass has begun at a rank without the map of this version.
    fn began_on_other_map(&self, now: Duration, version: u64, step: u64) -> bool {
        self.ranks
            .iter()
            .filter_map(|rank| rank.report)
            .any(|(report, at)| {
                now.saturating_sub(at) <= STALE_REPORT_AGE
                    && report.step >= step
                    && report.map != version
            })
    }

    /// The orders to send now, and how the change ended, if it did.
    pub fn poll(&mut self, now: Duration) -> (Vec<RankOrder>, Option<SwitchOutcome>) {
        let ended = self.advance(now);
        (self.orders(now), ended)
    }

    /// Goes from phase to phase as far as reports allow.
    fn advance(&mut self, now: Duration) -> Option<SwitchOutcome> {
        match self.phase {
            Phase::Idle => {
                self.detect_orphaned_hold(now);
                None
            }
            Phase::Preparing { version, until } => {
                if self.all_match_recently(now, |report| report.prepared == Some(version)) {
                    let step = self.pass_to_hold();
                    let until = now + HOLD_TIMEOUT;
                    self.enter_phase(Phase::Holding {
                        version,
                        step,
                        until,
                    });
                } else if now >= until {
                    let copied = |report: &Report| report.prepared == Some(version);
                    let not_prepared =
                        |rank: &usize| !self.ranks[*rank].matches_recently(now, copied);
                    self.unprepared_ranks = (0..self.ranks.len()).filter(not_prepared).collect();
                    self.enter_phase(Phase::Idle);
                    return Some(SwitchOutcome::Abandoned(version));
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
                    // The pass began before it was held; nothing is armed yet.
                    let step = self.pass_to_hold();
                    self.enter_phase(Phase::Holding {
                        version,
                        step,
                        until,
                    });
                } else if now >= until {
                    // A lead that froze meanwhile may have been stood in for: the pass
                    // may be held still, and some ranks armed for it. So what is given
                    // up here ends like what is found.
                    self.enter_phase(Phase::BlockingArming { step });
                }
                None
            }
            Phase::Arming { version, step } => {
                if self.is_armed(version) {
                    self.enter_phase(Phase::Releasing { version, step });
                } else if self.began_on_other_map(now, version, step) {
                    // Another agent stood in and let the pass begin.
                    self.enter_phase(Phase::Idle);
                    return Some(SwitchOutcome::Abandoned(version));
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
                        SwitchOutcome::Abandoned(version)
                    } else {
                        SwitchOutcome::Completed(version)
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

    /// Whether some agent gives no order of a lead to arm for a pass any more.
    fn is_arming_blocked(&self, step: u64) -> bool {
        let blocked = |rank: &RankState| {
            rank.report
                .is_some_and(|(report, _)| report.arming_blocked_through >= step)
        };
        self.ranks.iter().skip(1).any(blocked)
    }

    /// Whether a report in time of every rank but the first says so.
    fn others_match_recently(&self, now: Duration, predicate: impl Fn(&Report) -> bool) -> bool {
        let mut others = self.ranks.iter().skip(1);
        others.all(|rank| rank.matches_recently(now, &predicate))
    }

    /// Decides how a held pass begins that is barred at all agents but the
    /// first rank's; nothing, where the first rank has to be waited for.
    fn resolve_hold(&mut self, now: Duration, step: u64) {
        let version = self.highest_version();
        let copied = |report: &Report| {
            [Some(report.map), report.prepared, report.armed].contains(&Some(version))
        };
        let not_armed = |report: &Report| report.last_arm_step < step && report.armed.is_none();
        if self.others_match_recently(now, not_armed) {
            // The lead arms its own rank behind another one, so it isn't armed either.
            self.enter_phase(Phase::Releasing { version: 0, step });
        } else if self.others_match_recently(now, copied) && self.last_report_matches(0, copied) {
            self.enter_phase(Phase::Finishing { version, step });
        } else if self.all_match_recently(now, |report| report.armed.is_none()) {
            // Ranks are armed only once all have copied. Some haven't, so what is
            // held is left from an earlier change, whose map nobody can take any
            // more.
            self.enter_phase(Phase::Releasing { version: 0, step });
        }
    }

    /// Looks into a pass that is held though no change is under way: its lead
    /// died, or the order to hold was carried out late.
    fn detect_orphaned_hold(&mut self, now: Duration) {
        let Some(step) = self.held_step(now) else {
            if self
                .ranks
                .get(self.holder_rank())
                .and_then(|rank| rank.report)
                .is_some_and(|(r, _)| r.held.is_none())
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

    /// Whether the lead may arm its own rank: once another one is armed.
    ///
    /// Who stands in for a lead learns from the other agents whether any was told to
    /// arm, and takes the first rank for untouched if none was. The sooner it follows
    /// the others, the shorter the moment in which a lead that freezes leaves its own
    /// rank behind, which nobody can arm then.
    fn may_arm_first_rank(&self, version: u64) -> bool {
        let armed = |report: &Report| report.armed == Some(version) || report.map == version;
        let mut others = 1..self.ranks.len();
        others.is_empty() || others.any(|rank| self.last_report_matches(rank, armed))
    }

    /// The orders of the phase to those ranks that don't show their effect.
    fn orders(&mut self, now: Duration) -> Vec<RankOrder> {
        let phase = self.phase;
        let holder = self.holder_rank();
        // Arming is only for a pass that is known to be held.
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
                    (report.prepared != Some(version)).then_some(Order::Prepare { version })
                }
                Phase::Holding { step, .. } => (rank == holder).then_some(Order::Hold { step }),
                Phase::Arming { version, step } => {
                    let may_arm = rank > 0 || may_arm_first;
                    let armed = report.armed == Some(version) || report.map == version;
                    (hold_confirmed && may_arm && !armed).then_some(Order::Arm { version, step })
                }
                Phase::Releasing { step, .. } => (rank == holder).then_some(Order::Go { step }),
                Phase::BlockingArming { step } => (rank > 0
                    && report.arming_blocked_through < step)
                    .then_some(Order::BlockArming { step }),
                Phase::Finishing { version, step } => {
                    let armed = report.armed == Some(version) || report.map == version;
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
