//! The choice among upstreams by when they complete a request, over all zones.
//!
//! Load: the traffic of one zone is a wave of 1.5 times its mean while that of the others is at
//! 0.8, bursts hit one zone, and the upstream of a zone is slow. Entries of that zone use the
//! other zones before a request is late, and as many entries see the same free slot, they spread
//! their requests over the free capacity.

use std::time::Duration;

/// The weight of an upstream without a free slot, relative to one with one free slot, among
/// nearly equal upstreams.
const MIN_FREE_SLOTS: f64 = 0.5;

/// How many times its expected value a response may take. Service times vary, and a mean that just
/// fits the target makes half of the requests late. With 1.2, 5 in 100 requests were late beside an
/// upstream that is 3 times slower, in the simulation with service times of 0.5 to 1.5 their mean.
const SERVICE_TIME_MARGIN: f64 = 1.5;

/// Whether an upstream completes a request soon enough; the best one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// On time.
    OnTime,
    /// Late, but before the caller leaves.
    Late,
    /// After the caller has left.
    TooLate,
}

impl Timeliness {
    /// The timeliness of a response that is complete after `completion_s` seconds.
    ///
    /// `wait_s` is the part of them that passes before the upstream begins with the request. The
    /// target of a stream is that of its first event, which says nothing on its service time.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::zone_room::{Needs, Timeliness};
    ///
    /// let ms = Duration::from_millis;
    /// let needs = Needs { target: ms(120), deadline: ms(600), is_stream: false };
    /// assert_eq!(Timeliness::of(ms(0), &needs, 0.0, 0.05), Timeliness::OnTime);
    /// assert_eq!(Timeliness::of(ms(0), &needs, 0.0, 0.18), Timeliness::Late);
    /// assert_eq!(Timeliness::of(ms(0), &needs, 0.0, 0.9), Timeliness::TooLate);
    /// ```
    #[must_use]
    pub fn of(now: Duration, needs: &Needs, wait_s: f64, completion_s: f64) -> Self {
        let left_s = |until: Duration| until.saturating_sub(now).as_secs_f64();
        let until_target_s = if needs.is_stream {
            wait_s
        } else {
            completion_s * SERVICE_TIME_MARGIN
        };
        if until_target_s <= left_s(needs.target) {
            Self::OnTime
        } else if completion_s * SERVICE_TIME_MARGIN <= left_s(needs.deadline) {
            Self::Late
        } else {
            Self::TooLate
        }
    }
}

/// When a request's response has to come.
#[derive(Debug, Clone, Copy)]
pub struct Needs {
    /// When it must begin to be on time.
    pub target: Duration,
    /// When its caller leaves.
    pub deadline: Duration,
    /// Whether it is a stream.
    pub is_stream: bool,
}

/// An upstream with capacity for a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Whether it completes the request soon enough.
    pub timeliness: Timeliness,
    /// The cost of sending the request there.
    pub cost: f64,
    /// By how much the cost of an upstream may exceed this one's for both to be nearly equal: for a
    /// plain upstream, what one request more costs.
    pub spread: f64,
    /// Its free slots.
    pub free_slots: f64,
    /// Whether it is in the entry's zone.
    pub own_zone: bool,
}

/// Chooses among candidates: the most timely ones, among them those that are nearly equal to the
/// cheapest one, at random in proportion to their free slots. `random` is in [0, 1).
///
/// Requests aren't spread from the entry's zone to others, as traffic between zones is billed.
///
/// ```
/// use verbenaspool_policy::dispatch::zone_room::{Candidate, Timeliness, choose};
///
/// let own = Candidate {
///     timeliness: Timeliness::Late,
///     cost: 0.1,
///     spread: 0.1,
///     free_slots: 1.0,
///     own_zone: true,
/// };
/// let other = Candidate { timeliness: Timeliness::OnTime, cost: 0.5, own_zone: false, ..own };
/// assert_eq!(choose(&[own, other], 0.5), Some(1));
/// ```
#[must_use]
pub fn choose(candidates: &[Candidate], random: f64) -> Option<usize> {
    let key = |candidate: &Candidate| (candidate.timeliness, candidate.cost);
    let best = candidates.iter().min_by(|a, b| {
        let ((a_time, a_cost), (b_time, b_cost)) = (key(a), key(b));
        a_time.cmp(&b_time).then(a_cost.total_cmp(&b_cost))
    })?;
    // In the total order, a cost that is no number is near itself, so that there is a choice.
    let most = best.cost + best.spread;
    let is_near = |candidate: &Candidate| {
        candidate.timeliness == best.timeliness
            && candidate.own_zone == best.own_zone
            && candidate.cost.total_cmp(&most).is_le()
    };
    let near = || {
        let near = candidates.iter().enumerate();
        near.filter(|(_, candidate)| is_near(candidate))
    };
    let weight = |candidate: &Candidate| candidate.free_slots.max(MIN_FREE_SLOTS);
    let total: f64 = near().map(|(_, candidate)| weight(candidate)).sum();
    let mut left = random * total;
    let mut last = None;
    for (index, candidate) in near() {
        last = Some(index);
        left -= weight(candidate);
        if left < 0.0 {
            break;
        }
    }
    last
}
