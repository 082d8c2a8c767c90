//! Balancing by learned speed: what responses show about upstreams, and where it leads requests.
//!
//! Load: three upstreams in three zones, of which one is slow, fails, or is in a zone with a wave
//! of traffic. Only where the entry's settings enable it; see `docs/design/uneven-upstreams.md`.

use std::{rc::Rc, time::Duration};

use super::{
    AttemptOutcome, Dispatcher,
    capacity::{self, AdmissionClass, GroupLoad, max_requests},
    probation::Probation,
    speed,
    upstream::Upstream,
    wait_queue::QueuedRequest,
    zone_room::{self, Candidate, Needs, Timeliness},
};

/// How many times longer than the median an upstream takes to count as slow in logs and metrics.
const SLOW_RATIO: f64 = 2.0;

/// Below this ratio a slow upstream doesn't count as slow any more, so that one at the limit isn't
/// logged for each response.
const NOT_SLOW_RATIO: f64 = 1.5;

/// How long after the last request that found no capacity in its own zone the use of other zones
/// counts as ended. Shorter, each fluctuation would be logged.
const OTHER_ZONES_HOLD_TIME: Duration = Duration::from_secs(5);

/// The range of times for which the load that an upstream tells in a response is believed: the
/// requests of others that it counts end within a service time. Digests arrive every 40 ms or
/// more.
const TOLD_LOAD_TTL_S: [f64; 2] = [0.04, 2.0];

/// How much the costs of two ranks of a group may differ for requests to be spread over them. A pass
/// takes as long as that of the busiest rank: with a spread over ranks that differ by one request, 193
/// instead of 292 streams of saturated engines were on time in the simulation.
const RANK_SPREAD: f64 = 0.01;

/// Most changes that are kept until they are logged.
const MAX_CHANGES: usize = 64;

/// Larger numbers that upstreams tell are implausible; no upstream queues as many.
const MAX_TOLD_REQUESTS: u32 = 10_000;

/// The service time in seconds assumed before a response has ended. It only scales costs.
const UNKNOWN_SERVICE_TIME_S: f64 = 1.0;

/// The beginning or the end of a decision, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// An upstream counts as slow, with its service time as a multiple of the median.
    Slow(Rc<str>, f64),
    /// It doesn't any more.
    NotSlow(Rc<str>),
    /// An upstream was ejected because it failed.
    Ejected(Rc<str>),
    /// An upstream that was ejected has its capacity again.
    Returned(Rc<str>),
    /// Requests go to other zones, as the upstreams of the entry's zone have no capacity in time.
    OtherZones,
    /// They don't any more.
    OwnZone,
}

/// Requests and decisions since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were sent to another zone although the entry's own has upstreams.
    pub other_zone_requests: u64,
    /// Ejections of upstreams that failed.
    pub ejections: u64,
    /// Requests to upstreams that were ejected, as no other was left.
    pub last_resort_requests: u64,
}

/// The state of balancing at this moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    /// Number of upstreams that count as slow.
    pub slow: u32,
    /// Number of upstreams that were ejected and return with few requests.
    pub returning: u32,
    /// Whether requests go to other zones, as the entry's own has no capacity in time.
    pub uses_other_zones: bool,
}

/// What is learned of a service's upstreams together.
#[derive(Debug, Default)]
pub(super) struct Balancing {
    /// The median service time of upstreams in seconds, if a response has ended.
    median_s: Option<f64>,
    /// When a request last went to another zone although the entry's own has upstreams.
    other_zones_at: Option<Duration>,
    counts: Counts,
    changes: Vec<Change>,
}

impl Balancing {
    fn record(&mut self, change: Change) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(change);
        }
    }
}

/// Upstreams with capacity for a request, by how they may be used.
#[derive(Debug, Default)]
pub(super) struct Choice {
    ids: Vec<Rc<str>>,
    candidates: Vec<Candidate>,
    /// Whether an upstream of the entry's own zone serves the request on time.
    has_own_on_time: bool,
    /// Whether an upstream is neither ejected nor returning, with or without capacity.
    has_open: bool,
    /// The upstream that failed the longest time ago among those that are ejected or return, and
    /// have capacity.
    last_resort: Option<(Duration, Rc<str>)>,
}

