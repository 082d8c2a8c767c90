//! Whether the store has been unavailable for so long that registrations may have expired.
//!
//! Registrations of running upstreams expire if the store is down, and upstreams that are missing
//! after that are kept for some time. A call of this entry may also fail because of its connection or
//! the store's rate limit, while the store answers others, and then those that are missing have left.

use std::time::Duration;

use super::gateway::Gateway;

/// Heartbeats of an upstream that must be lost at least for its registration to expire: it does after
/// three intervals, and the last heartbeat may be one interval old as the store fails.
const MIN_LOST_HEARTBEATS: u32 = 2;

/// When the store answered, and the end of its last outage.
#[derive(Debug, Default)]
pub struct Outage {
    /// When it last answered this entry or a peer, or ended a call, if it did.
    last_answer: Option<Duration>,
    /// When it last answered this entry, if it did.
    last_own_answer: Option<Duration>,
    /// When it answered again after the last outage, if there was one.
    ended_at: Option<Duration>,
}

impl Outage {
    /// Records when the store answered a call of a peer. `has_failed` tells whether one of this entry
    /// has failed since the store last answered it, and `min_time` how long an outage is at least.
    pub fn record_answer(&mut self, at: Duration, has_failed: bool, min_time: Duration) {
        let silence = self.last_answer.map(|before| at.saturating_sub(before));
        if has_failed && silence.is_none_or(|silence| silence >= min_time) {
            self.ended_at = Some(at);
        }
        self.last_answer = self.last_answer.max(Some(at));
    }

    /// Records when the store answered a call of this entry.
    pub fn record_own_answer(&mut self, at: Duration, has_failed: bool, min_time: Duration) {
        self.record_answer(at, has_failed, min_time);
        self.last_own_answer = Some(at);
    }

    /// Records when the store was reached without an answer, as it ended a call that had waited: an
    /// outage hasn't begun before.
    pub fn record_contact(&mut self, at: Duration) {
        self.last_answer = self.last_answer.max(Some(at));
    }

    /// Records that the store came back in a state from before, which counts as an outage.
    pub fn record_restore(&mut self, at: Duration) {
        self.ended_at = Some(at);
    }

    /// When the store last answered this entry, if it did.
    #[must_use]
    pub fn last_own_answer(&self) -> Option<Duration> {
        self.last_own_answer
    }

    /// When the last outage ended, if there was one.
    #[must_use]
    pub fn ended_at(&self) -> Option<Duration> {
        self.ended_at
    }
}

impl Gateway {
    /// How long the store must be unavailable at least for registrations to expire.
    fn min_outage_time(&self) -> Duration {
        self.settings.borrow().limits.heartbeat_interval() * MIN_LOST_HEARTBEATS
    }

    /// Records that the store answered a call of this entry. `has_failed` tells whether the call
    /// before had failed.
    pub fn record_store_answer(&self, has_failed: bool) {
        let (now, min_time) = (self.clock.now(), self.min_outage_time());
        let has_failed = has_failed || self.failing_followers.get() > 0;
        let mut outage = self.outage.borrow_mut();
        outage.record_own_answer(now, has_failed, min_time);
    }

    /// Records how long ago the store answered a peer, as it says.
    pub fn record_peer_answer(&self, age_ms: u32) {
        let age = Duration::from_millis(age_ms.into());
        let (at, min_time) = (self.clock.now().saturating_sub(age), self.min_outage_time());
        let has_failed = self.failing_followers.get() > 0;
        let mut outage = self.outage.borrow_mut();
        outage.record_answer(at, has_failed, min_time);
    }

    /// How long ago the store answered this entry, in milliseconds, if it did.
    pub fn store_answer_age_ms(&self) -> Option<u32> {
        let answered_at = self.outage.borrow().last_own_answer()?;
        let age = self.clock.now().saturating_sub(answered_at);
        Some(u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
    }
}

#[cfg(test)]
mod tests;
