//! Whether an upstream has room for a request, and what sending it there costs.
//!
//! Load: engines that have more slots than they can serve in time. What bounds streams is
//! the pass that they make; slots bound only what is late anyhow.

use std::time::Duration;

use verbenaspool_state::engine::Engine;

use super::{Resumption, upstream::Upstream, wait_queue::QueuedRequest};

/// The part of an upstream's slots that is used even where passes are too slow
/// for answers in time: a late answer is better for its caller than none.
pub const MIN_USED_SLOTS: f64 = 0.5;

/// The part of slots that a customer may take with what is beyond its usual. The rest is
/// for the others, whose requests come unevenly.
const BEYOND_SLOTS_RATIO: f64 = 0.6;

/// Requests that a plain upstream may have for each of its slots. Those beyond
/// its slots wait there, so that it never idles between two requests.
const PLAIN_REQUESTS_PER_SLOT: f64 = 2.0;

/// The part of what ranks with all slots taken write that ranks must still write which
/// leave room for shifts of popularity. A late answer is worth something to its caller:
/// more than a quarter of them isn't given up so that the others are in time.
const MIN_THROUGHPUT_RATIO: f64 = 0.75;

/// The part of the passes in time up to which requests that are late are placed; the rest
/// is left to those that can be in time.
const LATE_PASS_RATIO: f64 = 0.85;

/// The part of the longest pause in time that the longest pass may take.
const LONGEST_PASS_RATIO: f64 = 0.95;

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
pub fn tolerates_shift(engine: &Engine, highest: f64, gap: f64, requests: f64) -> bool {
    if highest <= 0.0 {
        return true;
    }
    let most = engine.writers(Duration::from_secs_f64(gap * LONGEST_PASS_RATIO / highest));
    let slots = f64::from(engine.slots);
    let written = |requests: f64| requests / engine.pass(requests).as_secs_f64().max(1e-6);
    requests <= most || written(most) < MIN_THROUGHPUT_RATIO * written(slots)
}

/// How slow a group's passes would be with one request more.
#[derive(Debug, Clone, Copy)]
pub struct GroupLoad {
    /// The pass, against what makes streams late, less some headroom.
    pub pass: f64,
    /// The same with one request a rank.
    pub least: f64,
    /// Whether the group has just returned from an outage.
    pub returns: bool,
    /// Whether requests that could have been in time were rejected lately.
    pub short: bool,
    /// Whether streams would be in time after the next shift of popularity as well, as
    /// far as that can be had.
    pub shifts: bool,
    /// The part of the group's slots that is taken.
    pub used: f64,
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
    pub fn of(waiting: &QueuedRequest, over: bool) -> Self {
        if waiting.ask.beyond && waiting.ask.resumes == Resumption::None {
            return Self::OverUsualRate;
        }
        match waiting.ask.resumes {
            Resumption::Moved => Self::Moved,
            Resumption::Interrupted => Self::Interrupted,
            Resumption::None if waiting.late => Self::Late,
            Resumption::None if over => Self::LastChance,
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
    lateness: AdmissionClass,
) -> Option<f64> {
    let distrust = upstream.trust.cost(now)?;
    let busy = f64::from(upstream.own + upstream.others);
    let slots = f64::from(upstream.slots.max(1));
    let Some(group) = group else {
        let plain = if lateness == AdmissionClass::OverUsualRate {
            BEYOND_SLOTS_RATIO
        } else {
            PLAIN_REQUESTS_PER_SLOT
        };
        let room = busy < slots * plain;
        return room.then_some(busy / slots + distrust);
    };
    let in_time = group.pass <= 1.0 && group.shifts;
    let few = group.used < MIN_USED_SLOTS;
    let few_late = few && !group.returns;
    // Where passes are out of time with a single request a rank, none is in time anyhow.
    let hopeless = few && group.least > 1.0;
    let spare = group.returns && in_time && !group.short && group.pass <= LATE_PASS_RATIO;
    let room = busy < slots
        && match lateness {
            AdmissionClass::OnTime => in_time,
            AdmissionClass::OverUsualRate => in_time && group.used < BEYOND_SLOTS_RATIO,
            AdmissionClass::LastChance | AdmissionClass::Interrupted => {
                in_time || few_late || hopeless
            }
            AdmissionClass::Late => few_late || hopeless || spare,
            AdmissionClass::Moved => true,
        };
    room.then_some(group.pass + busy / slots + distrust)
}
