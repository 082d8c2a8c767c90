//! What the entry holds for callers, the store and peers.

use std::{cell::Cell, time::Duration};

use slog::{Logger, info};
use verbenaspool_transport::{
    http::{
        memory::{Budget, System},
        server::{Connections, Limits},
    },
    metrics,
};

/// Requests are rejected when this many bytes of their bodies don't fit any more.
const EXHAUSTED_BYTES: usize = 64 * 1024;

/// Shortest interval between log lines about callers that were disconnected.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The budgets of the entry. Each part leaves a quarter of its whole to the others, so that slow
/// readers can't keep requests out, and callers can't cut the entry off from the store and peers.
#[derive(Debug)]
pub struct Memory {
    /// Everything that is held for others.
    pub whole: Budget,
    /// The part for callers: bodies of requests, and the next part.
    pub callers: Budget,
    /// The part for responses that callers haven't taken, and for long heads of requests.
    readers: Budget,
    /// The connections of callers.
    pub connections: Connections,
    exhausted: Cell<bool>,
    /// Number of slow readers at the last log line about them, and when that was.
    logged: Cell<(u64, Duration)>,
}

impl Memory {
    /// Creates the budgets.
    pub fn new(bytes: usize) -> Self {
        let whole = Budget::new(bytes);
        let callers = whole.part();
        Self {
            readers: callers.part(),
            callers,
            whole,
            connections: Connections::default(),
            exhausted: Cell::default(),
            logged: Cell::default(),
        }
    }

    /// Adds the limits on what callers' connections hold.
    pub fn limit(&self, limits: &Limits) -> Limits {
        Limits {
            budget: self.readers.clone(),
            closes_slow_readers: true,
            limits_socket_buffers: true,
            ..limits.clone()
        }
    }

    /// Logs when the budget for callers is used up and when it is available again, and that slow
    /// readers were disconnected.
    pub fn log_changes(&self, now: Duration, log: &Logger) {
        let (used, limit) = (self.callers.used(), self.callers.limit());
        let exhausted = if self.exhausted.get() {
            used > limit / 4 * 3
        } else {
            !self.callers.fits(EXHAUSTED_BYTES)
        };
        if self.exhausted.replace(exhausted) != exhausted {
            let change = if exhausted {
                "memory for callers used up; rejecting requests"
            } else {
                "memory for callers available again"
            };
            info!(log, "{}", change; "held" => used, "limit" => limit);
        }
        let (logged, at) = self.logged.get();
        let slow_readers = self.connections.slow_readers();
        if slow_readers > logged && now.saturating_sub(at) >= LOG_INTERVAL {
            info!(log, "callers disconnected that read too slowly";
                "connections" => slow_readers - logged);
            self.logged.set((slow_readers, now));
        }
    }

    /// Updates the metrics before they are exported.
    pub fn update_metrics(&self, metrics: &metrics::Registry) {
        let gauge = |name, help, bytes: usize| {
            #[allow(clippy::cast_precision_loss)] // Sizes stay far below 2^52.
            metrics.gauge(name, help, &[]).set(bytes as f64);
        };
        gauge(
            "verbenaspool_memory_limit_bytes",
            "Bytes that may be held for callers, the store and peers.",
            self.whole.limit(),
        );
        gauge(
            "verbenaspool_memory_held_bytes",
            "Bytes held for callers, the store and peers.",
            self.whole.used(),
        );
        gauge(
            "verbenaspool_memory_callers_held_bytes",
            "Bytes held for callers.",
            self.callers.used(),
        );
        let slow_readers = metrics.counter(
            "verbenaspool_slow_readers_total",
            "Callers that were disconnected because they read too slowly.",
            &[],
        );
        slow_readers.set(self.connections.slow_readers());
        for system in System::ALL {
            let excesses = metrics.counter(
                "verbenaspool_oversized_responses_total",
                "Responses of other systems that exceeded their limits.",
                &[("system", system.name())],
            );
            excesses.set(self.whole.excesses(system));
        }
    }
}
