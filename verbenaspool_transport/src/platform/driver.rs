//! Runs state machines without I/O against the platform.

use std::time::Duration;

use monoio::time::{self, Instant};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use verbenaspool_coordination::store::{Answer, Call, Entry, Machine, Step};

use super::{Error, Store};

/// Upper limit of the first pause before a retry. The platform answers in milliseconds, so
/// this is long enough for a short stall to end.
const INITIAL_PAUSE_LIMIT: Duration = Duration::from_millis(20);
/// Upper limit of any pause. With 1,000 instances that each retry once in 2 s on average,
/// half of the store's reads per second are left while it recovers.
const MAX_PAUSE_LIMIT: Duration = Duration::from_secs(4);

/// Exponential backoff with jitter between failed calls.
///
/// When an outage ends, calls without jitter would arrive from all instances at the same
/// moment, and without exponential growth they alone would exceed the store's capacity.
#[derive(Debug)]
pub struct Backoff {
    /// The upper limit of the next pause.
    limit: Duration,
    /// The random generator for the jitter.
    random: SmallRng,
}

impl Backoff {
    /// Creates a backoff in its initial state. Instances need different seeds.
    ///
    /// ```
    /// use verbenaspool_transport::platform::driver::Backoff;
    ///
    /// let mut backoff = Backoff::new(7);
    /// assert!(backoff.pause() <= std::time::Duration::from_millis(20));
    /// ```
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            limit: INITIAL_PAUSE_LIMIT,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the next pause, between a tenth and the whole of a limit that doubles each time.
    ///
    /// ```
    /// # use verbenaspool_transport::platform::driver::Backoff;
    /// assert!(!Backoff::new(7).pause().is_zero());
    /// ```
    pub fn pause(&mut self) -> Duration {
        let limit = self.limit;
        self.limit = (limit * 2).min(MAX_PAUSE_LIMIT);
        limit.mul_f64(self.random.random_range(0.1..=1.0))
    }

    /// Resets the limit, after a successful call.
    ///
    /// ```
    /// # use verbenaspool_transport::platform::driver::Backoff;
    /// Backoff::new(7).reset();
    /// ```
    pub fn reset(&mut self) {
        self.limit = INITIAL_PAUSE_LIMIT;
    }
}

/// Makes the calls that a state machine requests until it has an outcome. Returns `None` if
/// that takes longer than `within`; the machine's `abandon` then returns the outcome.
///
/// ```no_run
/// # async fn example(store: &dyn verbenaspool_transport::platform::Store,
/// #     mut claim: verbenaspool_coordination::claim::Claim) {
/// use std::time::Duration;
/// use verbenaspool_transport::platform::driver;
///
/// let outcome = driver::drive(store, &mut claim, Duration::from_secs(1), 7).await;
/// let outcome = outcome.unwrap_or_else(|| claim.abandon());
/// # }
/// ```
pub async fn drive<T>(
    store: &dyn Store,
    machine: &mut dyn Machine<Outcome = T>,
    within: Duration,
    seed: u64,
) -> Option<T> {
    let end = Instant::now() + within;
    let mut backoff = Backoff::new(seed);
    loop {
        let call = match machine.step() {
            Step::Done(outcome) => return Some(outcome),
            Step::Call(call) => call,
            Step::Retry(call) => {
                let pause = backoff.pause();
                if Instant::now() + pause >= end {
                    return None;
                }
                time::sleep(pause).await;
                call
            }
        };
        let left = end.checked_duration_since(Instant::now())?;
        let answer = match time::timeout(left, self::call(store, &call)).await {
            Ok(answer) => answer,
            Err(_) => Answer::Lost("no answer in time".to_owned()),
        };
        machine.answer(answer);
    }
}

/// Makes one call.
pub async fn call(store: &dyn Store, call: &Call) -> Answer {
    let result = match call {
        Call::Get { key } => store.get(key).await.map(|object| match object {
            Some(object) => Answer::Found {
                version: object.version,
                value: object.value.to_vec(),
            },
            None => Answer::Absent,
        }),
        Call::Put { key, value, when } => {
            let written = store.put(key, value.clone().into(), *when).await;
            written.map(Answer::Changed)
        }
        Call::Delete { key, when } => {
            let deleted = store.delete(key, *when).await;
            deleted.map(|()| Answer::Changed(0))
        }
        Call::List { prefix } => store.list(prefix).await.map(|entries| {
            let entries = entries.into_iter().map(|entry| Entry {
                key: entry.key,
                version: entry.version,
            });
            Answer::Listed(entries.collect())
        }),
    };
    result.unwrap_or_else(|error| error_answer(&error))
}

/// Converts an error to the answer for a state machine.
fn error_answer(error: &Error) -> Answer {
    match error {
        Error::Conflict { current } => Answer::Conflict(*current),
        Error::TooLarge | Error::Forbidden => Answer::Rejected(error.to_string()),
        Error::Busy | Error::NotSent(_) => Answer::Failed(error.to_string()),
        Error::Unknown(_) => Answer::Lost(error.to_string()),
    }
}
