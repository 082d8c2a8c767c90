//! Whether an upstream has capacity for a request, and the cost of sending it there.
//!
//! Engines have more slots than they can serve on time. The number of streams is limited by
//! their pass time; slots only limit late requests.

use std::time::Duration;

use verbenaspool_state::engine::Engine;

use super::{Resumption, upstream::Upstream, wait_queue::QueuedRequest};

/// The share of an upstream's slots that is used even if passes are too slow for answers on
/// time: a late answer is better for its caller than none.
pub const MIN_USED_SLOTS_RATIO: f64 = 0.5;

/// The share of slots available to requests over their customer's usual rate. The rest is
/// kept for other customers, whose requests arrive unevenly.
const OVER_USUAL_RATE_SLOTS_RATIO: f64 = 0.6;

/// Requests per slot where pass time sets no limit. The excess waits at the upstream, so
/// that it isn't idle between two requests.
pub const MAX_REQUESTS_PER_SLOT: f64 = 2.0;

/// The share of the throughput at full slots that must remain if streams are limited to
/// tolerate shifts of expert popularity. A late answer still has some value, so no more
/// than a quarter of the throughput is given up to have the others on time.
const MIN_THROUGHPUT_RATIO: f64 = 0.75;

/// The share of the longest pass on time up to which a recovering group gets late requests.
/// The rest is kept for requests that can be on time.
const LATE_PASS_RATIO: f64 = 0.85;

/// The share of the longest time between events that the longest pass may take.
const PEAK_PASS_RATIO: f64 = 0.95;

/// Whether a group with `requests` per rank still has its passes on time at its recent peak
/// pace, with at most `max_gap` seconds between two events.
///
/// Near saturation, expert popularity may shift every few seconds. Passes then take nearly
/// twice as long until the expert map follows, and every running stream has a late event:
/// two in three of all streams, with answers of 2 s. With five streams per rank instead of
/// six none is late. If that limit would cost too much throughput, as with engines whose
/// pass time hardly depends on the number of streams, the limit isn't applied.
///
/// ```
/// use std::time::Duration;
///
/// use verbenaspool_policy::dispatch::capacity::tolerates_shift;
/// use verbenaspool_state::engine::Engine;
///
/// let engine = Engine {
///     slots: 6,
///     steps_per_pass: 9,
///     step_time: Duration::from_micros(4_840),
///     step_time_per_request: Duration::from_micros(797),
///     experts: None,
/// };
/// assert!(tolerates_shift(&engine, 1.7, 0.15, 4.0));
/// assert!(!tolerates_shift(&engine, 1.7, 0.15, 6.0));
/// assert!(tolerates_shift(&engine, 3.0, 0.15, 6.0));
/// ```
#[must_use]
pub fn tolerates_shift(engine: &Engine, peak_pace: f64, max_gap: f64, requests: f64) -> bool {
    if peak_pace <= 0.0 {
        return true;
    }
    let max_requests = engine.decoding_requests(Duration::from_secs_f64(
        max_gap * PEAK_PASS_RATIO / peak_pace,
    ));
    let slots = f64::from(engine.slots);
    let throughput = |requests: f64| requests / engine.pass_time(requests).as_secs_f64().max(1e-6);
    requests <= max_requests || throughput(max_requests) < MIN_THROUGHPUT_RATIO * throughput(slots)
}

/// The pass time of a group with one request more.
#[derive(Debug, Clone, Copy)]
pub struct GroupLoad {
    /// The pass time relative to the longest one on time, less some headroom.
    pub pass_ratio: f64,
    /// The same with one request per rank.
    pub min_pass_ratio: f64,
    /// Whether the group has just returned from an outage.
    pub recovering: bool,
    /// Whether requests that could have been on time recently found no capacity.
    pub shortage: bool,
    /// Whether streams stay on time after the next shift of expert popularity, or the limit
    /// that this takes would cost too much throughput.
    pub tolerates_shift: bool,
    /// The share of the group's slots in use.
    pub used_ratio: f64,
}

/// How strictly a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionClass {
    /// It can be on time.
    OnTime,
    /// It is rejected unless it is placed now, so a late answer is acceptable.
    LastChance,
    /// It exceeds its customer's usual rate.
    OverUsualRate,
    /// It can't be on time any more.
    Late,
    /// A started stream that already counts among the group's streams.
    Moved,
    /// A started stream whose upstream failed, which makes it late.
    Interrupted,
}

