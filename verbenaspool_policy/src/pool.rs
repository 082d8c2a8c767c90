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
const TICK: Duration = Duration::from_millis(250);
/// The age at which a load report no longer counts. Reports are seconds late as
/// a rule; after ten the load they speak of is gone.
const STALE: Duration = Duration::from_secs(10);
/// How much of a report's difference from the mean counts. Reports are late, so
/// a part of it is gone when they arrive; with all of it, entries that see the
/// same report move together, and with none they leave their zone by chance.
const TRUST: f64 = 0.5;
/// The most running and waiting requests that a report may claim; more is taken
/// as this, so that an absurd report can't shut an upstream out for good.
const ABSURD: u32 = 100_000;
/// Upstreams needed to tell which one is the outlier.
const FEW: usize = 3;
/// The bounds of a member's speed; outside them the figure is no measurement.
const SPEEDS: (f64, f64) = (0.05, 20.0);

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
    pub others: f64,
    /// How long it takes for a unit of work.
    pub pace: Pace,
    /// Its adaptive limit.
    limit: Limit,
    /// Its record.
    health: Health,
    /// The last report's sequence and when it came.
    reported: Option<(u64, Duration)>,
}

impl Upstream {
    /// The most attempts in flight now; 0 while it is out.
    #[must_use]
    pub fn limit(&self, now: Duration) -> f64 {
        if self.member.leaving || self.is_out(now) {
            return 0.0;
        }
        self.limit.get()
    }

    /// Whether it is ejected.
    #[must_use]
    pub fn is_out(&self, now: Duration) -> bool {
        self.health.is_out(now)
    }
}

/// The upstreams, in the order of the chosen subset.
#[derive(Debug)]
pub struct Pool {
    /// The mean of what other entries have at an upstream.
    others: f64,
    /// The entry's own zone.
    zone: Name,
    /// The work a second that the upstreams do for this entry, once a pace is known.
    capacity: Option<f64>,
    /// The upstreams.
    list: Vec<Upstream>,
    /// Where each stands.
    places: HashMap<Name, usize>,
    /// The pace of all together.
    pace: Pace,
    /// The last serial or cache key given out.
    serial: u64,
    /// When outliers are looked for next.
    tick: Duration,
    /// Ejections so far.
    pub ejections: u64,
    /// Reports ignored so far.
    pub ignored: u64,
    /// The mechanisms in use.
    pub mechanisms: Mechanisms,
}

