//! Callers that find out which configuration entries use.

use std::{
    ops::Range,
    time::{Duration, Instant},
};

use http::StatusCode;
use rand::Rng;
use verbenaspool_platform_standin::text;
use verbenaspool_transport::http::body::Body;

use crate::{
    caller::{ANSWER_TIMEOUT, Caller},
    check::Checks,
    deployment::{KEY, MOVED_PATH, version_key, version_path},
};

/// How long after the store accepted a configuration all entries use it.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// The pause of a caller between two requests.
const PAUSE_MS: Range<u64> = 5..40;

/// How long after it arrived a request that an entry passes on reaches an upstream.
const RUN_TIME: Duration = Duration::from_millis(20);

/// An answer that shows that an entry used an older configuration than the newest one.
#[derive(Debug)]
pub struct Outdated {
    entry: usize,
    sent_at: Instant,
    /// The newest version, which the entry didn't use.
    version: u64,
    /// What the answer shows.
    what: &'static str,
}

/// What tells that an entry uses the newest configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    /// It serves the route and the key that only this version has.
    Added,
    /// It doesn't serve the route that only the version before had.
    Dropped,
    /// It doesn't accept the key that only the version before had.
    Revoked,
    /// It sends requests to the service to which this version moved a route.
    Moved,
}

const PROBE_KINDS: [Probe; 4] = [Probe::Added, Probe::Dropped, Probe::Revoked, Probe::Moved];

impl Probe {
    /// The path and API key of a request, with this newest version.
    fn target(self, version: u64) -> (String, String) {
        let key = KEY.to_owned();
        match self {
            Self::Added => (version_path(version), version_key(version)),
            Self::Dropped => (version_path(version - 1), key),
            Self::Revoked => ("look".to_owned(), version_key(version - 1)),
            Self::Moved => (MOVED_PATH.to_owned(), key),
        }
    }

    /// Whether an answer shows that an entry used an older version. `moved` tells whether the request
    /// ran at the service of this one, if it ran.
    fn is_outdated(self, status: StatusCode, moved: Option<bool>) -> bool {
        let is_refused = matches!(
            status,
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN | StatusCode::NOT_FOUND
        );
        match self {
            Self::Added => is_refused,
            Self::Dropped | Self::Revoked => status.is_success(),
            Self::Moved => moved == Some(false),
        }
    }

    /// What an outdated answer shows.
    fn failure(self) -> &'static str {
        match self {
            Self::Added => "refused what it allows",
            Self::Dropped => "served a route that it dropped",
            Self::Revoked => "accepted a key that it took away",
            Self::Moved => "sent to the service from before",
        }
    }
}

impl Caller {
    /// Sends requests that tell which configuration an entry uses, until the deadline.
    pub async fn run_probing(mut self, deadline: Instant) {
        let mut sent = 0;
        while Instant::now() < deadline {
            sent += 1;
            let id = format!("p{}-{sent}", self.number);
            let probe = PROBE_KINDS[self.rng.random_range(0..PROBE_KINDS.len())];
            self.probe(probe, &id).await;
            let pause = self.rng.random_range(PAUSE_MS);
            monoio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends one of these requests to a random entry, and records what its answer shows.
    async fn probe(&mut self, probe: Probe, id: &str) {
        let (entry, listen) = {
            let entries = self.deployment.entries.borrow();
            let entry = self.rng.random_range(0..entries.len());
            (entry, entries[entry].listen)
        };
        let version = self.deployment.version.get();
        let (path, key) = probe.target(version);
        let request = text::request(&format!("/{path}/"), id, &key);
        let Ok(request) = request.body(Body::full("body")) else {
            return;
        };
        let sent_at = Instant::now();
        let checks = &self.deployment.checks;
        checks.record_sent(id, entry, sent_at);
        let sent = monoio::time::timeout(ANSWER_TIMEOUT, self.client.send(listen, request)).await;
        let Ok(Ok(response)) = sent else {
            return;
        };
        let status = response.status();
        // The connection can be used again once the body was read.
        let _ = Self::read_body(response).await;
        // A version that was accepted meanwhile drops the route of this one, and moves others.
        if self.deployment.version.get() != version {
            return;
        }
        monoio::time::sleep(RUN_TIME).await;
        let moved = self.deployment.ran_at_moved_service(id, version);
        checks.count("answers that tell a version");
        if probe.is_outdated(status, moved) {
            checks.record_outdated(Outdated {
                entry,
                sent_at,
                version,
                what: probe.failure(),
            });
        }
    }
}

impl Checks {
    /// Records that the store accepted a version.
    pub fn record_accepted(&self, version: u64) {
        let mut accepted = self.accepted_versions.borrow_mut();
        accepted.insert(version, Instant::now());
    }

    /// Records an answer by an older configuration than the newest one.
    fn record_outdated(&self, answer: Outdated) {
        self.outdated_answers.borrow_mut().push(answer);
    }

    /// Checks that entries use a configuration from [`PROPAGATION_TIME`] after the store accepted it,
    /// unless the store, the entry or its path to the store was disturbed just before.
    pub fn check_configurations(&self) {
        let accepted = self.accepted_versions.borrow();
        let outdated = self.outdated_answers.borrow();
        let (mut late, mut longest) = (Vec::new(), Duration::ZERO);
        for answer in outdated.iter() {
            let Some(&accepted_at) = accepted.get(&answer.version) else {
                continue;
            };
            let delay = answer.sent_at.saturating_duration_since(accepted_at);
            longest = longest.max(delay);
            if delay > PROPAGATION_TIME && !self.is_disturbed_at(answer.entry, answer.sent_at) {
                late.push((delay, answer));
            }
        }
        if let Some((delay, first)) = late.first() {
            let mut entries: Vec<usize> = late.iter().map(|(_, answer)| answer.entry).collect();
            entries.sort_unstable();
            entries.dedup();
            let details = format!(
                "{} answers of entries {entries:?}; entry {} {} by version {}, {delay:?} after it, the last {:?} after it",
                late.len(),
                first.entry,
                first.what,
                first.version,
                late.iter()
                    .map(|(delay, _)| *delay)
                    .max()
                    .unwrap_or_default(),
            );
            self.record_violation("a configuration is in force in time", details);
        }
        let longest = u64::try_from(longest.as_millis()).unwrap_or(u64::MAX);
        let mut counts = self.counts.borrow_mut();
        counts.insert("ms until the last answer by an older version", longest);
    }
}
