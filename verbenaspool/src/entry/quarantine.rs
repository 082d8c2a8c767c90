//! Quarantines requests that crash upstreams, as reported by the agents.

use std::time::Duration;

use slog::warn;
use verbenaspool_policy::quarantine::{Crash, Limits, Observer, Status, Subject};
use verbenaspool_protocol::{digest, report};
use verbenaspool_state::{fingerprint::Fingerprint, name::Name};

use super::Entry;

/// The requests of one crash find it within this time, in milliseconds. A restart takes longer.
const SAME_CRASH_WINDOW_MS: u64 = 100;

impl Entry {
    /// How long a request stays quarantined, if it is.
    pub fn quarantine_time_left(&self, subject: &Subject) -> Option<Duration> {
        let now = self.clock.now();
        match self.quarantine.borrow().subject_status(now, subject) {
            Status::Quarantined(left) => Some(left),
            Status::Suspect | Status::Clear => None,
        }
    }

    /// Records that a request succeeded by an attempt that was answered from `started_at` on.
    pub fn record_success(&self, subject: &Subject, started_at: Duration) {
        let now = self.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.record_success(now, subject.request, now, Observer::Own);
        quarantine.record_run(now, subject, started_at);
    }

    /// Records the requests that an upstream was running when it crashed.
    pub(super) fn record_crashes(&self, upstream: &Name, crashes: &[report::Crash]) {
        let now = self.clock.now();
        let limits = Limits::default();
        let service = self.upstreams.service(upstream);
        let service = digest::hash(service.as_ref().map_or("", Name::as_str));
        let upstream = digest::hash(upstream.as_str());
        let suspect = |crash: &report::Crash| Subject {
            request: crash.request,
            service,
            customer: crash.customer,
            parts: crash.parts.clone(),
        };
        let mut quarantine = self.quarantine.borrow_mut();
        // The requests of one crash follow each other, as the upstream takes time to restart.
        let same_crash = |a: &report::Crash, b: &report::Crash| {
            a.age_ms.abs_diff(b.age_ms) < SAME_CRASH_WINDOW_MS
        };
        for crash in crashes.chunk_by(same_crash) {
            let at = now.saturating_sub(Duration::from_millis(crash[0].age_ms));
            let suspects: Vec<Subject> = crash.iter().map(suspect).collect();
            quarantine.record_agent_report(now, upstream, at, &suspects);
        }
        for crash in crashes {
            let request = crash.request;
            let at = now.saturating_sub(Duration::from_millis(crash.age_ms));
            let ran = crash.ran_ms.map(Duration::from_millis);
            let observed = Crash::new(at, upstream, ran);
            if quarantine.record_crash(now, request, observed, Observer::Own, &limits) {
                self.log_quarantined("request quarantined", request);
            }
        }
    }

    /// Quarantines the parts of prompts that crashes are attributed to.
    pub(super) fn blame_parts(&self) {
        let now = self.clock.now();
        let blamed = {
            let mut quarantine = self.quarantine.borrow_mut();
            quarantine.blame_parts(now, &Limits::default())
        };
        for part in blamed {
            self.log_quarantined("prompt part quarantined", part);
        }
    }

    fn log_quarantined(&self, message: &'static str, fingerprint: Fingerprint) {
        warn!(self.log, "{message}"; "fingerprint" => fingerprint.to_string(),
            "for_s" => Limits::default().duration.as_secs());
    }
}