impl Pool {
    /// A pool without upstreams.
    #[must_use]
    pub fn new(zone: Name, mechanisms: Mechanisms) -> Self {
        Self {
            zone,
            others: 0.0,
            capacity: None,
            list: Vec::new(),
            places: HashMap::new(),
            pace: Pace::default(),
            serial: 0,
            tick: Duration::ZERO,
            ejections: 0,
            ignored: 0,
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
    pub fn list(&self) -> &[Upstream] {
        &self.list
    }

    /// Takes the members to work with; leaving ones are left out by the caller.
    pub fn set(&mut self, now: Duration, members: &[&Member], settings: &Decisions) {
        let mut before: HashMap<Name, Upstream> = self
            .list
            .drain(..)
            .map(|upstream| (upstream.member.name.clone(), upstream))
            .collect();
        self.places.clear();
        for &member in members {
            let kept = before
                .remove(&member.name)
                .filter(|kept| kept.member.incarnation == member.incarnation);
            let mut upstream = kept.unwrap_or_else(|| self.join(member, settings));
            upstream.member = member.clone();
            upstream.local = member.zone == self.zone;
            upstream.member.speed = speed(member.speed);
            self.places.insert(member.name.clone(), self.list.len());
            self.list.push(upstream);
        }
        self.measure(now);
    }

    /// An upstream that joins, with the limit that new ones start with.
    fn join(&mut self, member: &Member, settings: &Decisions) -> Upstream {
        self.serial += 2;
        Upstream {
            member: member.clone(),
            local: member.zone == self.zone,
            serial: self.serial,
            cache: CacheKey(self.serial),
            in_flight: 0,
            others: 0.0,
            pace: Pace::default(),
            limit: Limit::new(settings.initial_limit),
            health: Health::default(),
            reported: None,
        }
    }

    /// Whether any upstream takes new work at all.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.list.iter().any(|upstream| !upstream.member.leaving)
    }

    /// The place of an upstream by name.
    #[must_use]
    pub fn place(&self, name: &Name) -> Option<usize> {
        self.places.get(name).copied()
    }

    /// The place of the upstream that an attempt was sent to, if it is still there.
    #[must_use]
    pub fn find(&self, name: &Name, serial: u64) -> Option<usize> {
        self.place(name)
            .filter(|&place| self.list[place].serial == serial)
    }

    /// Counts an attempt as in flight.
    pub fn start(&mut self, place: usize) {
        self.list[place].in_flight += 1;
    }

    /// Learns from an attempt that ended after `seconds` and did `work`.
    pub fn finish(
        &mut self,
        now: Duration,
        place: usize,
        ending: Ending,
        seconds: f64,
        work: f64,
        most: u32,
    ) {
        let adapts = self.mechanisms.has(Mechanism::Limits);
        let upstream = &mut self.list[place];
        let in_flight = upstream.in_flight;
        upstream.in_flight = in_flight.saturating_sub(1);
        match ending {
            Ending::Ran => {
                upstream.health.succeed();
                upstream.pace.record(seconds, work);
                self.pace.record(seconds, work);
                if adapts && let Some(pace) = upstream.pace.mean() {
                    upstream.limit.learn(now, pace, work, in_flight, most);
                }
            }
            Ending::NotRun | Ending::Unknown => upstream.health.fail(),
            Ending::Cancelled => {}
        }
    }

    /// Learns from a load report.
    pub fn report(&mut self, now: Duration, name: &Name, load: &LoadReport) {
        let Some(place) = self.place(name) else {
            self.ignored += 1;
            return;
        };
        let upstream = &mut self.list[place];
        let reordered = upstream
            .reported
            .is_some_and(|(last, _)| load.sequence <= last);
        if load.incarnation != upstream.member.incarnation || reordered {
            self.ignored += 1;
            return;
        }
        upstream.reported = Some((load.sequence, now));
        upstream.member.leaving |= load.leaving;
        if load.waiting > 0 && self.mechanisms.has(Mechanism::Limits) {
            upstream.limit.crowd();
        }
        let total = load.running.saturating_add(load.waiting).min(ABSURD);
        upstream.others = f64::from(total.saturating_sub(upstream.in_flight));
    }

    /// Forgets what was known of an upstream's cache.
    pub fn reset_cache(&mut self, place: usize) {
        self.serial += 2;
        self.list[place].cache = CacheKey(self.serial);
    }

    /// Looks for outliers and adds the capacity up, at most once a [`TICK`];
    /// whether it did.
    pub fn refresh(&mut self, now: Duration, settings: &Decisions) -> bool {
        // A clock that jumped back would leave a tick that is far off.
        if now < self.tick && self.tick.saturating_sub(now) <= TICK {
            return false;
        }
        self.tick = now.saturating_add(TICK);
        if self.mechanisms.has(Mechanism::Ejection) && self.list.len() >= FEW {
            self.eject(now, settings);
        }
        self.measure(now);
        true
    }

    /// Ejects outliers.
    fn eject(&mut self, now: Duration, settings: &Decisions) {
        let median = self.median();
        let mut room = self.ejectable(now, settings);
        for upstream in &mut self.list {
            let pace = upstream
                .pace
                .mean()
                .map(|pace| pace * upstream.member.speed);
            let bad = upstream.health.is_bad(
                pace,
                upstream.pace.attempts(),
                median,
                settings.ejection_factor,
            );
            if room == 0 {
                break;
            }
            if bad && !upstream.health.is_out(now) {
                room -= 1;
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
        let most = (self.list.len() as f64 * settings.ejection_share) as usize;
        let out = self.list.iter().filter(|u| u.health.is_out(now)).count();
        most.max(1).saturating_sub(out)
    }

    /// The median pace, each made comparable by its member's speed.
    fn median(&self) -> Option<f64> {
        let mut paces: Vec<f64> = self
            .list
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
        let common = self.pace.mean().unwrap_or(1.0) / upstream.member.speed;
        if self.mechanisms.has(Mechanism::Pace) {
            upstream.pace.mean().unwrap_or(common)
        } else {
            1.0
        }
    }

    /// Whether an upstream takes another attempt.
    #[must_use]
    pub fn has_room(&self, now: Duration, place: usize) -> bool {
        let upstream = &self.list[place];
        f64::from(upstream.in_flight) + 1.0 <= upstream.limit(now)
    }

    /// How loaded an upstream looks: what is there and one more, by its pace.
    #[must_use]
    pub fn score(&self, now: Duration, place: usize) -> f64 {
        let upstream = &self.list[place];
        let fresh = upstream
            .reported
            .is_some_and(|(_, at)| now.saturating_sub(at) < STALE);
        let others = if !self.mechanisms.has(Mechanism::Reports) {
            0.0
        } else if fresh {
            self.others + TRUST * (upstream.others - self.others)
        } else {
            self.others
        };
        (f64::from(upstream.in_flight) + others + 1.0) * self.pace_of(upstream)
    }

    /// The work a second that the upstreams do for this entry, once a pace is known.
    #[must_use]
    pub fn capacity(&self) -> Option<f64> {
        self.capacity
    }

    /// The mean of what other entries have at an upstream.
    #[allow(clippy::cast_precision_loss)] // A subset is some thousands at most.
    fn mean_others(&self) -> f64 {
        let sum: f64 = self.list.iter().map(|upstream| upstream.others).sum();
        sum / self.list.len().max(1) as f64
    }

    /// Adds the capacity up.
    fn measure(&mut self, now: Duration) {
        self.others = self.mean_others();
        let Some(common) = self.pace() else {
            return;
        };
        let rate = |upstream: &Upstream| {
            let expected = common / upstream.member.speed;
            upstream.limit(now) / upstream.pace.mean().unwrap_or(expected)
        };
        self.capacity = Some(self.list.iter().map(rate).sum());
    }
}

/// A member's speed as far as it is a measurement; 1 where it is none.
fn speed(given: f64) -> f64 {
    if given.is_finite() && given > 0.0 {
        given.clamp(SPEEDS.0, SPEEDS.1)
    } else {
        1.0
    }
}
