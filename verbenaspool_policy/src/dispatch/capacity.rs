//! Whether an upstream has room for a request, and what sending it there costs.
//!
//! Load: engines that have more slots than they can serve in time. What bounds streams is
//! the pass that they make; slots bound only what is late anyhow.

use std::time::Duration;

use verbenaspool_state::engine::Engine;

use super::{Resumption, upstream::Upstream, wait_queue::QueuedRequest};

/// The part of an upstream's slots that is used even where passes are too slow
/// for answers in time: a late answer is better for its caller than none.
pub const MIN_USED_SLOTS_RATIO: f64 = 0.5;

/// The part of slots that a customer may take with what is beyond its usual. The rest is
/// for the others, whose requests come unevenly.
const OVER_USUAL_RATE_SLOTS_RATIO: f64 = 0.6;

/// Requests that a plain upstream may have for each of its slots. Those beyond
/// its slots wait there, so that it never idles between two requests.
const MAX_REQUESTS_PER_SLOT: f64 = 2.0;

/// The part of what ranks with all slots taken write that ranks must still write which
/// leave room for shifts of popularity. A late answer is worth something to its caller:
/// more than a quarter of them isn't given up so that the others are in time.
const MIN_THROUGHPUT_RATIO: f64 = 0.75;

/// The part of the passes in time up to which requests that are late are placed; the rest
/// is left to those that can be in time.
const LATE_PASS_RATIO: f64 = 0.85;

/// The part of the longest pause in time that the longest pass may take.
const PEAK_PASS_RATIO: f64 = 0.95;

/// Whether passes of a group whose ranks have so many requests are in time at the highest
/// pace of late, where the gap between two events may be so long.
///
/// Load: popularity that shifts each few seconds, near saturation. Passes take nearly
/// twice as long until the map follows, and each stream that runs then has a pause out of
/// time: two in three of all streams, with answers of 2 s. With five streams a rank in
/// place of six none has. Where that would take too many away, as with engines whose
/// passes hardly depend on their streams, all are taken as if popularity stood still.
///
/// ```
/// use std::time::Duration;
///
/// use verbenaspool_policy::dispatch::capacity::tolerates_shift;
/// use verbenaspool_state::engine::Engine;
///
/// let engine = Engine {
///     slots: 6,
///     stride: 9,
///     step: Duration::from_micros(4_840),
///     step_per_request: Duration::from_micros(797),
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
    let max_requests = engine.writers(Duration::from_secs_f64(
        max_gap * PEAK_PASS_RATIO / peak_pace,
    ));
    let slots = f64::from(engine.slots);
    let throughput = |requests: f64| requests / engine.pass(requests).as_secs_f64().max(1e-6);
    requests <= max_requests || throughput(max_requests) < MIN_THROUGHPUT_RATIO * throughput(slots)
}

/// How slow a group's passes would be with one request more.
#[derive(Debug, Clone, Copy)]
pub struct GroupLoad {
    /// The pass, against what makes streams late, less some headroom.
    pub pass_ratio: f64,
    /// The same with one request a rank.
    pub min_pass_ratio: f64,
    /// Whether the group has just returned from an outage.
    pub recovering: bool,
    /// Whether requests that could have been in time were rejected lately.
    pub shortage: bool,
    /// Whether streams would be in time after the next shift of popularity as well, as
    /// far as that can be had.
    pub tolerates_shift: bool,
    /// The part of the group's slots that is taken.
    pub used_ratio: f64,
}

/// What is known of when a request's answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionClass {
    /// It can be in time.
    OnTime,
    /// It would be refused if it weren't placed now: a late answer will do.
    LastChance,
    /// It is beyond what its customer usually sends.
    OverUsualRate,
    /// It can't be in time any more.
    Late,
    /// It has begun, and counts among the group's streams already.
    Moved,
    /// It had begun at an upstream that failed, and is late by that.
    Interrupted,
}

impl AdmissionClass {
    /// How late a request that waits is; `over` where it would be refused if it weren't
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

/// What sending a request to an upstream costs; nothing, where it has no room.
///
/// What is late leaves some room to what can be in time. After the return of a group it
/// is placed only where passes stay in time with it and nothing that can be in time lacks
/// room: those who waited would take all of it, on the longest passes there are.
#[must_use]
pub fn cost(
    now: Duration,
    upstream: &Upstream,
    group: Option<GroupLoad>,
    class: AdmissionClass,
) -> Option<f64> {
    let health_penalty = upstream.health.cost(now)?;
    let busy = f64::from(upstream.own_requests + upstream.peer_requests);
    let slots = f64::from(upstream.slots.max(1));
    let Some(group) = group else {
        let max_requests_per_slot = if class == AdmissionClass::OverUsualRate {
            OVER_USUAL_RATE_SLOTS_RATIO
        } else {
            MAX_REQUESTS_PER_SLOT
        };
        let room = busy < slots * max_requests_per_slot;
        return room.then_some(busy / slots + health_penalty);
    };
    let on_time = group.pass_ratio <= 1.0 && group.tolerates_shift;
    let below_min_use = group.used_ratio < MIN_USED_SLOTS_RATIO;
    let late_allowed = below_min_use && !group.recovering;
    // Where passes are out of time with a single request a rank, none is in time anyhow.
    let none_on_time = below_min_use && group.min_pass_ratio > 1.0;
    let spare_capacity =
        group.recovering && on_time && !group.shortage && group.pass_ratio <= LATE_PASS_RATIO;
    let room = busy < slots
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
    room.then_some(group.pass_ratio + busy / slots + health_penalty)
}
