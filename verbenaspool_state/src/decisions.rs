//! Settings of the decisions under load, which a service carries in the file.

use serde::{Deserialize, Serialize};

/// A service's settings for what is let in, what waits and where work goes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Decisions {
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// How many requests of one customer may wait at one entry instance.
    pub queue: u32,
    /// The work of one prompt token, as a part of the work of one generated token.
    pub prefill_weight: f64,
    /// How many attempts one entry instance starts with at an upstream it knows nothing about.
    pub initial_limit: u32,
    /// The most attempts one entry instance ever has in flight at one upstream.
    pub max_limit: u32,
    /// How many upstreams one entry instance works with.
    pub subset: u32,
    /// How far above its limit a cached prefix may load its upstream; 2 is twice the limit.
    pub affinity_bound: f64,
    /// How many times slower than its peers an upstream must be to be ejected.
    pub ejection_factor: f64,
    /// The largest share of the upstreams that may be ejected at once.
    pub ejection_share: f64,
    /// Retries allowed as a part of the requests that were let in.
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
    /// Every setting that is out of its range; none means that the settings hold.
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
        let whole = |value: u64| Number::Whole(value);
        let part = |value: f64| Number::Part(value);
        [
            range("deadline_ms", whole(self.deadline_ms), 1.0, 3_600_000.0),
            range("queue", whole(self.queue.into()), 1.0, 4_096.0),
            range("prefill_weight", part(self.prefill_weight), 0.0, 10.0),
            range(
                "initial_limit",
                whole(self.initial_limit.into()),
                1.0,
                f64::from(self.max_limit.max(1)),
            ),
            range("max_limit", whole(self.max_limit.into()), 1.0, 65_536.0),
            range("subset", whole(self.subset.into()), 1.0, 4_096.0),
            range("affinity_bound", part(self.affinity_bound), 1.0, 10.0),
            range("ejection_factor", part(self.ejection_factor), 1.5, 100.0),
            range("ejection_share", part(self.ejection_share), 0.0, 0.9),
            range("retry_ratio", part(self.retry_ratio), 0.0, 1.0),
        ]
        .into_iter()
        .flatten()
        .collect()
    }
}

/// A setting's value as the file gives it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Number {
    /// A count or a time.
    Whole(u64),
    /// A ratio.
    Part(f64),
}

impl Number {
    /// The value for comparison with a range.
    #[allow(clippy::cast_precision_loss)] // Ranges end far below 2^53.
    fn value(self) -> f64 {
        match self {
            Self::Whole(value) => value as f64,
            Self::Part(value) => value,
        }
    }
}

/// A setting that can't be taken, and why.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct Problem {
    /// The setting's key in the file.
    pub key: &'static str,
    /// What is wrong with it.
    pub reason: Reason,
}

/// What is wrong with a setting.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum Reason {
    /// The value is below or above what the setting takes.
    #[error("must lie from {least} to {most}")]
    Range {
        /// The given value.
        value: Number,
        /// The least value.
        least: f64,
        /// The greatest value.
        most: f64,
    },
    /// The value is no finite number.
    #[error("must be a finite number")]
    NotFinite,
}

/// The problem with a value, where it lies outside `least` to `most`.
fn range(key: &'static str, value: Number, least: f64, most: f64) -> Option<Problem> {
    let number = value.value();
    let reason = if !number.is_finite() {
        Reason::NotFinite
    } else if (least..=most).contains(&number) {
        return None;
    } else {
        Reason::Range { value, least, most }
    };
    Some(Problem { key, reason })
}
