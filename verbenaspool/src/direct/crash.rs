//! Distinguishes a crash of an upstream from a broken connection.

use std::time::Duration;

use slog::warn;
use verbenaspool_policy::quarantine::{Crash, EARLY_CRASH_TIME, Status};
use verbenaspool_protocol::digest;
use verbenaspool_state::replica::{Replica, State};

use super::{answer::Failure, attempt::PendingRequest};

/// How long to wait for an instance to refuse a connection. Its kernel does so within a round
/// trip. The request waits for the result.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Why a request may not be sent to any upstream.
#[derive(Debug, Clone, Copy)]
pub enum BlockReason {
    /// It crashed upstreams and is rejected for this long.
    Quarantined(Duration),
    /// It may have crashed an upstream, and the service can't lose another one now without
    /// failing the requests of other callers.
    Suspect,
}

impl BlockReason {
    /// The reason in logs and responses.
    pub fn name(self) -> &'static str {
        match self {
            Self::Quarantined(_) => "quarantined",
            Self::Suspect => "suspect",
        }
    }
}

impl PendingRequest {
    /// Checks whether an upstream crashed after its connection broke, and records the crash.
    ///
    /// The instance of a crashed upstream refuses connections. Upstreams that are shutting down
    /// don't count.
    pub async fn detect_crash(&self, upstream: &str) {
        let gateway = &self.gateway;
        let response_started_at = self.response_started_at.get();
        let ran = response_started_at.map(|started| gateway.clock.now().saturating_sub(started));
        let listed = gateway.replica(upstream);
        let Some(replica) = listed.filter(|replica| replica.state == State::Ready) else {
            return;
        };
        if !self.is_gone(&replica).await {
            return;
        }
        let ran_ms = ran.map(|ran| ran.as_secs_f64() * 1e3);
        warn!(gateway.log, "upstream crashed"; "upstream" => &*replica.id,
            "service" => &*replica.service, "request" => self.record.id(),
            "fingerprint" => self.subject.request.to_string(), "ran_ms" => ran_ms,
            "events" => self.attempt_events.get(),
            "parts" => self.caller_headers.shared_parts.join(","));
        let written = if self.is_written() { "yes" } else { "no" };
        let crashed_requests = gateway.metrics.counter(
            "verbenaspool_crashed_requests_total",
            "Requests whose upstream crashed while it had them.",
            &[("service", &*replica.service), ("written", written)],
        );
        crashed_requests.increment();
        let upstream = digest::hash(&replica.id);
        let crash = Crash::new(gateway.clock.now(), upstream, ran);
        gateway.on_crash(self, crash);
        self.queue.record_crash(&replica.id);
    }

    /// Whether an answer that ended with its connection was ended by the exit of the current
    /// upstream, by a crash or because it was leaving.
    pub async fn is_ended_by_exit(&self) -> bool {
        let replica = self.replica.borrow().clone();
        match replica {
            Some(replica) => self.is_gone(&replica).await,
            None => false,
        }
    }

    /// Whether an upstream's instance refuses connections.
    async fn is_gone(&self, replica: &Replica) -> bool {
        let client = &self.gateway.client;
        client.is_refused_by(replica.address, PROBE_TIMEOUT).await
    }

    /// Whether the current upstream has written a part of the answer.
    pub fn is_written(&self) -> bool {
        self.attempt_events.get() > 0
    }

    /// Records that the request succeeded.
    pub fn record_success(&self) {
        self.gateway.on_success(self.subject.request);
        self.record_sound();
    }

    /// Records the current attempt as sound once the upstream has survived it for long enough.
    pub fn check_attempt_sound(&self) {
        let started_at = self.response_started_at.get();
        let ran = started_at.map(|at| self.gateway.clock.now().saturating_sub(at));
        if self.is_written() && ran.is_some_and(|ran| ran >= EARLY_CRASH_TIME) {
            self.record_sound();
        }
    }

    /// Records the current attempt as sound.
    fn record_sound(&self) {
        let started_at = self.response_started_at.get();
        if let Some(started_at) = started_at.filter(|_| !self.attempt_sound.replace(true)) {
            self.gateway.on_sound_run(&self.subject, started_at);
        }
    }

    /// Whether the request is currently blocked because upstreams crashed while processing it.
    pub fn block_reason(&self) -> Option<BlockReason> {
        match self.gateway.quarantine_status(&self.subject) {
            Status::Quarantined(left) => Some(BlockReason::Quarantined(left)),
            Status::Suspect if !self.queue.can_lose_one() => Some(BlockReason::Suspect),
            Status::Suspect | Status::Clear => None,
        }
    }

    /// The response to a blocked request.
    pub fn blocked_failure(&self, reason: BlockReason) -> Failure {
        if self.may_have_run.get() {
            return Failure::bad_gateway(reason.name());
        }
        let retry_after = match reason {
            BlockReason::Quarantined(left) => left,
            BlockReason::Suspect => self.queue.retry_after(self.caller_time_left()),
        };
        Failure::unavailable(reason.name(), retry_after)
    }
}
