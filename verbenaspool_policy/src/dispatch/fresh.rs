//! Whether a request comes for the first time, by the time that its caller gives it.
//!
//! Load: callers that were refused and come back. Nothing in a request says so; what
//! shows it is that less time is left than callers give at first. Whoever came back
//! can't be answered in time any more, but should wait for a group that runs nothing in
//! place of being refused again: most callers come back once. Taken for new requests, 79
//! of 101 callers ended refused in two seconds of a group's absence.
//!
//! How much callers give at first isn't configured; it is observed while nobody is
//! about to come back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How much longer each step of time is than the one before.
const STEP: f64 = 1.04;

/// How fast older requests are forgotten.
const MEMORY: Duration = Duration::from_secs(30);

/// The part of requests whose callers gave about as much time, for that to be what some
/// give at first. Two in a hundred come back at once behind a failure of a plain service.
const COMMON: f64 = 0.03;

/// Requests that a judgement rests on at least: a single odd one is less than the part
/// above of so many.
const ENOUGH: f64 = 50.0;

/// How long behind the time at which a caller was told to come back others may come:
/// callers take a while to connect anew.
const LATER: Duration = Duration::from_secs(1);

/// The longest time that another entry is believed callers give.
const MAX_HINT: Duration = Duration::from_hours(1);

/// Times that one entry tells another at most.
pub const MAX_HINTS: usize = 12;

/// The times that callers of one service gave lately.
#[derive(Debug, Default)]
pub struct Times {
    /// How many gave so much, older ones weighing less.
    weights: BTreeMap<i32, f64>,
    sum: f64,
    at: Duration,
    /// Until when callers may come back that were refused.
    unsettled: Duration,
    /// What many callers give at first, as another entry says.
    hints: BTreeSet<i32>,
}

/// The step of a time.
#[allow(clippy::cast_possible_truncation)] // Logarithms of times are small.
fn step(time: Duration) -> i32 {
    (time.as_secs_f64().max(1e-3).ln() / STEP.ln()).round() as i32
}

/// The time of a step.
fn time(step: i32) -> Duration {
    Duration::from_secs_f64(STEP.powi(step))
}

impl Times {
    /// Takes in that a caller was refused and told to come back later.
    pub fn refused(&mut self, now: Duration, after: Duration) {
        self.unsettled = self.unsettled.max(now + after + LATER);
    }

    /// Takes in a request whose caller waits so long; tells how much of its time the
    /// caller had spent before at least, nothing for one that comes for the first time.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::fresh::Times;
    ///
    /// let (mut times, full) = (Times::default(), Duration::from_secs(8));
    /// for request in 0..60 {
    ///     times.see(Duration::from_millis(request * 10), full);
    /// }
    /// let spent = times.see(Duration::from_secs(1), Duration::from_millis(5_500));
    /// assert!(spent > Duration::from_secs(2));
    /// ```
    pub fn see(&mut self, now: Duration, wait: Duration) -> Duration {
        let step = step(wait);
        if now >= self.unsettled {
            self.forget(now);
            *self.weights.entry(step).or_default() += 1.0;
            self.sum += 1.0;
        }
        if self.is_common(step) {
            return Duration::ZERO;
        }
        let full = if self.is_settled() {
            let mut longer = self.weights.range(step..).map(|(longer, _)| *longer);
            longer.find(|longer| self.is_common(*longer))
        } else {
            self.hints.range(step..).next().copied()
        };
        full.map_or(Duration::ZERO, |full| time(full).saturating_sub(wait))
    }

    /// Whether enough requests came to tell retries from them.
    fn is_settled(&self) -> bool {
        self.sum >= ENOUGH
    }

    /// The times that many callers give at first, for entries that know none.
    pub fn common(&self) -> impl Iterator<Item = Duration> {
        let settled = self.is_settled();
        let steps = self.weights.keys().filter(move |_| settled);
        steps
            .filter(|step| self.is_common(**step))
            .map(|step| time(*step))
            .take(MAX_HINTS)
    }

    /// Takes in the times that many callers give at first by another entry's count. They
    /// stand in for what this one hasn't seen yet.
    ///
    /// An entry that is started during an outage sees mostly retries, and can't tell them
    /// from first attempts by itself.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::fresh::Times;
    ///
    /// let mut times = Times::default();
    /// times.hint([Duration::from_secs(8)].into_iter());
    /// let spent = times.see(Duration::ZERO, Duration::from_millis(5_500));
    /// assert!(spent > Duration::from_secs(2));
    /// ```
    pub fn hint(&mut self, times: impl Iterator<Item = Duration>) {
        if self.is_settled() {
            return;
        }
        let sane = times.filter(|time| !time.is_zero() && *time <= MAX_HINT);
        let steps: BTreeSet<i32> = sane.take(MAX_HINTS).map(step).collect();
        if !steps.is_empty() {
            self.hints = steps;
        }
    }

    /// Whether many callers give about as much at first.
    fn is_common(&self, step: i32) -> bool {
        if !self.is_settled() {
            return self.hints.is_empty() || self.hints.range(step - 1..=step + 1).next().is_some();
        }
        let near = self.weights.range(step - 1..=step + 1);
        near.map(|(_, weight)| weight).sum::<f64>() >= COMMON * self.sum
    }

    /// Lets older requests count less.
    fn forget(&mut self, now: Duration) {
        let age = now.saturating_sub(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        if age < 0.01 {
            return;
        }
        self.at = now;
        let fade = (-age).exp();
        self.weights.values_mut().for_each(|weight| *weight *= fade);
        self.weights.retain(|_, weight| *weight > 0.01);
        self.sum = self.weights.values().sum();
    }
}
