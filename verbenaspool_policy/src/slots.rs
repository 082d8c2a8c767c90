//! The slots of one upstream, which its agent reserves for requests that are in
//! transit.
//!
//! Tens of entries place requests on hundreds of upstreams. Each learns of the others'
//! placements a quarter of a second late, a time in which all of them together place as
//! many streams as there are free slots. Without reservation, a fifth of the streams
//! waited at a full upstream while others had free slots, and their callers left. The
//! agent reads the upstream's report many times a second and is asked before each
//! request, so only the agent knows which slots are free.

use std::{collections::VecDeque, time::Duration};

use verbenaspool_state::rate_limit::RateLimit;

use crate::{rate_limit::Pacer, warm_up::Window};

/// The longest time from the agent's grant until the request reaches the upstream: a
/// round trip between two zones, a new connection, and a busy entry. A request that
/// takes longer may wait at the upstream, which delays only that request.
const MAX_TRANSIT: Duration = Duration::from_millis(25);

/// One upstream's slots.
#[derive(Debug, Default)]
pub struct Slots {
    /// Requests in the upstream's last report.
    reported: u32,
    /// The times of grants that the last report may not include.
    granted_at: VecDeque<Duration>,
    /// Until when the upstream warms up, and the maximum of grants per second meanwhile.
    warm_up: (Duration, u32),
    /// Grants of the last second.
    window: Window,
    /// The limit that the upstream's answers name.
    rate_limit: RateLimit,
    /// Grants since it names one.
    pacer: Pacer,
}

impl Slots {
    /// Records the number of requests in a report of the upstream, and when the report
    /// was requested.
    pub fn report(&mut self, requested_at: Duration, requests: u32) {
        self.reported = requests;
        let covered = |granted: &Duration| *granted + MAX_TRANSIT <= requested_at;
        while self.granted_at.front().is_some_and(covered) {
            self.granted_at.pop_front();
        }
    }

    /// Requests at the upstream or in transit to it.
    #[must_use]
    pub fn requests(&self) -> u32 {
        let granted = u32::try_from(self.granted_at.len()).unwrap_or(u32::MAX);
        self.reported.saturating_add(granted)
    }

    /// Limits grants to `max_rate` a second while the upstream warms up. Entries may have
    /// learned of it at different times, so the latest end counts.
    pub fn set_warm_up(&mut self, until: Duration, max_rate: u32) {
        self.warm_up = (until.max(self.warm_up.0), max_rate);
    }

    /// Limits grants as an answer of the upstream says, unless an answer that an entry got later
    /// says otherwise. Returns whether the limit changed.
    pub fn set_rate_limit(&mut self, limit: RateLimit) -> bool {
        let changed = self.rate_limit.update(limit);
        if changed && limit.per_second.is_none() {
            self.pacer = Pacer::default();
        }
        changed
    }

    /// How long no request is granted because of the upstream's limits.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Duration {
        let (warm_up_until, max_rate) = self.warm_up;
        let warm_up_wait = if now < warm_up_until {
            self.window.wait(now, max_rate)
        } else {
            Duration::ZERO
        };
        let rate = self.rate_limit.per_second;
        let wait = rate.map(|rate| self.pacer.wait(now, rate, 1));
        warm_up_wait.max(wait.unwrap_or_default())
    }

    /// Reserves one of `slots` for a request, if one is free.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::slots::Slots;
    ///
    /// let mut slots = Slots::default();
    /// slots.report(Duration::ZERO, 5);
    /// assert!(slots.grant(Duration::from_millis(1), 6));
    /// assert!(!slots.grant(Duration::from_millis(2), 6));
    /// ```
    pub fn grant(&mut self, now: Duration, slots: u32) -> bool {
        let free = self.requests() < slots && self.wait(now).is_zero();
        if free {
            self.granted_at.push_back(now);
            self.window.record(now);
            if self.rate_limit.per_second.is_some() {
                self.pacer.record(now);
            }
        }
        free
    }
}
