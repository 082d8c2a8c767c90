//! Logs and metrics of balancing by learned speed, and what responses tell it.

use std::{rc::Rc, time::Duration};

use slog::{Logger, info, o};
use verbenaspool_policy::dispatch::{
    AttemptOutcome,
    balance::{Change, State},
};

use super::{
    gateway::Gateway,
    queue::{Permit, ServiceQueue},
};

impl Permit {
    /// Records the load that the upstream told in a response.
    pub fn record_told_load(&self, load: [u32; 3]) {
        self.queue
            .with(|dispatcher, now| dispatcher.record_told_load(now, &self.upstream, load));
    }
}

impl ServiceQueue {
    /// Records how long an upstream took for a request, or how long it had it without a good
    /// response. A request that the upstream rejected or that didn't reach it says nothing.
    pub(super) fn record_upstream_time(
        &self,
        upstream: &Rc<str>,
        time: Duration,
        outcome: AttemptOutcome,
    ) {
        let complete = match outcome {
            AttemptOutcome::Good => true,
            AttemptOutcome::Bad | AttemptOutcome::Silent | AttemptOutcome::Unknown => false,
            AttemptOutcome::Full | AttemptOutcome::Backoff | AttemptOutcome::Unreached => return,
        };
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.record_upstream_time(now, upstream, time, complete);
    }

    /// The state of balancing, where the settings enable it.
    pub(super) fn balancing_state(&self) -> Option<State> {
        self.dispatcher.borrow().balancing_state()
    }

    /// Logs the decisions of balancing that have begun or ended.
    pub(super) fn log_balancing(&self) {
        for change in self.dispatcher.borrow_mut().take_balancing_changes() {
            let log = self.log.new(o!("service" => self.service.to_string()));
            match change {
                Change::Slow(upstream, ratio) => {
                    info!(log, "upstream is slow"; "upstream" => &*upstream, "ratio" => ratio);
                }
                Change::NotSlow(upstream) => {
                    info!(log, "upstream isn't slow any more"; "upstream" => &*upstream);
                }
                Change::Ejected(upstream) => {
                    info!(log, "upstream ejected"; "upstream" => &*upstream);
                }
                Change::Returned(upstream) => {
                    info!(log, "upstream has its capacity back"; "upstream" => &*upstream);
                }
                Change::OtherZones => {
                    info!(log, "using other zones; none of the own zone is in time");
                }
                Change::OwnZone => info!(log, "no longer using other zones for lack of capacity"),
            }
        }
    }
}

/// Adds the state of balancing to the log line of a request, where the settings enable it.
pub fn with_state(log: &Logger, state: Option<State>) -> Logger {
    let Some(state) = state else {
        return log.clone();
    };
    log.new(o!(
        "slow_upstreams" => state.slow, "returning_upstreams" => state.returning,
        "other_zones" => state.uses_other_zones,
    ))
}

impl Gateway {
    /// Updates the metrics of balancing, where the settings enable it.
    pub fn update_balancing_metrics(&self) {
        for queue in self.queues() {
            let counts = queue.dispatcher.borrow().balancing_counts();
            let (Some(counts), Some(state)) = (counts, queue.balancing_state()) else {
                continue;
            };
            let pairs = [("service", &*queue.service)];
            let counter = |name, help, value| self.metrics.counter(name, help, &pairs).set(value);
            counter(
                "verbenaspool_other_zone_requests_total",
                "Requests sent to another zone although the entry's own has upstreams.",
                counts.other_zone_requests,
            );
            counter(
                "verbenaspool_ejections_total",
                "Ejections of upstreams that failed.",
                counts.ejections,
            );
            counter(
                "verbenaspool_last_resort_requests_total",
                "Requests sent to ejected upstreams, as no other was left.",
                counts.last_resort_requests,
            );
            let gauge = |name, help, value: u32| {
                self.metrics.gauge(name, help, &pairs).set(value.into());
            };
            gauge(
                "verbenaspool_slow_upstreams",
                "Upstreams that take at least twice the median service time.",
                state.slow,
            );
            gauge(
                "verbenaspool_returning_upstreams",
                "Upstreams that were ejected and get few requests yet.",
                state.returning,
            );
        }
    }
}
