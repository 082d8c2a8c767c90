//! The choice of an upstream for a request.
//!
//! On lock-stepped ranks every stream gets one event per pass, and a pass takes longer the
//! more streams the group has. The capacity of a group is therefore limited by its pass
//! time. Among the upstreams with capacity the least busy one is chosen, with a preference
//! for the entry's own zone and for upstreams whose agents respond.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use super::{
    Dispatcher,
    balance::{Choice, Purpose},
    capacity::{AdmissionClass, GroupLoad, cost, tolerates_shift},
    pass_pace, slow,
    upstream::Upstream,
    wait_queue::QueuedRequest,
};

/// The share of the longest time between events that an average pass may take. Passes vary
/// with the prompts that are read in them: a third above the mean is common, and a single
/// late pass makes a stream late.
const PASS_HEADROOM_RATIO: f64 = 0.8;

/// How many more free slots an upstream in another zone needs to be preferred over one in
/// the entry's own zone. Traffic between zones is billed, and each event of a stream
/// crosses again. Ranks of a group wait for each other, so one request more or less on a
/// rank hardly matters to callers.
const CROSS_ZONE_PENALTY_SLOTS: f64 = 1.5;

/// Added to the cost of an upstream whose agent doesn't respond or hasn't reported its load
/// recently. Its instance may be frozen, and its load is only known from other entries'
/// digests, so that many entries would use the same free slot. Any other upstream with
/// capacity is preferred.
const UNRESPONSIVE_AGENT_PENALTY: f64 = 2.0;

/// Random cost that spreads requests over equally good upstreams.
const TIE_BREAK_SPREAD: f64 = 0.01;

