//! The upstreams that the entry works with, and what it knows about each.

use std::{collections::HashMap, time::Duration};

use verbenaspool_state::{decisions::Decisions, name::Name};

use crate::{
    affinity::CacheKey,
    attempt::Ending,
    health::Health,
    limit::Limit,
    load::LoadReport,
    mechanism::{Mechanism, Mechanisms},
    member::Member,
    pace::Pace,
};

/// How often outliers are looked for: often enough to act within a second, and
/// rarely enough that the comparison of all members costs nothing.
const OUTLIER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The age at which a load report no longer counts. Reports are seconds late as
/// a rule; after ten the load they speak of is gone.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// How much of a report's difference from the mean counts. Reports are late, so
/// a part of it is gone when they arrive; with all of it, entries that see the
/// same report move together, and with none they leave their zone by chance.
const REPORT_WEIGHT: f64 = 0.5;
/// The most running and waiting requests that a report may claim; more is taken
/// as this, so that an absurd report can't shut an upstream out for good.
const MAX_REPORTED_REQUESTS: u32 = 100_000;
/// Upstreams needed to tell which one is the outlier.
const MIN_UPSTREAMS_FOR_EJECTION: usize = 3;
/// The bounds of a member's speed; outside them the figure is no measurement.
const SPEED_RANGE: (f64, f64) = (0.05, 20.0);

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// What the list says of it.
    pub member: Member,
    /// Whether it stands in the entry's own zone.
    pub local: bool,
    /// Stands for this upstream; a later one in the same place has another.
    pub serial: u64,
    /// Stands for its cache; changes when the cache is emptied.
    pub cache: CacheKey,
    /// Attempts in flight from this entry.
    pub in_flight: u32,
    /// Requests of other entries there, by the last report.
    pub other_requests: f64,
    /// How long it takes for a unit of work.
    pub pace: Pace,
    /// Its adaptive limit.
    limit: Limit,
    /// Its record.
    health: Health,
    /// The last report's sequence and when it came.
    last_report: Option<(u64, Duration)>,
}

impl Upstream {
    /// The most attempts in flight now; 0 while it is out.
    #[must_use]
    pub fn limit(&self, now: Duration) -> f64 {
        if self.member.leaving || self.is_ejected(now) {
            return 0.0;
        }
        self.limit.get()
    }

    /// Whether it is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.health.is_ejected(now)
    }
}

/// The upstreams, in the order of the chosen subset.
#[derive(Debug)]
pub struct Pool {
    /// The mean of what other entries have at an upstream.
    mean_other_requests: f64,
    /// The entry's own zone.
    zone: Name,
    /// The work a second that the upstreams do for this entry, once a pace is known.
    capacity: Option<f64>,
    /// The upstreams.
    upstreams: Vec<Upstream>,
    /// Where each stands.
    index_by_name: HashMap<Name, usize>,
    /// The pace of all together.
    pace: Pace,
    /// The last serial or cache key given out.
    serial: u64,
    /// When outliers are looked for next.
    next_outlier_check: Duration,
    /// Ejections so far.
    pub ejections: u64,
    /// Reports ignored so far.
    pub ignored_reports: u64,
    /// The mechanisms in use.
    pub mechanisms: Mechanisms,
}

impl Pool {
    /// A pool without upstreams.
    #[must_use]
    pub fn new(zone: Name, mechanisms: Mechanisms) -> Self {
        Self {
            zone,
            mean_other_requests: 0.0,
            capacity: None,
            upstreams: Vec::new(),
            index_by_name: HashMap::new(),
            pace: Pace::default(),
            serial: 0,
            next_outlier_check: Duration::ZERO,
            ejections: 0,
            ignored_reports: 0,
            mechanisms,
        }
    }

    /// The entry's own zone.
    #[must_use]
    pub fn zone(&self) -> &Name {
        &self.zone
    }

    /// The upstreams.
    #[must_use]
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Takes the members to work with; leaving ones are left out by the caller.
    pub fn set_members(&mut self, now: Duration, members: &[&Member], settings: &Decisions) {
        let mut previous: HashMap<Name, Upstream> = self
            .upstreams
            .drain(..)
            .map(|upstream| (upstream.member.name.clone(), upstream))
            .collect();
        self.index_by_name.clear();
        for &member in members {
            let existing = previous
                .remove(&member.name)
                .filter(|existing| existing.member.incarnation == member.incarnation);
            let mut upstream = existing.unwrap_or_else(|| self.new_upstream(member, settings));
            upstream.member = member.clone();
            upstream.local = member.zone == self.zone;
            upstream.member.speed = sanitize_speed(member.speed);
            self.index_by_name
                .insert(member.name.clone(), self.upstreams.len());
            self.upstreams.push(upstream);
        }
        self.update_capacity(now);
    }

