//! The caller's idempotency key, claimed in the platform before a write is sent.

use std::{rc::Rc, time::Duration};

use verbenaspool_coordination::{
    claim::{Claim, Outcome, Record},
    keys,
    piece::Hash,
    store::When,
};
use verbenaspool_protocol::problem::{Code, Problem};
use verbenaspool_transport::platform::{Store, driver};

use super::forward::Forward;

/// How long a claim may take. The platform answers in milliseconds; a caller of
/// a write is told soon that it can't be reached.
const TIMEOUT: Duration = Duration::from_secs(2);

/// How often a release is tried before the caller is answered all the same.
const RELEASES: usize = 3;

/// A claim that stands.
pub struct Claimed {
    store: Rc<dyn Store>,
    key: String,
    version: u64,
}

impl Claimed {
    /// Gives the key back, because its request did not run. If that fails the
    /// key stays taken, which is safe: a repeat is then told that it may have run.
    pub async fn release(self) {
        for _ in 0..RELEASES {
            let when = When::Version(self.version);
            match self.store.delete(&self.key, when).await {
                Err(error) if error.may_have_run() => {}
                _ => return,
            }
        }
    }
}

/// Claims a key for a request.
///
/// # Errors
/// The key is taken, or the platform can't be reached; the request must not be
/// sent then.
pub async fn take(forward: &Forward, key: &str) -> Result<Claimed, Problem> {
    let entry = &forward.entry;
    let Some(store) = entry.store.clone() else {
        return Err(unreachable());
    };
    let key = keys::claim(entry.firm(), &forward.customer, key);
    let record = Record {
        attempt: entry.attempts.next().to_string(),
        request: fingerprint(forward),
    };
    let ours = record.request;
    let mut claim = Claim::new(key.clone(), record);
    let within = TIMEOUT.min(forward.left());
    let outcome = driver::drive(store.as_ref(), &mut claim, within, entry.attempts.seed()).await;
    match outcome.unwrap_or_else(|| claim.abandon()) {
        Outcome::Mine { version } => Ok(Claimed {
            store,
            key,
            version,
        }),
        Outcome::Other(other) if other.request == ours => Err(Problem::unknown(
            Code::KeyConflict,
            "A request with this key came before and may have run.",
        )),
        Outcome::Other(_) => Err(Problem::not_run(
            Code::KeyConflict,
            "The key was used for another request.",
        )),
        Outcome::Failed { .. } => Err(unreachable()),
    }
}

/// Tells a repeat of a request from another one under the same key.
fn fingerprint(forward: &Forward) -> Hash {
    let mut text = format!("{} {}\n", forward.method, forward.uri).into_bytes();
    for chunk in forward.upload.kept() {
        text.extend_from_slice(&chunk);
    }
    Hash::of(&text)
}

/// The platform can't be reached.
fn unreachable() -> Problem {
    Problem::not_run(
        Code::Platform,
        "The platform can't be reached, and a write with a key needs it.",
    )
    .after(Duration::from_secs(1))
}