/// How long late requests take no spare capacity of a recovering group after a request that
/// could have been on time found none.
const SHORTAGE_HOLD_TIME: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// The mean number of requests per upstream of a group.
    ///
    /// Ranks run each pass together, and most of its time is spent on experts that all
    /// ranks share, so it depends on the requests of the whole group. Computed per rank,
    /// the busiest rank would seem the fastest for its load, and would get more.
    pub(super) fn mean_requests(&self, group: u32) -> f64 {
        let ranks = self
            .upstreams
            .values()
            .filter(|u| u.group == group && u.ready);
        let busy = ranks.map(|upstream| f64::from(upstream.own_requests + upstream.peer_requests));
        let (sum, count) = busy.fold((0.0, 0.0), |(sum, count), busy| (sum + busy, count + 1.0));
        sum / f64::max(count, 1.0)
    }

    /// The mean number of requests per upstream of a group if every entry sent as many as
    /// this one. Zero unless the service recovers from an outage.
    ///
    /// When upstreams return, each entry places its backlog at once, before it receives the
    /// digests of the others.
    fn fair_share(&self, recovering_since: Option<Duration>, group: u32) -> f64 {
        if recovering_since.is_none() {
            return 0.0;
        }
        let ranks = self.upstreams.values();
        let ranks = ranks.filter(|u| u.group == group && u.ready);
        let own = ranks.map(|upstream| f64::from(upstream.own_requests));
        let (own, count) = own.fold((0.0, 0.0), |(sum, count), own| (sum + own, count + 1.0));
        own * f64::from(self.entry_count) / f64::max(count, 1.0)
    }

    /// The upstream with the lowest cost among those with capacity for a request.
    /// `last_chance` tells that the request is rejected unless it is placed now.
    pub(super) fn choose_upstream(
        &mut self,
        now: Duration,
        waiting: &QueuedRequest,
        last_chance: bool,
    ) -> Option<Rc<str>> {
        let reserved = self.reserved_per_upstream(now, waiting)?;
        let ids: Vec<Rc<str>> = self.upstreams.keys().cloned().collect();
        let down = self.down_groups(now);
        let mut group_loads = BTreeMap::new();
        let fastest = self.fastest_pace(now);
        let class = AdmissionClass::of(waiting, last_chance);
        let purpose = Purpose {
            now,
            waiting,
            class,
            last_chance,
            fastest,
        };
        let mut choice = Choice::default();
        let mut best: Option<(f64, Rc<str>)> = None;
        for id in ids {
            let tie = self.random();
            let Some(upstream) = self.upstreams.get(&id) else {
                continue;
            };
            if !upstream.is_available(now) || down.contains(&upstream.group) {
                continue;
            }
            if waiting.request.excluded.contains(&id) {
                continue;
            }
            if !self.warm_up_allows(now, &id, upstream) {
                continue;
            }
            if !self.upstream_wait(now, &id, upstream).is_zero() {
                continue;
            }
            // When all instances restart, entries run before the groups do, and only the agents
            // know that.
            if self.has_agents() && upstream.awaits_report(now) {
                continue;
            }
            if slow::is_slow(upstream.pace, fastest) {
                continue;
            }
            let group = upstream.group;
            let circuit = self.circuits.get(&group);
            if circuit.is_some_and(|circuit| !circuit.allows_request(now)) {
                continue;
            }
            let group = *group_loads
                .entry(group)
                .or_insert_with(|| self.group_load(now, group, waiting, reserved));
            let unresponsive = !upstream.has_fresh_load(now) || upstream.is_agent_unresponsive(now);
            let unresponsive = if unresponsive {
                UNRESPONSIVE_AGENT_PENALTY
            } else {
                0.0
            };
            if self.learns_speed() {
                self.consider(&mut choice, &purpose, (&id, upstream), group, unresponsive);
                continue;
            }
            let Some(cost) = cost(now, upstream, group, class) else {
                continue;
            };
            let cost =
                cost + self.cross_zone_penalty(upstream) + unresponsive + TIE_BREAK_SPREAD * tie;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, id));
            }
        }
        if self.learns_speed() {
            return self.choose_considered(now, choice);
        }
        best.map(|(_, id)| id)
    }

    /// The cost of sending a request to another zone than the entry's, in parts of the slots.
    ///
    /// Where speed is learned, it is multiplied by the service time: it bounds how much longer a
    /// request may take in the entry's zone.
    pub(super) fn cross_zone_penalty(&self, upstream: &Upstream) -> f64 {
        if upstream.zone == self.zone {
            0.0
        } else {
            CROSS_ZONE_PENALTY_SLOTS / f64::from(upstream.slots.max(1))
        }
    }

    /// The load of a group with one request more, or nothing if pass time doesn't limit the
    /// request. `reserved` requests per upstream are counted in addition.
    fn group_load(
        &self,
        now: Duration,
        group: u32,
        waiting: &QueuedRequest,
        reserved: f64,
    ) -> Option<GroupLoad> {
        let engine = self.engine.as_ref()?;
        let max_gap = waiting.request.max_gap?.as_secs_f64().max(1e-6);
        let pass_pace = self.group_paces.get(&group).copied().unwrap_or_default();
        let recovering_since = self
            .outage
            .recovering_since(now, self.service_time.estimate());
        // After an outage a group has a different expert map, so earlier samples don't
        // apply.
        let pace = match recovering_since {
            Some(recovering_since) => pass_pace
                .recent_since(recovering_since)
                .unwrap_or(pass_pace::INITIAL_PACE),
            None => pass_pace.pace(now, self.overall_pace.pace(now, pass_pace::INITIAL_PACE)),
        };
        let mean = self
            .mean_requests(group)
            .max(self.fair_share(recovering_since, group))
            + reserved;
        let max_pass = max_gap * PASS_HEADROOM_RATIO;
        let pass_ratio = |requests: f64| engine.pass_time(requests).as_secs_f64() * pace / max_pass;
        let shortage = self
            .last_shortage
            .is_some_and(|at| now < at + SHORTAGE_HOLD_TIME);
        Some(GroupLoad {
            pass_ratio: pass_ratio(mean + 1.0),
            min_pass_ratio: pass_ratio(1.0),
            recovering: recovering_since.is_some(),
            shortage,
            tolerates_shift: tolerates_shift(engine, pass_pace.peak(now), max_gap, mean + 1.0),
            used_ratio: mean / f64::from(engine.slots.max(1)),
        })
    }
}