/// What a choice among upstreams is made for.
pub(super) struct Purpose<'a> {
    pub now: Duration,
    pub waiting: &'a QueuedRequest,
    pub class: AdmissionClass,
    /// The request is rejected unless it is placed now.
    pub last_chance: bool,
    /// The pace of the fastest available upstream.
    pub fastest: f64,
}

impl Dispatcher {
    /// Sets whether the speed of upstreams is learned, and notices what has ended with time. Must
    /// be called several times a second.
    pub fn update_balancing(&mut self, now: Duration, learns_speed: bool) {
        if learns_speed != self.balancing.is_some() {
            self.balancing = learns_speed.then(Balancing::default);
            for upstream in self.upstreams.values_mut() {
                let max_requests = max_requests(upstream.slots);
                upstream
                    .health
                    .set_probation(learns_speed.then_some(max_requests));
                upstream.speed = speed::Speed::default();
                upstream.end_told_load(Duration::MAX);
            }
        }
        let Some(balancing) = &mut self.balancing else {
            return;
        };
        for upstream in self.upstreams.values_mut() {
            upstream.end_told_load(now);
        }
        let ends = |at: &Duration| now >= *at + OTHER_ZONES_HOLD_TIME;
        if balancing.other_zones_at.take_if(|at| ends(at)).is_some() {
            balancing.record(Change::OwnZone);
        }
        let median_s = balancing.median_s;
        for (id, upstream) in self.upstreams.iter_mut().filter(|(_, u)| u.speed.is_slow) {
            if median_s.is_none_or(|median_s| upstream.slowness(now, median_s) < NOT_SLOW_RATIO) {
                upstream.speed.is_slow = false;
                balancing.record(Change::NotSlow(id.clone()));
            }
        }
    }

    /// Whether the speed of upstreams is learned.
    #[must_use]
    pub fn learns_speed(&self) -> bool {
        self.balancing.is_some()
    }