impl AdmissionClass {
    /// The class of a queued request. `last_chance` tells that it is rejected unless it is
    /// placed now.
    #[must_use]
    pub fn of(waiting: &QueuedRequest, last_chance: bool) -> Self {
        if waiting.request.over_usual_rate && waiting.request.resumption == Resumption::None {
            return Self::OverUsualRate;
        }
        match waiting.request.resumption {
            Resumption::Moved => Self::Moved,
            Resumption::Interrupted => Self::Interrupted,
            Resumption::None if waiting.late => Self::Late,
            Resumption::None if last_chance => Self::LastChance,
            Resumption::None => Self::OnTime,
        }
    }
}

/// The cost of sending a request to an upstream, or nothing if there is no capacity.
///
/// Late requests leave some capacity to those that can be on time. After an outage they are
/// placed only if passes stay on time and no request that can be on time lacks capacity.
/// Otherwise the backlog would fill the group while its passes are at their longest. If no
/// stream can be on time anyway, they may use up to half of the slots.
#[must_use]
pub fn cost(
    now: Duration,
    upstream: &Upstream,
    group: Option<GroupLoad>,
    class: AdmissionClass,
) -> Option<f64> {
    cost_with_penalty(upstream, group, class, upstream.health.cost(now)?)
}

/// The cost of sending a request to an upstream whose past failures make this penalty, or nothing
/// if there is no capacity.
pub(super) fn cost_with_penalty(
    upstream: &Upstream,
    group: Option<GroupLoad>,
    class: AdmissionClass,
    health_penalty: f64,
) -> Option<f64> {
    let busy = f64::from(upstream.own_requests + upstream.peer_requests);
    let slots = f64::from(upstream.slots.max(1));
    let Some(group) = group else {
        let max_requests_per_slot = max_requests_per_slot(class);
        let has_room = busy < slots * max_requests_per_slot;
        return has_room.then_some(busy / slots + health_penalty);
    };
    let on_time = group.pass_ratio <= 1.0 && group.tolerates_shift;
    let below_min_use = group.used_ratio < MIN_USED_SLOTS_RATIO;
    let late_allowed = below_min_use && !group.recovering;
    // If passes are late even with a single request per rank, no stream is on time anyway.
    let none_on_time = below_min_use && group.min_pass_ratio > 1.0;
    let spare_capacity =
        group.recovering && on_time && !group.shortage && group.pass_ratio <= LATE_PASS_RATIO;
    let has_room = busy < slots
        && match class {
            AdmissionClass::OnTime => on_time,
            AdmissionClass::OverUsualRate => {
                on_time && group.used_ratio < OVER_USUAL_RATE_SLOTS_RATIO
            }
            AdmissionClass::LastChance | AdmissionClass::Interrupted => {
                on_time || late_allowed || none_on_time
            }
            AdmissionClass::Late => late_allowed || none_on_time || spare_capacity,
            AdmissionClass::Moved => true,
        };
    has_room.then_some(group.pass_ratio + busy / slots + health_penalty)
}

/// Requests per slot of an upstream without a group.
fn max_requests_per_slot(class: AdmissionClass) -> f64 {
    if class == AdmissionClass::OverUsualRate {
        OVER_USUAL_RATE_SLOTS_RATIO
    } else {
        MAX_REQUESTS_PER_SLOT
    }
}

/// The most requests that an upstream without a group gets.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
pub fn max_requests(slots: u32) -> u32 {
    (f64::from(slots.max(1)) * MAX_REQUESTS_PER_SLOT) as u32
}

/// When an upstream without a group completes one more request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Completion {
    /// The time in seconds that the upstream needs for the requests that it has and this one, if
    /// all of its slots work on them.
    pub work_s: f64,
    /// How long the request waits at the upstream, in seconds.
    pub wait_s: f64,
    /// When it is complete, in seconds from now.
    pub total_s: f64,
    /// Free slots.
    pub free_slots: f64,
}

/// When an upstream without a group completes a request, or nothing if there is no capacity.
/// `slots` and `service_time_s` are what the upstream's responses show.
pub(super) fn completion(
    upstream: &Upstream,
    class: AdmissionClass,
    slots: f64,
    service_time_s: f64,
) -> Option<Completion> {
    let busy = f64::from(upstream.own_requests + upstream.peer_requests);
    let work_s = (busy + 1.0) / slots * service_time_s;
    let total_s = work_s.max(service_time_s);
    let has_room = busy < slots * max_requests_per_slot(class);
    has_room.then_some(Completion {
        work_s,
        wait_s: total_s - service_time_s,
        total_s,
        free_slots: slots - busy,
    })
}
