//! Properties of a model service's engines: how long a pass takes, and how the experts are
//! distributed over the ranks of a group.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A service's engine, as configured.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of requests that one upstream processes concurrently.
    pub slots: u32,
    /// Number of token steps in a pass with decoding requests. Each step generates one token
    /// for each of them.
    pub stride: u32,
    /// Base duration of a token step.
    pub step: Duration,
    /// Additional duration of a token step per decoding request.
    pub step_per_request: Duration,
    /// The experts of its groups, if its upstreams are ranks of groups.
    pub experts: Option<Experts>,
}

/// The experts that are distributed over the ranks of a group.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Experts {
    /// Number of sets of layers, each with its own experts.
    pub layers: u16,
    /// Number of experts of a set.
    pub count: u16,
    /// Maximum number of experts of one set on a rank.
    pub places: u16,
    /// Maximum number of experts of one set that a map change adds to a rank.
    pub spare: u16,
    /// The fraction of the work for a token that is done by experts, 0 to 1.
    pub share: f64,
    /// How long a rank takes to copy one expert.
    pub copy: Duration,
}

impl Experts {
    /// Whether the given number of ranks has a slot for each expert of a set.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_state::engine::Experts;
    ///
    /// let experts = Experts {
    ///     layers: 4, count: 72, places: 8, spare: 3, share: 0.85, copy: Duration::ZERO,
    /// };
    /// assert!(experts.fit(9));
    /// assert!(!experts.fit(8));
    /// ```
    #[must_use]
    pub fn fit(&self, ranks: usize) -> bool {
        usize::from(self.count) <= usize::from(self.places) * ranks
    }
}

impl Engine {
    /// The duration of a pass on evenly loaded ranks with the given number of decoding requests
    /// on each.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_state::engine::Engine;
    ///
    /// let engine = Engine {
    ///     slots: 12,
    ///     stride: 6,
    ///     step: Duration::from_millis(5),
    ///     step_per_request: Duration::from_millis(1),
    ///     experts: None,
    /// };
    /// assert_eq!(engine.pass(5.0), Duration::from_millis(60));
    /// ```
    #[must_use]
    pub fn pass(&self, writers: f64) -> Duration {
        let step = self.step + self.step_per_request.mul_f64(writers.max(0.0));
        step * self.stride.max(1)
    }

    /// The number of decoding requests on each rank with which a pass on evenly loaded ranks
    /// takes the given time; 0 if the pass takes longer even without any.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_state::engine::Engine;
    ///
    /// let engine = Engine {
    ///     slots: 12,
    ///     stride: 6,
    ///     step: Duration::from_millis(5),
    ///     step_per_request: Duration::from_millis(1),
    ///     experts: None,
    /// };
    /// assert_eq!(engine.writers(Duration::from_millis(60)), 5.0);
    /// assert_eq!(engine.writers(Duration::from_millis(20)), 0.0);
    /// ```
    #[must_use]
    pub fn writers(&self, pass: Duration) -> f64 {
        let step = pass / self.stride.max(1);
        let free = step.saturating_sub(self.step).as_secs_f64();
        free / self.step_per_request.as_secs_f64().max(1e-9)
    }
}
