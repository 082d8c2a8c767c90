//! Drives machines without I/O against the platform.

use std::time::Duration;

use monoio::time::{self, Instant};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use verbenaspool_coordination::store::{Answer, Call, Entry, Machine, Step};

use super::{Error, Store};

/// The shortest pause before a call is made again. The platform answers in
/// milliseconds, so this is long enough for a short stall to be over.
const INITIAL_PAUSE_LIMIT: Duration = Duration::from_millis(20);
/// The longest pause. With 1,000 instances asking once in 2 s on average, half
/// of the store's reads a second are left while it recovers.
const MAX_PAUSE_LIMIT: Duration = Duration::from_secs(4);

/// Pauses between calls that fail, doubling and jittered.
///
/// Answers an outage's end: without jitter all instances ask at the same moment,
/// and without growth their calls alone exceed what the store can answer.
#[derive(Debug)]
pub struct Backoff {
    /// The upper limit of the next pause.
    limit: Duration,
    /// Where the jitter comes from.
    random: SmallRng,
}

impl Backoff {
    /// Pauses from the shortest on. Instances need different seeds.
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

    /// The next pause: anything up to a limit that doubles each time.
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

    /// Starts again from the shortest, after a call that was answered.
    ///
    /// ```
    /// # use verbenaspool_transport::platform::driver::Backoff;
    /// Backoff::new(7).reset();
    /// ```
    pub fn reset(&mut self) {
        self.limit = INITIAL_PAUSE_LIMIT;
    }
}

/// Makes the calls that a machine asks for until its outcome stands; `None` if
/// that takes longer than `within`, when the machine's `abandon` says what to
/// make of it.
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

/// An error as a machine takes it.
fn error_answer(error: &Error) -> Answer {
    match error {
        Error::Conflict { current } => Answer::Conflict(*current),
        Error::TooLarge | Error::Forbidden => Answer::Rejected(error.to_string()),
        Error::Busy | Error::NotSent(_) => Answer::Failed(error.to_string()),
        Error::Unknown(_) => Answer::Lost(error.to_string()),
    }
}
