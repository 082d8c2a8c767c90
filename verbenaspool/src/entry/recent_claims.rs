//! The claims that this entry made lately, in case the store loses them.
//!
//! A store that comes back from an older copy has lost the claims of the last seconds. A retry
//! under one of their keys would run its request again. So entries write their claims again, and
//! none accepts a write with a key until the others have done so.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use slog::{info, warn};
use verbenaspool_coordination::claim::{Claim, Outcome, Record};
use verbenaspool_transport::platform::{Store, driver};

use super::Entry;

/// How long claims are kept. Copies are some seconds old.
const RETENTION_TIME: Duration = Duration::from_secs(30);

/// For how long writes with a key are rejected after the store came back. Entries notice that with
/// the next answer of the store, at the end of a watch of 5 s at the latest, and then write claims.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Interval of checks whether the store has come back from a copy.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which claims that are no longer kept are dropped.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Pause between two claims that are written again, so that entries don't use up the store's rate.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout of writing a claim again.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A claim that this entry made.
#[derive(Debug, Clone)]
struct Made {
    record: Record,
    at: Duration,
}

/// The claims, and what is known of the store's eras.
#[derive(Debug, Default)]
struct State {
    /// The claims by key.
    claims: HashMap<String, Made>,
    pruned_at: Duration,
    /// The store's latest known era.
    era: u64,
    /// When this entry noticed that the store had come back from a copy.
    restored_at: Option<Duration>,
    /// Claims that may be missing from the store.
    unchecked: HashMap<String, Made>,
}

/// The claims that this entry made lately.
#[derive(Debug, Default)]
pub struct RecentClaims(RefCell<State>);

impl RecentClaims {
    /// Records a claim, in place of an earlier one under its key.
    pub fn insert(&self, now: Duration, key: &str, record: Record) {
        let mut state = self.0.borrow_mut();
        if now >= state.pruned_at + PRUNE_INTERVAL {
            state.pruned_at = now;
            state
                .claims
                .retain(|_, made| now < made.at + RETENTION_TIME);
        }
        state
            .claims
            .insert(key.to_owned(), Made { record, at: now });
    }

    /// Forgets a claim that is released.
    pub fn remove(&self, key: &str) {
        let mut state = self.0.borrow_mut();
        state.claims.remove(key);
        state.unchecked.remove(key);
    }

    /// Takes note of the store's era. Returns whether claims may be missing from the store.
    pub fn are_incomplete(&self, now: Duration, era: u64) -> bool {
        let mut state = self.0.borrow_mut();
        let state = &mut *state;
        let before = std::mem::replace(&mut state.era, era);
        if era > before && before > 0 {
            state.restored_at = Some(now);
            state.unchecked.clone_from(&state.claims);
        }
        let restored_at = state.restored_at;
        restored_at.is_some_and(|at| now < at + RECOVERY_TIME)
    }

    /// The keys of the claims that may be missing from the store.
    fn unchecked_keys(&self) -> Vec<String> {
        self.0.borrow().unchecked.keys().cloned().collect()
    }

    /// The claim that may be missing under a key, unless it was released meanwhile.
    fn unchecked(&self, key: &str) -> Option<Record> {
        let state = self.0.borrow();
        state.unchecked.get(key).map(|made| made.record.clone())
    }

    /// Records that a claim is stored, or that it can't be.
    fn set_checked(&self, key: &str) {
        self.0.borrow_mut().unchecked.remove(key);
    }
}

/// Writes claims again that the store may have lost, for as long as the process runs.
pub async fn write_again(entry: Rc<Entry>, store: Rc<dyn Store>) {
    loop {
        entry.clock.sleep(CHECK_INTERVAL).await;
        let claims = &entry.recent_claims;
        let is_recovering = claims.are_incomplete(entry.clock.now(), store.era());
        for key in claims.unchecked_keys() {
            let Some(record) = claims.unchecked(&key) else {
                continue;
            };
            let mut claim = Claim::new(key.clone(), record);
            let seed = entry.attempts.seed();
            let written = driver::drive(&*store, &mut claim, WRITE_TIMEOUT, seed).await;
            match written.unwrap_or_else(|| claim.abandon()) {
                Outcome::Acquired { .. } => {
                    info!(entry.log, "claim is stored again"; "key" => &key);
                    claims.set_checked(&key);
                }
                // Another entry gives up a claim that it made before it noticed the return.
                _ if is_recovering => {}
                outcome => {
                    warn!(entry.log, "claim that the store may have lost isn't stored";
                        "key" => &key, "outcome" => format!("{outcome:?}"));
                    claims.set_checked(&key);
                }
            }
            entry.clock.sleep(WRITE_INTERVAL).await;
        }
    }
}
