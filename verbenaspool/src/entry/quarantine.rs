//! Quarantines requests that crash upstreams, as reported by the agents.

use std::time::Duration;

use slog::warn;
use verbenaspool_policy::quarantine::{Crash, Limits, Observer, Status};
use verbenaspool_protocol::{digest, report};
use verbenaspool_state::{fingerprint::Fingerprint, name::Name};

use super::Entry;

impl Entry {
    /// How long a request stays quarantined, if it is.
    pub fn quarantine_time_left(&self, request: Fingerprint) -> Option<Duration> {
        let now = self.clock.now();
        match self.quarantine.borrow().status(now, request) {
            Status::Quarantined(left) => Some(left),
            Status::Suspect | Status::Clear => None,
        }
    }

    /// Records that a request succeeded.
    pub fn record_success(&self, request: Fingerprint) {
        let now = self.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.record_success(now, request, now, Observer::Own);
    }

    /// Records the requests that an upstream was running when it crashed.
    pub(super) fn record_crashes(&self, upstream: &Name, crashes: &[report::Crash]) {
        let now = self.clock.now();
        let limits = Limits::default();
        let mut quarantine = self.quarantine.borrow_mut();
        for crash in crashes {
            let at = now.saturating_sub(Duration::from_millis(crash.age_ms));
            let ran = crash.ran_ms.map(Duration::from_millis);
            let request = crash.request;
            let crash = Crash::new(at, digest::hash(upstream.as_str()), ran);
            if quarantine.record_crash(now, request, crash, Observer::Own, &limits) {
                warn!(self.log, "request quarantined"; "fingerprint" => request.to_string(),
                    "for_s" => limits.duration.as_secs());
            }
        }
    }
}
