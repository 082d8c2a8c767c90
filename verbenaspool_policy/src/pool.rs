//! The upstreams of the entry's subset, and what is measured of each.

use std::{collections::HashMap, time::Duration};

use verbenaspool_state::{decisions::Decisions, name::Name};

use crate::{
    affinity::Key,
    attempt::Ending,
    health::Health,
    limit::Limit,
    load::Report,
    mechanism::{Mechanism, Set},
    member::Member,
    pace::Pace,
};

/// The interval between outlier checks: short enough to act within a second, and long
/// enough that comparing all members costs little.
const OUTLIER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The age at which a load report is discarded. Reports are usually seconds late; after
/// ten seconds the reported load is gone.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// The weight of a report's difference from the mean. Reports are late, so part of the
/// difference is gone when they arrive. With a weight of 1, entries that see the same
/// report all move together; with 0, work leaves the entry's zone at random.
const REPORT_WEIGHT: f64 = 0.5;
/// The most running and waiting requests accepted from a report; a higher number is
/// capped, so that an implausible report can't exclude an upstream for good.
const MAX_REPORTED_REQUESTS: u32 = 100_000;
/// The least number of upstreams among which an outlier can be identified.
const MIN_UPSTREAMS_FOR_EJECTION: usize = 3;
/// The plausible range of a member's speed; a value outside it is not a measurement and
/// is clamped.
const SPEED_RANGE: (f64, f64) = (0.05, 20.0);

/// An upstream and its measured state.
#[derive(Debug)]
pub struct Upstream {
    /// The upstream as listed by the service, with its speed clamped.
    pub member: Member,
    /// Whether it is in the entry's own zone.
    pub local: bool,
    /// Identifies this upstream; a replacement of the same name has another serial.
    pub serial: u64,
    /// Identifies the content of its prefix cache; changes when the cache is emptied.
    pub cache: Key,
    /// Attempts in flight from this entry.
    pub in_flight: u32,
    /// Requests of other entries at the upstream, from the last report.
    pub other_requests: f64,
    /// The measured pace.
    pub pace: Pace,
    /// The adaptive concurrency limit.
    limit: Limit,
    /// Failures and ejections.
    health: Health,
    /// The sequence number of the last report, and when it arrived.
    last_report: Option<(u64, Duration)>,
}

impl Upstream {
    /// The most attempts in flight now; 0 while the upstream is leaving or ejected.
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

/// The upstreams in the order of the chosen subset, and measurements over all of them.
#[derive(Debug)]
pub struct Pool {
    /// The mean number of other entries' requests per upstream.
    mean_other_requests: f64,
    /// The entry's own zone.
    zone: Name,
    /// Work per second that the upstreams do for this entry, once a pace is known.
    capacity: Option<f64>,
    upstreams: Vec<Upstream>,
    /// The index of each upstream by name.
    index_by_name: HashMap<Name, usize>,
    /// The pace over all upstreams.
    pace: Pace,
    /// The last serial or cache key assigned.
    serial: u64,
    /// When outliers are checked next.
    next_outlier_check: Duration,
    /// Ejections so far.
    pub ejections: u64,
    /// Reports ignored so far.
    pub ignored_reports: u64,
    /// The enabled mechanisms.
    pub mechanisms: Set,
}

impl Pool {
    /// Creates a pool without upstreams.
    #[must_use]
    pub fn new(zone: Name, mechanisms: Set) -> Self {
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

    /// Replaces the members. The caller filters out those that are leaving.
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

    /// Creates the state of a new upstream, with the initial limit.
    fn new_upstream(&mut self, member: &Member, settings: &Decisions) -> Upstream {
        self.serial += 2;
        Upstream {
            member: member.clone(),
            local: member.zone == self.zone,
            serial: self.serial,
            cache: Key(self.serial),
            in_flight: 0,
            other_requests: 0.0,
            pace: Pace::default(),
            limit: Limit::new(settings.initial_limit),
            health: Health::default(),
            last_report: None,
        }
    }

    /// Whether any upstream takes new work.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.upstreams
            .iter()
            .any(|upstream| !upstream.member.leaving)
    }