    /// An upstream that joins, with the limit that new ones start with.
    fn new_upstream(&mut self, member: &Member, settings: &Decisions) -> Upstream {
        self.serial += 2;
        Upstream {
            member: member.clone(),
            local: member.zone == self.zone,
            serial: self.serial,
            cache: CacheKey(self.serial),
            in_flight: 0,
            other_requests: 0.0,
            pace: Pace::default(),
            limit: Limit::new(settings.initial_limit),
            health: Health::default(),
            last_report: None,
        }
    }

    /// Whether any upstream takes new work at all.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.upstreams
            .iter()
            .any(|upstream| !upstream.member.leaving)
    }

    /// The place of an upstream by name.
    #[must_use]
    pub fn index_of(&self, name: &Name) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    /// The place of the upstream that an attempt was sent to, if it is still there.
    #[must_use]
    pub fn index_of_serial(&self, name: &Name, serial: u64) -> Option<usize> {
        self.index_of(name)
            .filter(|&index| self.upstreams[index].serial == serial)
    }

    /// Counts an attempt as in flight.
    pub fn start(&mut self, index: usize) {
        self.upstreams[index].in_flight += 1;
    }

    /// Learns from an attempt that ended after `seconds` and did `work`.
    pub fn finish(
        &mut self,
        now: Duration,
        index: usize,
        ending: Ending,
        seconds: f64,
        work: f64,
        max_limit: u32,
    ) {
        let adapts = self.mechanisms.has(Mechanism::Limits);
        let upstream = &mut self.upstreams[index];
        let in_flight = upstream.in_flight;
        upstream.in_flight = in_flight.saturating_sub(1);
        match ending {
            Ending::Ran => {
                upstream.health.record_success();
                upstream.pace.record(seconds, work);
                self.pace.record(seconds, work);
                if adapts && let Some(pace) = upstream.pace.mean() {
                    upstream.limit.record(now, pace, work, in_flight, max_limit);
                }
            }
            Ending::NotRun | Ending::Unknown => upstream.health.record_failure(),
            Ending::Cancelled => {}
        }
    }

    /// Learns from a load report.
    pub fn report(&mut self, now: Duration, name: &Name, load: &LoadReport) {
        let Some(index) = self.index_of(name) else {
            self.ignored_reports += 1;
            return;
        };
        let upstream = &mut self.upstreams[index];
        let reordered = upstream
            .last_report
            .is_some_and(|(last, _)| load.sequence <= last);
        if load.incarnation != upstream.member.incarnation || reordered {
            self.ignored_reports += 1;
            return;
        }
        upstream.last_report = Some((load.sequence, now));
        upstream.member.leaving |= load.leaving;
        if load.waiting > 0 && self.mechanisms.has(Mechanism::Limits) {
            upstream.limit.shrink_for_engine_queue();
        }
        let total = load
            .running
            .saturating_add(load.waiting)
            .min(MAX_REPORTED_REQUESTS);
        upstream.other_requests = f64::from(total.saturating_sub(upstream.in_flight));
    }

    /// Forgets what was known of an upstream's cache.
    pub fn reset_cache(&mut self, index: usize) {
        self.serial += 2;
        self.upstreams[index].cache = CacheKey(self.serial);
    }

    /// Looks for outliers and adds the capacity up, at most once a [`OUTLIER_CHECK_INTERVAL`];
    /// whether it did.
    pub fn refresh(&mut self, now: Duration, settings: &Decisions) -> bool {
        // A clock that jumped back would leave a tick that is far off.
        if now < self.next_outlier_check
            && self.next_outlier_check.saturating_sub(now) <= OUTLIER_CHECK_INTERVAL
        {
            return false;
        }
        self.next_outlier_check = now.saturating_add(OUTLIER_CHECK_INTERVAL);
        if self.mechanisms.has(Mechanism::Ejection)
            && self.upstreams.len() >= MIN_UPSTREAMS_FOR_EJECTION
        {
            self.eject(now, settings);
        }
        self.update_capacity(now);
        true
    }

    /// Ejects outliers.
    fn eject(&mut self, now: Duration, settings: &Decisions) {
        let median = self.median();
        let mut remaining = self.ejectable(now, settings);
        for upstream in &mut self.upstreams {
            let pace = upstream
                .pace
                .mean()
                .map(|pace| pace * upstream.member.speed);
            let is_outlier = upstream.health.is_outlier(
                pace,
                upstream.pace.attempts(),
                median,
                settings.ejection_factor,
            );
            if remaining == 0 {
                break;
            }
            if is_outlier && !upstream.health.is_ejected(now) {
                remaining -= 1;
                self.ejections += 1;
                upstream.health.eject(now);
                upstream.pace.reset();
                upstream.limit.restart();
            }
        }
    }

    /// How many more may be ejected. One of three may be, however small the share.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn ejectable(&self, now: Duration, settings: &Decisions) -> usize {
        // A subset is some thousands at most, so nothing is lost on the way.
        let max_ejected = (self.upstreams.len() as f64 * settings.ejection_share) as usize;
        let ejected = self
            .upstreams
            .iter()
            .filter(|u| u.health.is_ejected(now))
            .count();
        max_ejected.max(1).saturating_sub(ejected)
    }

    /// The median pace, each made comparable by its member's speed.
    fn median(&self) -> Option<f64> {
        let mut paces: Vec<f64> = self
            .upstreams
            .iter()
            .filter_map(|upstream| Some(upstream.pace.mean()? * upstream.member.speed))
            .collect();
        paces.sort_unstable_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied()
    }

    /// The pace of all together.
    #[must_use]
    pub fn pace(&self) -> Option<f64> {
        self.pace.mean()
    }

    /// The pace to expect of an upstream: its own, or before that is known the
    /// common one by its speed.
    #[must_use]
    pub fn pace_of(&self, upstream: &Upstream) -> f64 {
        let mean_pace = self.pace.mean().unwrap_or(1.0) / upstream.member.speed;
        if self.mechanisms.has(Mechanism::Pace) {
            upstream.pace.mean().unwrap_or(mean_pace)
        } else {
            1.0
        }
    }

    /// Whether an upstream takes another attempt.
    #[must_use]
    pub fn has_capacity(&self, now: Duration, index: usize) -> bool {
        let upstream = &self.upstreams[index];
        f64::from(upstream.in_flight) + 1.0 <= upstream.limit(now)
    }

    /// How loaded an upstream looks: what is there and one more, by its pace.
    #[must_use]
    pub fn score(&self, now: Duration, index: usize) -> f64 {
        let upstream = &self.upstreams[index];
        let report_is_current = upstream
            .last_report
            .is_some_and(|(_, at)| now.saturating_sub(at) < MAX_REPORT_AGE);
        let other_requests = if !self.mechanisms.has(Mechanism::Reports) {
            0.0
        } else if report_is_current {
            self.mean_other_requests
                + REPORT_WEIGHT * (upstream.other_requests - self.mean_other_requests)
        } else {
            self.mean_other_requests
        };
        (f64::from(upstream.in_flight) + other_requests + 1.0) * self.pace_of(upstream)
    }

    /// The work a second that the upstreams do for this entry, once a pace is known.
    #[must_use]
    pub fn capacity(&self) -> Option<f64> {
        self.capacity
    }

    /// The mean of what other entries have at an upstream.
    #[allow(clippy::cast_precision_loss)] // A subset is some thousands at most.
    fn compute_mean_other_requests(&self) -> f64 {
        let sum: f64 = self
            .upstreams
            .iter()
            .map(|upstream| upstream.other_requests)
            .sum();
        sum / self.upstreams.len().max(1) as f64
    }

    /// Adds the capacity up.
    fn update_capacity(&mut self, now: Duration) {
        self.mean_other_requests = self.compute_mean_other_requests();
        let Some(mean_pace) = self.pace() else {
            return;
        };
        let rate = |upstream: &Upstream| {
            let expected = mean_pace / upstream.member.speed;
            upstream.limit(now) / upstream.pace.mean().unwrap_or(expected)
        };
        self.capacity = Some(self.upstreams.iter().map(rate).sum());
    }
}

/// A member's speed as far as it is a measurement; 1 where it is none.
fn sanitize_speed(reported: f64) -> f64 {
    if reported.is_finite() && reported > 0.0 {
        reported.clamp(SPEED_RANGE.0, SPEED_RANGE.1)
    } else {
        1.0
    }
}
