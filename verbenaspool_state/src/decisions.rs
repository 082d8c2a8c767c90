//! A service's settings for admission, queueing and load balancing.

use serde::{Deserialize, Serialize};

/// A service's settings for admission, queueing and load balancing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Decisions {
    /// The deadline of requests that specify none, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of requests of one customer that wait at one entry instance.
    pub queue: u32,
    /// The work for a prompt token, relative to that for a generated token.
    pub prefill_weight: f64,
    /// Initial limit on an entry instance's concurrent attempts at an upstream.
    pub initial_limit: u32,
    /// Maximum of the limit on an entry instance's concurrent attempts at an upstream.
    pub max_limit: u32,
    /// Number of upstreams that one entry instance uses.
    pub subset: u32,
    /// Maximum load to which an upstream is preferred because of a cached prefix, relative to
    /// its limit; 2 is twice the limit.
    pub affinity_bound: f64,
    /// How many times slower than its peers an upstream has to be for ejection.
    pub ejection_factor: f64,
    /// Maximum fraction of the upstreams that are ejected at the same time.
    pub ejection_share: f64,
    /// Number of allowed retries, relative to the admitted requests.
    pub retry_ratio: f64,
}

impl Default for Decisions {
    fn default() -> Self {
        Self {
            deadline_ms: 30_000,
            queue: 256,
            prefill_weight: 0.1,
            initial_limit: 2,
            max_limit: 512,
            subset: 64,
            affinity_bound: 2.0,
            ejection_factor: 3.0,
            ejection_share: 0.3,
            retry_ratio: 0.1,
        }
    }
}

impl Decisions {
    /// Finds all settings that are out of range.
    ///
    /// ```
    /// use verbenaspool_state::decisions::Decisions;
    ///
    /// assert!(Decisions::default().check().is_empty());
    /// let wrong = Decisions { queue: 0, ..Decisions::default() };
    /// assert_eq!(wrong.check()[0].key, "queue");
    /// ```
    #[must_use]
    pub fn check(&self) -> Vec<Problem> {
        let integer = |value: u64| Number::Integer(value);
        let fraction = |value: f64| Number::Fraction(value);
        [
            range("deadline_ms", integer(self.deadline_ms), 1.0, 3_600_000.0),
            range("queue", integer(self.queue.into()), 1.0, 4_096.0),
            range("prefill_weight", fraction(self.prefill_weight), 0.0, 10.0),
            range(
                "initial_limit",
                integer(self.initial_limit.into()),
                1.0,
                f64::from(self.max_limit.max(1)),
            ),
            range("max_limit", integer(self.max_limit.into()), 1.0, 65_536.0),
            range("subset", integer(self.subset.into()), 1.0, 4_096.0),
            range("affinity_bound", fraction(self.affinity_bound), 1.0, 10.0),
            range(
                "ejection_factor",
                fraction(self.ejection_factor),
                1.5,
                100.0,
            ),
            range("ejection_share", fraction(self.ejection_share), 0.0, 0.9),
            range("retry_ratio", fraction(self.retry_ratio), 0.0, 1.0),
        ]
        .into_iter()
        .flatten()
        .collect()
    }
}

/// The value of a setting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Number {
    /// A count or a time.
    Integer(u64),
    /// A ratio.
    Fraction(f64),
}

impl Number {
    /// The value, for comparison with a range.
    #[allow(clippy::cast_precision_loss)] // Ranges end far below 2^53.
    fn value(self) -> f64 {
        match self {
            Self::Integer(value) => value as f64,
            Self::Fraction(value) => value,
        }
    }
}

/// A setting with an invalid value.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct Problem {
    /// The setting's key in the file.
    pub key: &'static str,
    /// Why the value is invalid.
    pub reason: Reason,
}

/// Why a setting's value is invalid.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum Reason {
    /// The value is out of range.
    #[error("must be from {min} to {max}")]
    Range {
        /// The value.
        value: Number,
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
    },
    /// The value is not a finite number.
    #[error("must be a finite number")]
    NotFinite,
}

/// Checks that a value is in a range.
fn range(key: &'static str, value: Number, min: f64, max: f64) -> Option<Problem> {
    let number = value.value();
    let reason = if !number.is_finite() {
        Reason::NotFinite
    } else if (min..=max).contains(&number) {
        return None;
    } else {
        Reason::Range { value, min, max }
    };
    Some(Problem { key, reason })
}