    /// Records how long an upstream took for a request. `complete` tells that its response was
    /// good; otherwise the request ended without one after this time.
    pub fn record_upstream_time(
        &mut self,
        now: Duration,
        id: &str,
        duration: Duration,
        complete: bool,
    ) {
        let Some(balancing) = &mut self.balancing else {
            return;
        };
        let Some((id, upstream)) = self.upstreams.get_key_value(id) else {
            return;
        };
        let (id, mut learned) = (id.clone(), upstream.speed);
        if complete {
            learned.record(now, duration);
        } else {
            learned.record_unfinished(now, duration, balancing.median_s);
        }
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.speed = learned;
        }
        let means = self.upstreams.values().filter_map(|u| u.speed.mean_s());
        let Some(median_s) = speed::median_s(means) else {
            return;
        };
        balancing.median_s = Some(median_s);
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            let slowness = upstream.slowness(now, median_s);
            if slowness >= SLOW_RATIO && !upstream.speed.is_slow {
                upstream.speed.is_slow = true;
                balancing.record(Change::Slow(id, slowness));
            }
        }
    }

    /// Records the load that an upstream told in a response: requests that it works on, requests
    /// that wait there, and its slots. It is believed as to the requests of other entries.
    ///
    /// Requests of this entry are subtracted. The response's own request is among them, and is
    /// assumed to be among those that the upstream counts.
    pub fn record_told_load(&mut self, now: Duration, id: &str, load: [u32; 3]) {
        let Some(balancing) = &self.balancing else {
            return;
        };
        let [running, waiting, slots] = load;
        let requests = running.saturating_add(waiting);
        if slots == 0 || requests > MAX_TOLD_REQUESTS {
            return;
        }
        let upstream = self.upstreams.get_mut(id);
        let Some(upstream) = upstream.filter(|upstream| !upstream.has_fresh_load(now)) else {
            return;
        };
        let median_s = balancing.median_s.unwrap_or_default();
        let [min_s, max_s] = TOLD_LOAD_TTL_S;
        let service_time_s = upstream.service_time_s(now, median_s);
        let pending = upstream.pending_decrease.take();
        let by_digests = pending.map_or(upstream.peer_requests, |(requests, _)| requests);
        upstream.peer_requests = requests.saturating_sub(upstream.own_requests);
        let until = now + Duration::from_secs_f64(service_time_s.clamp(min_s, max_s));
        let by_digests = upstream
            .told_load
            .map_or(by_digests, |(_, by_digests)| by_digests);
        upstream.told_load = Some((until, by_digests));
    }

    /// Records the outcome of an attempt at an upstream.
    pub(super) fn record_outcome(&mut self, now: Duration, id: &Rc<str>, outcome: AttemptOutcome) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let state = |upstream: &Upstream| {
            let probation = upstream.health.probation();
            probation.map_or((false, false), |p| (p.is_ejected(now), p.is_returning()))
        };
        let (was_ejected, was_returning) = state(upstream);
        upstream.health.record_finished();
        upstream.health.record(now, outcome);
        let Some(balancing) = &mut self.balancing else {
            return;
        };
        if outcome == AttemptOutcome::Full {
            upstream.speed.record_rejection(now);
        }
        let (is_ejected, is_returning) = state(upstream);
        if is_ejected && !was_ejected {
            balancing.counts.ejections += 1;
            balancing.record(Change::Ejected(id.clone()));
        }
        if was_returning && !is_returning {
            balancing.record(Change::Returned(id.clone()));
        }
    }

    /// Takes the changes since the last call.
    pub fn take_balancing_changes(&mut self) -> Vec<Change> {
        let balancing = self.balancing.as_mut();
        balancing.map_or_else(Vec::new, |balancing| std::mem::take(&mut balancing.changes))
    }

    /// Requests and decisions since the start, where speed is learned.
    #[must_use]
    pub fn balancing_counts(&self) -> Option<Counts> {
        self.balancing.as_ref().map(|balancing| balancing.counts)
    }

    /// The state of balancing, where speed is learned.
    #[must_use]
    pub fn balancing_state(&self) -> Option<State> {
        let balancing = self.balancing.as_ref()?;
        let mut state = State {
            uses_other_zones: balancing.other_zones_at.is_some(),
            ..State::default()
        };
        for upstream in self.upstreams.values().filter(|u| u.ready) {
            let is_returning = upstream
                .health
                .probation()
                .is_some_and(Probation::is_returning);
            state.slow += u32::from(upstream.speed.is_slow);
            state.returning += u32::from(is_returning);
        }
        Some(state)
    }

    /// Considers an upstream for a request. `unresponsive` is the penalty for an agent that doesn't
    /// respond.
    pub(super) fn consider(
        &self,
        choice: &mut Choice,
        purpose: &Purpose<'_>,
        (id, upstream): (&Rc<str>, &Upstream),
        group: Option<GroupLoad>,
        unresponsive: f64,
    ) {
        let now = purpose.now;
        let health = &upstream.health;
        let is_open = !health.is_ejected(now) && health.probation().is_none_or(|p| p.allows(now));
        choice.has_open |= is_open;
        let Some(candidate) = self.candidate(purpose, upstream, group, unresponsive) else {
            return;
        };
        if is_open {
            choice.has_own_on_time |=
                candidate.own_zone && candidate.timeliness == Timeliness::OnTime;
            choice.ids.push(id.clone());
            choice.candidates.push(candidate);
            return;
        }
        // An upstream that is only full takes requests again soon, so that the request waits for
        // it as long as it may.
        let is_failing = health.probation().is_some_and(|p| !p.allows(now));
        let failed_at = health
            .probation()
            .map_or(Duration::ZERO, Probation::failed_at);
        let is_better = choice
            .last_resort
            .as_ref()
            .is_none_or(|(at, _)| failed_at < *at);
        if is_better && (is_failing || purpose.last_chance) {
            choice.last_resort = Some((failed_at, id.clone()));
        }
    }

    /// The upstream as a candidate for a request, or nothing if it has no capacity.
    fn candidate(
        &self,
        purpose: &Purpose<'_>,
        upstream: &Upstream,
        group: Option<GroupLoad>,
        unresponsive: f64,
    ) -> Option<Candidate> {
        let penalty = upstream.health.penalty();
        let slots = f64::from(upstream.slots.max(1));
        let own_zone = upstream.zone == self.zone;
        let cross_zone = self.cross_zone_penalty(upstream);
        if group.is_some() {
            let busy = f64::from(upstream.own_requests + upstream.peer_requests);
            let cost = capacity::cost_with_penalty(upstream, group, purpose.class, penalty)?;
            return Some(Candidate {
                timeliness: Timeliness::OnTime,
                cost: cost + cross_zone + unresponsive,
                spread: RANK_SPREAD,
                free_slots: slots - busy,
                own_zone,
            });
        }
        let now = purpose.now;
        let median_s = self.balancing.as_ref().and_then(|b| b.median_s);
        let usual_s = median_s.unwrap_or(UNKNOWN_SERVICE_TIME_S);
        let service_time_s = if upstream.has_fresh_status(now) {
            usual_s * upstream.pace / purpose.fastest
        } else {
            upstream.service_time_s(now, usual_s)
        };
        let slots = upstream.speed.usable_slots(now, upstream.slots.max(1));
        let completion = capacity::completion(upstream, purpose.class, slots, service_time_s)?;
        let request = &purpose.waiting.request;
        let needs = Needs {
            target: request.target,
            deadline: request.deadline,
            is_stream: request.max_gap.is_some(),
        };
        let timeliness = if median_s.is_some() {
            Timeliness::of(now, &needs, completion.wait_s, completion.total_s)
        } else {
            Timeliness::OnTime
        };
        let unresponsive = if self.has_agents() { unresponsive } else { 0.0 };
        Some(Candidate {
            timeliness,
            cost: completion.work_s + (penalty + cross_zone + unresponsive) * usual_s,
            spread: service_time_s / slots,
            free_slots: completion.free_slots,
            own_zone,
        })
    }

    /// Chooses among the upstreams that were considered.
    pub(super) fn choose_considered(&mut self, now: Duration, choice: Choice) -> Option<Rc<str>> {
        let random = self.random();
        let chosen = zone_room::choose(&choice.candidates, random);
        let chosen = chosen.map(|index| (choice.ids[index].clone(), choice.candidates[index]));
        let last_resort = choice.last_resort.filter(|_| !choice.has_open);
        let zone = self.zone.clone();
        let balancing = self.balancing.as_mut()?;
        let id = match (chosen, last_resort) {
            (Some((id, candidate)), _) => {
                let mut upstreams = self.upstreams.values();
                let has_own = upstreams.any(|u| u.zone == zone && u.ready && !u.evacuated);
                if !candidate.own_zone && has_own {
                    balancing.counts.other_zone_requests += 1;
                    if !choice.has_own_on_time && balancing.other_zones_at.replace(now).is_none() {
                        balancing.record(Change::OtherZones);
                    }
                }
                id
            }
            (None, Some((_, id))) => {
                balancing.counts.last_resort_requests += 1;
                id
            }
            (None, None) => return None,
        };
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.health.record_sent(now);
        }
        Some(id)
    }
}

impl Upstream {
    /// Its expected service time in seconds, by its responses to this entry.
    fn service_time_s(&self, now: Duration, median_s: f64) -> f64 {
        let in_progress = self.own_requests > 0;
        self.speed.service_time_s(now, median_s, in_progress)
    }

    /// Returns to the load by digests if the one that it told is outdated.
    fn end_told_load(&mut self, now: Duration) {
        if let Some((_, by_digests)) = self.told_load.take_if(|(until, _)| now >= *until) {
            self.peer_requests = by_digests;
        }
    }

    /// Its service time as a multiple of the median.
    fn slowness(&self, now: Duration, median_s: f64) -> f64 {
        self.service_time_s(now, median_s) / median_s.max(1e-6)
    }
}
