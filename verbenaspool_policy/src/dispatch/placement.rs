//! Which upstream a request goes to.
//!
//! Load: streams on lock-stepped ranks. A pass takes the longer the more streams a group
//! has, and every stream gets one event a pass, so what a group can bear is a matter of
//! its passes. Among upstreams that bear one more, the least busy goes first, with a
//! preference for those nearby and for those whose agents answer.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use super::{
    Dispatcher,
    capacity::{AdmissionClass, GroupLoad, cost, tolerates_shift},
    pass_pace, slow,
    wait_queue::QueuedRequest,
};

/// The part of the longest pause in time that a pass may be expected to take.
/// Passes differ by the prompts that are read in them: a third more than the
/// mean is common, and one late pass makes a stream late.
const PASS_HEADROOM_RATIO: f64 = 0.8;

/// Slots that an upstream in the entry's own zone may have less free than one elsewhere
/// before the latter is better: bytes between zones are paid for, and each event of a
/// stream crosses again. Ranks of a group wait for each other, so that one request more
/// or less at one of them costs its callers next to nothing.
const CROSS_ZONE_PENALTY_SLOTS: f64 = 1.5;

/// What it adds to the cost of sending that an upstream's agent is silent: its instance
/// may be frozen, and what it has is known by other entries' digests only, so that many
/// entries would take the same free slot. Any other upstream with room goes before it.
const UNRESPONSIVE_AGENT_PENALTY: f64 = 2.0;

/// How far choices that are as good as each other are spread.
const TIE_BREAK_SPREAD: f64 = 0.01;

/// How long late requests take no room of a group that returns after one that could have
/// been in time was rejected.
const SHORTAGE_HOLD_TIME: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Requests that an upstream of a group has on average.
    ///
    /// Ranks make each pass together, and most of a pass is the work of experts
    /// that all ranks share: it depends on the group's requests, not on those of
    /// one rank. Reckoned rank by rank, the busiest one looks quickest for what
    /// it has, and gets more.
    pub(super) fn mean_requests(&self, group: u32) -> f64 {
        let ranks = self
            .upstreams
            .values()
            .filter(|u| u.group == group && u.ready);
        let busy = ranks.map(|upstream| f64::from(upstream.own_requests + upstream.peer_requests));
        let (sum, count) = busy.fold((0.0, 0.0), |(sum, count), busy| (sum + busy, count + 1.0));
        sum / f64::max(count, 1.0)
    }

    /// What upstreams of a group would have on average if every entry sent as much as this
    /// one, just after an outage; 0 otherwise.
    ///
    /// As upstreams return, each entry places its line in one moment, before it hears of
    /// the others.
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

    /// The best upstream with room for a request.
    pub(super) fn choose_upstream(
        &mut self,
        now: Duration,
        waiting: &QueuedRequest,
        last_chance: bool,
    ) -> Option<Rc<str>> {
        let ids: Vec<Rc<str>> = self.upstreams.keys().cloned().collect();
        let down = self.down_groups(now);
        let mut group_loads = BTreeMap::new();
        let fastest = self.fastest_pace(now);
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
                .or_insert_with(|| self.group_load(now, group, waiting));
            let class = AdmissionClass::of(waiting, last_chance);
            let Some(cost) = cost(now, upstream, group, class) else {
                continue;
            };
            let cross_zone = if upstream.zone == self.zone {
                0.0
            } else {
                CROSS_ZONE_PENALTY_SLOTS / f64::from(upstream.slots.max(1))
            };
            let unresponsive = !upstream.has_fresh_load(now) || upstream.is_agent_unresponsive(now);
            let unresponsive = if unresponsive {
                UNRESPONSIVE_AGENT_PENALTY
            } else {
                0.0
            };
            let cost = cost + cross_zone + unresponsive + TIE_BREAK_SPREAD * tie;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// How a group's passes would be with one request more; nothing for requests
    /// that aren't streams.
    fn group_load(&self, now: Duration, group: u32, waiting: &QueuedRequest) -> Option<GroupLoad> {
        let engine = self.engine.as_ref()?;
        let max_gap = waiting.request.max_gap?.as_secs_f64().max(1e-6);
        let pass_pace = self.group_paces.get(&group).copied().unwrap_or_default();
        let recovering_since = self
            .outage
            .recovering_since(now, self.service_time.estimate());
        // A group returns with another map of experts than it had.
        let pace = match recovering_since {
            Some(recovering_since) => pass_pace
                .recent_since(recovering_since)
                .unwrap_or(pass_pace::INITIAL_PACE),
            None => pass_pace.pace(now, self.overall_pace.pace(now, pass_pace::INITIAL_PACE)),
        };
        let mean = self
            .mean_requests(group)
            .max(self.fair_share(recovering_since, group));
        let max_pass = max_gap * PASS_HEADROOM_RATIO;
        let pass_ratio = |requests: f64| engine.pass(requests).as_secs_f64() * pace / max_pass;
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