    /// Returns the index of an upstream by name.
    #[must_use]
    pub fn index_of(&self, name: &Name) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    /// Returns the index of the upstream that an attempt was sent to, if it is still in
    /// the pool.
    #[must_use]
    pub fn index_of_serial(&self, name: &Name, serial: u64) -> Option<usize> {
        self.index_of(name)
            .filter(|&index| self.upstreams[index].serial == serial)
    }

    /// Counts an attempt as in flight.
    pub fn start(&mut self, index: usize) {
        self.upstreams[index].in_flight += 1;
    }

    /// Records the end of an attempt that took `seconds` and did `work`.
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

    /// Applies a load report.
    pub fn report(&mut self, now: Duration, name: &Name, load: &Report) {
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

    /// Discards what is known of an upstream's prefix cache.
    pub fn reset_cache(&mut self, index: usize) {
        self.serial += 2;
        self.upstreams[index].cache = Key(self.serial);
    }

    /// Checks for outliers and updates the capacity, at most once per
    /// [`OUTLIER_CHECK_INTERVAL`]; returns whether it did.
    pub fn refresh(&mut self, now: Duration, settings: &Decisions) -> bool {
        // A clock that jumped back would leave the next check far in the future.
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

    /// How many more upstreams may be ejected; at least one in total, however small the
    /// share.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn ejectable(&self, now: Duration, settings: &Decisions) -> usize {
        // A subset has at most some thousands of upstreams, so the casts are exact
        // enough.
        let max_ejected = (self.upstreams.len() as f64 * settings.ejection_share) as usize;
        let ejected = self
            .upstreams
            .iter()
            .filter(|u| u.health.is_ejected(now))
            .count();
        max_ejected.max(1).saturating_sub(ejected)
    }

    /// The median pace, each normalized by its member's speed.
    fn median(&self) -> Option<f64> {
        let mut paces: Vec<f64> = self
            .upstreams
            .iter()
            .filter_map(|upstream| Some(upstream.pace.mean()? * upstream.member.speed))
            .collect();
        paces.sort_unstable_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied()
    }

    /// The pace over all upstreams.
    #[must_use]
    pub fn pace(&self) -> Option<f64> {
        self.pace.mean()
    }

    /// The expected pace of an upstream: its own or, before that is known, the mean pace
    /// adjusted by its speed.
    #[must_use]
    pub fn pace_of(&self, upstream: &Upstream) -> f64 {
        let mean_pace = self.pace.mean().unwrap_or(1.0) / upstream.member.speed;
        if self.mechanisms.has(Mechanism::Pace) {
            upstream.pace.mean().unwrap_or(mean_pace)
        } else {
            1.0
        }
    }

    /// Whether an upstream's limit allows another attempt.
    #[must_use]
    pub fn is_below_limit(&self, now: Duration, index: usize) -> bool {
        let upstream = &self.upstreams[index];
        f64::from(upstream.in_flight) + 1.0 <= upstream.limit(now)
    }

    /// The load score of an upstream: its requests plus one, weighted by its pace. Lower
    /// is better.
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

    /// Work per second that the upstreams do for this entry, once a pace is known.
    #[must_use]
    pub fn capacity(&self) -> Option<f64> {
        self.capacity
    }

    /// Computes the mean number of other entries' requests per upstream.
    #[allow(clippy::cast_precision_loss)] // A subset is some thousands at most.
    fn compute_mean_other_requests(&self) -> f64 {
        let sum: f64 = self
            .upstreams
            .iter()
            .map(|upstream| upstream.other_requests)
            .sum();
        sum / self.upstreams.len().max(1) as f64
    }

    /// Updates the capacity and the mean number of other requests.
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

/// Returns a member's speed clamped to [`SPEED_RANGE`], or 1 if it is not a positive
/// finite number.
fn sanitize_speed(reported: f64) -> f64 {
    if reported.is_finite() && reported > 0.0 {
        reported.clamp(SPEED_RANGE.0, SPEED_RANGE.1)
    } else {
        1.0
    }
}
