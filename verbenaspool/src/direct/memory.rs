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
/// readers can't keep requests out, callers can't cut the entry off from the store and peers, and
/// those can't keep requests out by responses without end.
#[derive(Debug)]
pub struct Memory {
    /// Everything that is held for others.
    pub whole: Budget,
    /// The part for callers: bodies of requests, and the next part.
    pub callers: Budget,
    /// The part for responses that callers haven't taken, and for long heads of requests.
    readers: Budget,
    /// The part for responses of the store, and for calls and responses of peers.
    pub systems: Budget,
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
            systems: whole.part(),
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
        for system in System::ALL_SYSTEMS {
            let excesses = metrics.counter(
                "verbenaspool_oversized_responses_total",
                "Responses of other systems that exceeded their limits.",
                &[("system", system.name())],
            );
            excesses.set(self.systems.excesses(system));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::Memory;

    /// Guards against rejecting callers' requests because the store or peers send without end.
    #[test]
    fn the_store_and_peers_leave_memory_to_callers() {
        let memory = Memory::new(16 * 1024 * 1024);
        let limit = memory.systems.limit();
        let _held = memory.systems.try_take(limit).expect("all that they get");
        assert!(!memory.systems.fits(1));
        assert!(memory.callers.fits(2 * 1024 * 1024));
    }

    /// Guards against cutting the entry off from the store and peers by callers' requests.
    #[test]
    fn callers_leave_memory_to_the_store_and_peers() {
        let memory = Memory::new(16 * 1024 * 1024);
        let limit = memory.callers.limit();
        let _held = memory.callers.try_take(limit).expect("all that they get");
        assert!(memory.systems.fits(2 * 1024 * 1024));
    }
}
