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
const SHORTAGE_MEMORY: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Requests that an upstream of a group has on average.
    ///
    /// Ranks make each pass together, and most of a pass is the work of experts
    /// that all ranks share: it depends on the group's requests, not on those of
    /// one rank. Reckoned rank by rank, the busiest one looks quickest for what
    /// it has, and gets more.
    pub(super) fn mean(&self, group: u32) -> f64 {
        let ranks = self
            .upstreams
            .values()
            .filter(|u| u.group == group && u.ready);
        let busy = ranks.map(|upstream| f64::from(upstream.own + upstream.others));
        let (sum, count) = busy.fold((0.0, 0.0), |(sum, count), busy| (sum + busy, count + 1.0));
        sum / f64::max(count, 1.0)
    }

    /// What upstreams of a group would have on average if every entry sent as much as this
    /// one, just after an outage; 0 otherwise.
    ///
    /// As upstreams return, each entry places its line in one moment, before it hears of
    /// the others.
    fn fair_share(&self, returned: Option<Duration>, group: u32) -> f64 {
        if returned.is_none() {
            return 0.0;
        }
        let ranks = self.upstreams.values();
        let ranks = ranks.filter(|u| u.group == group && u.ready);
        let own = ranks.map(|upstream| f64::from(upstream.own));
        let (own, count) = own.fold((0.0, 0.0), |(sum, count), own| (sum + own, count + 1.0));
        own * f64::from(self.entries) / f64::max(count, 1.0)
    }

    /// The best upstream with room for a request.
    pub(super) fn choose(
        &mut self,
        now: Duration,
        waiting: &QueuedRequest,
        over: bool,
    ) -> Option<Rc<str>> {
        let ids: Vec<Rc<str>> = self.upstreams.keys().cloned().collect();
        let closed = self.closed_groups(now);
        let mut slowness = BTreeMap::new();
        let quickest = self.quickest(now);
        let mut best: Option<(f64, Rc<str>)> = None;
        for id in ids {
            let tie = self.draw();
            let Some(upstream) = self.upstreams.get(&id) else {
                continue;
            };
            if !upstream.is_open(now) || closed.contains(&upstream.group) {
                continue;
            }
            if waiting.ask.avoid.contains(&id) {
                continue;
            }
            if slow::is_slow(upstream.pace, quickest) {
                continue;
            }
            let group = upstream.group;
            let circuit = self.circuits.get(&group);
            if circuit.is_some_and(|circuit| !circuit.allows(now)) {
                continue;
            }
            let group = *slowness
                .entry(group)
                .or_insert_with(|| self.slowness(now, group, waiting));
            let lateness = AdmissionClass::of(waiting, over);
            let Some(cost) = cost(now, upstream, group, lateness) else {
                continue;
            };
            let far = if upstream.zone == self.zone {
                0.0
            } else {
                CROSS_ZONE_PENALTY_SLOTS / f64::from(upstream.slots.max(1))
            };
            let unsure = !upstream.is_told(now) || upstream.is_silent(now);
            let unsure = if unsure {
                UNRESPONSIVE_AGENT_PENALTY
            } else {
                0.0
            };
            let cost = cost + far + unsure + TIE_BREAK_SPREAD * tie;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// How a group's passes would be with one request more; nothing for requests
    /// that aren't streams.
    fn slowness(&self, now: Duration, group: u32, waiting: &QueuedRequest) -> Option<GroupLoad> {
        let engine = self.engine.as_ref()?;
        let gap = waiting.ask.gap?.as_secs_f64().max(1e-6);
        let pass = self.passes.get(&group).copied().unwrap_or_default();
        let returned = self.outage.returned(now, self.service_time.estimate());
        // A group returns with another map of experts than it had.
        let pace = match returned {
            Some(returned) => pass.since(returned).unwrap_or(pass_pace::INITIAL_PACE),
            None => pass.pace(now, self.all.pace(now, pass_pace::INITIAL_PACE)),
        };
        let mean = self.mean(group).max(self.fair_share(returned, group));
        let bound = gap * PASS_HEADROOM_RATIO;
        let with = |requests: f64| engine.pass(requests).as_secs_f64() * pace / bound;
        let short = self.short.is_some_and(|at| now < at + SHORTAGE_MEMORY);
        Some(GroupLoad {
            pass: with(mean + 1.0),
            least: with(1.0),
            returns: returned.is_some(),
            short,
            shifts: tolerates_shift(engine, pass.highest(now), gap, mean + 1.0),
            used: mean / f64::from(engine.slots.max(1)),
        })
    }
}
