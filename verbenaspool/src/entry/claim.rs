//! Claims the caller's idempotency key in the platform before a write is sent.

use std::{rc::Rc, time::Duration};

use verbenaspool_coordination::{
    claim::{Agent, Claim, Outcome, Record},
    keys,
    piece::Hash,
    store::When,
};
use verbenaspool_protocol::{
    problem::{Code, Problem},
    settle,
};
use verbenaspool_transport::platform::{Store, driver};

use super::{
    Entry,
    exchange::{self, Target},
    forward::Forward,
};

/// Timeout for a claim. The platform normally answers in milliseconds, so a caller soon learns
/// that it can't be reached.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// When to retry if the request is still running: writes usually take about this long.
const RETRY_AFTER_RUNNING: Duration = Duration::from_millis(500);

/// The maximum number of times a release is tried before the caller is answered without it.
const MAX_RELEASE_TRIES: usize = 3;

/// The maximum number of claims tried before the caller is told that its key is contended: each
/// time, another retry of the same request was first.
const MAX_CLAIM_TRIES: usize = 4;

/// An acquired claim.
pub struct Claimed {
    entry: Rc<Entry>,
    store: Rc<dyn Store>,
    key: String,
    version: u64,
    /// The only attempt that may be sent under the claim.
    pub target: Target,
}

impl Claimed {
    /// Releases the key because its request did not run. If that fails the claim stays, which
    /// is safe: a retry asks the agent that the claim names about the attempt.
    pub async fn release(self) {
        self.entry.recent_claims.remove(&self.key);
        for _ in 0..MAX_RELEASE_TRIES {
            let when = When::Version(self.version);
            match self.store.delete(&self.key, when).await {
                Err(error) if error.may_have_run() => {}
                _ => return,
            }
        }
    }

    /// Updates the claim to name the request's next attempt, once the last one is confirmed as
    /// not run. An attempt that no claim names could run beside that of a retry, which checks
    /// only the attempt that the claim names.
    ///
    /// # Errors
    /// A retry of the request holds the key by now, or the platform can't be reached; the
    /// attempt must not be sent then.
    pub async fn renew(&mut self, forward: &Forward, target: Target) -> Result<(), Problem> {
        let record = record(forward, &target);
        let claim = Claim::replace(self.key.clone(), self.version, record.clone());
        match drive(forward, self.store.as_ref(), claim).await {
            Outcome::Acquired { .. } if is_incomplete(forward, &*self.store) => {
                Err(platform_unreachable())
            }
            Outcome::Acquired { version } => {
                let now = self.entry.clock.now();
                self.entry.recent_claims.insert(now, &self.key, record);
                self.version = version;
                self.target = target;
                Ok(())
            }
            Outcome::Taken { .. } => Err(earlier_request()),
            Outcome::Failed { .. } => Err(platform_unreachable()),
        }
    }
}

/// Claims a key for a request's first attempt.
///
/// # Errors
/// The key is taken, or the platform can't be reached; the request must not be
/// sent then.
pub async fn acquire(forward: &Forward, key: &str, target: Target) -> Result<Claimed, Problem> {
    let entry = &forward.entry;
    let Some(store) = entry.store.clone() else {
        return Err(platform_unreachable());
    };
    if is_incomplete(forward, &*store) {
        return Err(platform_unreachable());
    }
    let key = keys::claim(entry.firm(), &forward.customer, key);
    let record = record(forward, &target);
    let mut claim = Claim::new(key.clone(), record.clone());
    for _ in 0..MAX_CLAIM_TRIES {
        match drive(forward, store.as_ref(), claim).await {
            Outcome::Acquired { version } => {
                let claimed = Claimed {
                    entry: Rc::clone(entry),
                    store,
                    key,
                    version,
                    target,
                };
                // The answer may be the first one of a store that came back from a copy.
                if is_incomplete(forward, &*claimed.store) {
                    claimed.release().await;
                    return Err(platform_unreachable());
                }
                let now = entry.clock.now();
                entry.recent_claims.insert(now, &claimed.key, record);
                return Ok(claimed);
            }
            Outcome::Taken {
                record: earlier, ..
            } if earlier.request != record.request => {
                let message = "The key was used for another request.";
                return Err(Problem::not_run(Code::KeyConflict, message));
            }
            Outcome::Taken {
                record: earlier,
                version,
            } => {
                ensure_not_run(forward, &earlier).await?;
                claim = Claim::replace(key.clone(), version, record.clone());
            }
            Outcome::Failed { .. } => return Err(platform_unreachable()),
        }
    }
    Err(earlier_request())
}

/// Whether the store may have lost claims that entries haven't written again yet.
fn is_incomplete(forward: &Forward, store: &dyn Store) -> bool {
    let entry = &forward.entry;
    let now = entry.clock.now();
    entry.recent_claims.are_incomplete(now, store.era())
}

/// Ensures that the attempt of an earlier claim did not run and never will.
///
/// Its entry may have crashed before it sent the attempt, or the platform's answer to the claim
/// was lost. Without this check the key would be blocked for ever.
async fn ensure_not_run(forward: &Forward, earlier: &Record) -> Result<(), Problem> {
    let Ok(attempt) = earlier.attempt.parse() else {
        return Err(earlier_request());
    };
    let agent = earlier.agent;
    match exchange::attempt_status(forward, attempt, agent.control, agent.process).await {
        Some(settle::Answer::Refused) => Ok(()),
        Some(settle::Answer::Running) => {
            let message = "A request with this key is running.";
            Err(Problem::unknown(Code::KeyConflict, message).with_retry_after(RETRY_AFTER_RUNNING))
        }
        Some(settle::Answer::Ended) => {
            let message = "A request with this key came before and ran; its answer is not kept.";
            Err(Problem::unknown(Code::KeyConflict, message))
        }
        Some(settle::Answer::Unknown) | None => Err(earlier_request()),
    }
}

/// The claim's record of an attempt.
fn record(forward: &Forward, target: &Target) -> Record {
    Record {
        attempt: target.id.to_string(),
        agent: Agent {
            control: target.address.control,
            process: target.process,
        },
        request: request_hash(forward),
    }
}

/// Runs a claim to its outcome, within the time left for the request.
async fn drive(forward: &Forward, store: &dyn Store, mut claim: Claim) -> Outcome {
    let timeout = CLAIM_TIMEOUT.min(forward.time_left());
    let seed = forward.entry.attempts.seed();
    let outcome = driver::drive(store, &mut claim, timeout, seed).await;
    outcome.unwrap_or_else(|| claim.abandon())
}

/// The problem for a retry whose earlier request may have run.
fn earlier_request() -> Problem {
    Problem::unknown(
        Code::KeyConflict,
        "A request with this key came before and may have run.",
    )
}

/// A hash of the request, which tells a retry from another request with the same key.
fn request_hash(forward: &Forward) -> Hash {
    let mut text = format!("{} {}\n", forward.method, forward.uri).into_bytes();
    for chunk in forward.upload.buffered() {
        text.extend_from_slice(&chunk);
    }
    Hash::of(&text)
}

/// The problem for a write with a key while the platform can't be reached.
fn platform_unreachable() -> Problem {
    Problem::not_run(
        Code::Platform,
        "The platform can't be reached, and a write with a key needs it.",
    )
    .with_retry_after(Duration::from_secs(1))
}
