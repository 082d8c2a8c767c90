//! Tells an upstream's crash from a connection that broke.

use slog::warn;
use verbenaspool_policy::quarantine::Crash;
use verbenaspool_protocol::digest;
use verbenaspool_state::replica::{Replica, State};

use super::attempt::Work;

impl Work {
    /// Finds out whether the upstream crashed that broke off this request's answer: its
    /// instance refuses connections. One that leaves on purpose doesn't count.
    pub async fn detect_crash(&self, replica: &Replica) -> bool {
        let gateway = &self.gateway;
        let ran = self
            .started
            .get()
            .map(|started| gateway.clock.now().saturating_sub(started));
        let listed = gateway.replica(&replica.id);
        let stays = listed.is_some_and(|replica| replica.state == State::Ready);
        if !stays || !gateway.client.is_refused_by(replica.address).await {
            return false;
        }
        let ran_ms = ran.map(|ran| ran.as_secs_f64() * 1e3);
        warn!(gateway.log, "upstream crashed"; "upstream" => &*replica.id,
            "service" => &*replica.service, "request" => self.record.id(),
            "fingerprint" => self.fingerprint.to_string(), "ran_ms" => ran_ms);
        let crashed = gateway.metrics.counter(
            "verbenaspool_crashed_requests_total",
            "Requests whose upstream crashed while it had them.",
            &[("service", &*replica.service)],
        );
        crashed.count();
        let upstream = digest::hash(&replica.id);
        let crash = Crash::new(gateway.clock.now(), upstream, ran);
        gateway.on_crash(self.fingerprint, crash);
        self.queue.crashed(&replica.id);
        true
    }
}
