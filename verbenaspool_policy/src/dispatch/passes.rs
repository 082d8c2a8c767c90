//! The passes of groups, as seen by the events of their streams: how long they take, and whether
//! they have stalled.

use std::time::Duration;

use super::{
    Dispatcher,
    slow::{self, StallScope},
};

impl Dispatcher {
    /// Whether an upstream is so much slower than other available ones that its streams
    /// should move elsewhere.
    #[must_use]
    pub fn is_slow(&self, now: Duration, id: &str) -> bool {
        let fastest = self.fastest_pace(now);
        let pace = self.upstreams.get(id).map_or(1.0, |upstream| upstream.pace);
        slow::is_slow(pace, fastest)
    }

    /// The pace of the fastest available upstream.
    pub(super) fn fastest_pace(&self, now: Duration) -> f64 {
        let paces = self.available(now).map(|(_, upstream)| upstream.pace);
        paces.fold(f64::INFINITY, f64::min)
    }

    /// Records that a stream at an upstream got an event.
    pub fn record_event(&mut self, now: Duration, id: &str) {
        if let Some(upstream) = self.upstreams.get(id) {
            self.last_events.insert(upstream.group, now);
        }
    }

    /// Tells whether a stream that has had no event since `since` is stalled alone or with
    /// its group.
    #[must_use]
    pub fn classify_stall(&self, now: Duration, id: &str, since: Duration) -> StallScope {
        let group = self.upstreams.get(id).map_or(0, |upstream| upstream.group);
        if group == 0 {
            // Without a known group the upstream is judged by itself.
            return StallScope::Stream;
        }
        let mut others = self.available(now).filter(|(_, u)| u.group != group);
        let other_groups_run = others.any(|(_, u)| self.circuit_closed(u.group));
        slow::classify(
            since,
            self.last_events.get(&group).copied(),
            other_groups_run,
        )
    }

    /// The current pass time of an upstream's group, if samples exist.
    #[must_use]
    pub fn pass_time(&self, now: Duration, id: &str) -> Option<Duration> {
        let (engine, upstream) = (self.engine.as_ref()?, self.upstreams.get(id)?);
        let pace = self.group_paces.get(&upstream.group)?.pace(now, 1.0);
        Some(
            engine
                .pass_time(self.mean_requests(upstream.group))
                .mul_f64(pace),
        )
    }

    /// Records the time between two events of a stream.
    pub fn record_pause(&mut self, now: Duration, id: &str, pause: Duration) {
        let (Some(engine), Some(upstream)) = (&self.engine, self.upstreams.get(id)) else {
            return;
        };
        let group = upstream.group;
        let configured = engine.pass_time(self.mean_requests(group));
        let ratio = pause.as_secs_f64() / configured.as_secs_f64().max(1e-6);
        self.group_paces
            .entry(group)
            .or_default()
            .record(now, ratio);
        self.overall_pace.record(now, ratio);
    }
}
