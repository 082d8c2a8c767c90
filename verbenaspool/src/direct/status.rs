//! The quarantine in the platform's store, where it survives restarts of all entries.
//!
//! It is stored as the status of the configuration object, which entries watch anyway. So
//! each entry gets changes within milliseconds, even if it can't reach any peer. Any entry
//! that knows of a quarantined request missing from the store writes it, and retries until
//! the write succeeds.

use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use slog::{info, warn};
use verbenaspool_platform::{
    configuration,
    quarantine::{self, Entry},
    store::{Stored, WriteOutcome},
};
use verbenaspool_policy::quarantine::Term;
use verbenaspool_state::fingerprint::Fingerprint;

use super::gateway::Gateway;

/// Maximum number of requests in the status. The most recently quarantined ones are kept.
const MAX_ENTRIES: usize = 1_000;

/// Each entry adds this to the maximum of the random delay before a write. All entries learn
/// of a quarantined request at the same time, and a single write is enough.
const WRITE_DELAY_PER_ENTRY: Duration = Duration::from_millis(20);

/// The first and the maximum delay after a failed write.
const RETRY_INTERVALS: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(5)];

impl Gateway {
    /// Records the configuration's object as read from the store or by a peer, and applies its
    /// status if that changed.
    pub fn observe_configuration(&self, observed: &Stored) {
        let is_older = |stored: &Stored| observed.position() < stored.position();
        if self
            .stored_configuration
            .borrow()
            .as_ref()
            .is_some_and(is_older)
        {
            return;
        }
        let previous = self.stored_configuration.replace(Some(observed.clone()));
        let status = &observed.object.status;
        if previous.is_none_or(|previous| previous.object.status != *status) {
            self.apply_quarantine(status);
        }
        self.unsaved.notify_one();
    }

    /// Quarantines the requests that are listed in a status.
    pub fn apply_quarantine(&self, status: &str) {
        let (now, unix_now) = (self.clock.now(), unix_time());
        let listed = quarantine::decode(status);
        if listed.unreadable > 0 {
            warn!(self.log, "entries of the quarantine can't be read; ignoring them";
                "entries" => listed.unreadable);
        }
        for entry in listed.entries {
            let age = unix_now.saturating_sub(Duration::from_millis(entry.since_ms));
            let remaining = Duration::from_millis(entry.until_ms).saturating_sub(unix_now);
            let term = Term {
                since: now.saturating_sub(age),
                until: now + remaining,
            };
            self.record_term(entry.request, term);
        }
    }

    /// The object of the active configuration, with the newest known status and its position. The
    /// store may have an older configuration than the active one, if it came back from a copy.
    pub fn configuration(&self) -> Option<Stored> {
        let mut active = self.table_object.borrow().clone()?;
        if let Some(stored) = &*self.stored_configuration.borrow() {
            active.object.status.clone_from(&stored.object.status);
            active.object.revision = stored.object.revision;
            active.era = stored.era;
        }
        Some(active)
    }

    /// The configuration's object and the status to write, if it differs from the stored one.
    fn changed_status(&self) -> Option<(Stored, String)> {
        let stored = self.stored_configuration.borrow().clone()?;
        let (now, unix_now) = (self.clock.now(), unix_time());
        let quarantine = self.quarantine.borrow();
        let wanted: Vec<(Fingerprint, Term)> = quarantine.quarantined(now).collect();
        let listed = quarantine::decode(&stored.object.status).entries;
        let listed_requests: HashSet<Fingerprint> =
            listed.iter().map(|entry| entry.request).collect();
        let has_new = wanted
            .iter()
            .any(|(request, _)| !listed_requests.contains(request));
        // Requests that have succeeded since are removed now; expired entries are removed by
        // the next write.
        let cleared = |entry: &Entry| {
            let expired = entry.until_ms <= millis(unix_now);
            !expired && !wanted.iter().any(|(request, _)| *request == entry.request)
        };
        if !has_new && !listed.iter().any(cleared) {
            return None;
        }
        let entries = wanted.into_iter().map(|(request, term)| Entry {
            request,
            since_ms: millis(unix_now.saturating_sub(now.saturating_sub(term.since))),
            until_ms: millis(unix_now + term.until.saturating_sub(now)),
        });
        let mut entries: Vec<Entry> = entries.collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.since_ms));
        entries.truncate(MAX_ENTRIES);
        let status = quarantine::encode(&stored.object.status, &entries);
        Some((stored, status))
    }

    /// Writes the status to the store if it changed. Returns whether the store is up to date.
    async fn save_status(&self) -> bool {
        let Some((stored, status)) = self.changed_status() else {
            return true;
        };
        let (kind, name) = (configuration::OBJECT_KIND, configuration::OBJECT_NAME);
        let revision = stored.object.revision;
        match self.store.set_status(kind, name, revision, &status).await {
            Ok(WriteOutcome::Written(written)) => {
                info!(self.log, "quarantine saved"; "revision" => written.object.revision);
                self.observe_configuration(&written);
                true
            }
            // Another entry wrote first. The caller retries on top of its status.
            Ok(WriteOutcome::Conflict(current)) => {
                self.observe_configuration(&current);
                false
            }
            Err(why) => {
                warn!(self.log, "quarantine not saved"; "reason" => why.to_string());
                false
            }
        }
    }
}

/// Writes changes of the quarantine to the store, for as long as the process runs.
pub async fn save_changes(gateway: Rc<Gateway>) {
    let mut retry_interval = RETRY_INTERVALS[0];
    loop {
        gateway.unsaved.notified().await;
        if gateway.changed_status().is_none() {
            continue;
        }
        let entries = gateway.known_entries();
        let max_delay = WRITE_DELAY_PER_ENTRY.saturating_mul(entries);
        gateway.clock.sleep(max_delay.mul_f32(rand::random())).await;
        if gateway.save_status().await {
            retry_interval = RETRY_INTERVALS[0];
        } else {
            gateway.clock.sleep(retry_interval).await;
            retry_interval = (retry_interval * 2).min(RETRY_INTERVALS[1]);
            gateway.unsaved.notify_one();
        }
    }
}

/// The system time. Entries' clocks differ by much less than the duration of a quarantine.
pub fn unix_time() -> Duration {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default()
}

/// A duration in whole milliseconds.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
