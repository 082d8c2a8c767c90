//! The slots of one upstream, which the agent beside it keeps for requests that are on
//! their way.
//!
//! Load: tens of entries that place on hundreds of upstreams. Each hears of what the
//! others placed a quarter of a second late, in which all of them together place as
//! many streams as there are free slots. Without this, a fifth of the streams stood in
//! line at an upstream that was full while others had room, and their callers left.
//! The agent reads the upstream's report many times a second and is asked before each
//! request, so it alone knows what is free at this moment.

use std::{collections::VecDeque, time::Duration};

/// How long a request takes at most from the word of the agent to the upstream: there
/// and back between two zones, a new connection, and an entry that is busy. One that
/// takes longer stands in line there, which costs nothing but its own time.
const MAX_TRANSIT: Duration = Duration::from_millis(25);

/// One upstream's slots.
#[derive(Debug, Default)]
pub struct Slots {
    /// Requests that it had by its last report.
    reported: u32,
    /// When slots were granted that the last report needn't show.
    granted_at: VecDeque<Duration>,
}

impl Slots {
    /// Takes in how many requests the upstream had, by a report that was asked for at
    /// some time.
    pub fn report(&mut self, requested_at: Duration, requests: u32) {
        self.reported = requests;
        let covered = |granted: &Duration| *granted + MAX_TRANSIT <= requested_at;
        while self.granted_at.front().is_some_and(covered) {
            self.granted_at.pop_front();
        }
    }

    /// Requests that the upstream has, those included that are on their way.
    #[must_use]
    pub fn requests(&self) -> u32 {
        let granted = u32::try_from(self.granted_at.len()).unwrap_or(u32::MAX);
        self.reported.saturating_add(granted)
    }

    /// Keeps one of so many slots for a request, if one is free.
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
        let free = self.requests() < slots;
        if free {
            self.granted_at.push_back(now);
        }
        free
    }
}
