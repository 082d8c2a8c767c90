//! Whether an upstream has room for a request, and what sending it there costs.
//!
//! Load: engines that have more slots than they can serve in time. What bounds streams is
//! the pass that they make; slots bound only what is late anyhow.

use std::time::Duration;

use super::{line::Waiting, upstream::Upstream};

/// The part of an upstream's slots that is used even where passes are too slow
/// for answers in time: a late answer is better for its caller than none.
pub const LEAST: f64 = 0.5;

/// Requests that a plain upstream may have for each of its slots. Those beyond
/// its slots wait there, so that it never idles between two requests.
const PLAIN: f64 = 2.0;

/// How slow a group's passes would be with one request more.
#[derive(Debug, Clone, Copy)]
pub struct Slowness {
    /// The pass, against what makes streams late.
    pub pass: f64,
    /// The part of the group's slots that is taken.
    pub used: f64,
}

/// What is known of when a request's answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lateness {
    /// It can be in time.
    InTime,
    /// It would be refused if it weren't placed now: a late answer will do.
    Over,
    /// It can't be in time any more.
    Late,
    /// It has begun, and counts among the group's streams already or did so until its
    /// upstream failed.
    Begun,
}

impl Lateness {
    pub fn of(waiting: &Waiting, over: bool) -> Self {
        match (waiting.ask.resumes, waiting.late, over) {
            (true, _, _) => Self::Begun,
            (_, true, _) => Self::Late,
            (_, _, true) => Self::Over,
            _ => Self::InTime,
        }
    }
}

/// What sending a request to an upstream costs; nothing, where it has no room.
///
/// What is late leaves some room to what can be in time: behind the return of a group
/// those who waited for it would take all of it, and whoever comes then would be late as
/// well.
pub fn cost(
    now: Duration,
    upstream: &Upstream,
    group: Option<Slowness>,
    lateness: Lateness,
) -> Option<f64> {
    let distrust = upstream.trust.cost(now)?;
    let busy = f64::from(upstream.own + upstream.others);
    let slots = f64::from(upstream.slots.max(1));
    let Some(group) = group else {
        let room = busy < slots * PLAIN;
        return room.then_some(busy / slots + distrust);
    };
    let in_time = group.pass <= 1.0;
    let few = group.used < LEAST;
    let room = busy < slots
        && match lateness {
            Lateness::InTime => in_time,
            Lateness::Over => in_time || few,
            Lateness::Late => few,
            Lateness::Begun => true,
        };
    room.then_some(group.pass + busy / slots + distrust)
}
