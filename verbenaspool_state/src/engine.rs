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
    pub steps_per_pass: u32,
    /// Base duration of a token step.
    pub step_time: Duration,
    /// Additional duration of a token step per decoding request.
    pub step_time_per_request: Duration,
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
    pub max_slots_per_rank: u16,
    /// Maximum number of experts of one set that a map change adds to a rank.
    pub max_new_per_layer: u16,
    /// The fraction of the work for a token that is done by experts, 0 to 1.
    pub work_share: f64,
    /// How long a rank takes to copy one expert.
    pub copy_time: Duration,
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
    ///     layers: 4,
    ///     count: 72,
    ///     max_slots_per_rank: 8,
    ///     max_new_per_layer: 3,
    ///     work_share: 0.85,
    ///     copy_time: Duration::ZERO,
    /// };
    /// assert!(experts.fits(9));
    /// assert!(!experts.fits(8));
    /// ```
    #[must_use]
    pub fn fits(&self, ranks: usize) -> bool {
        usize::from(self.count) <= usize::from(self.max_slots_per_rank) * ranks
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
    ///     steps_per_pass: 6,
    ///     step_time: Duration::from_millis(5),
    ///     step_time_per_request: Duration::from_millis(1),
    ///     experts: None,
    /// };
    /// assert_eq!(engine.pass_time(5.0), Duration::from_millis(60));
    /// ```
    #[must_use]
    pub fn pass_time(&self, decoding_requests: f64) -> Duration {
        let step = self.step_time
            + self
                .step_time_per_request
                .mul_f64(decoding_requests.max(0.0));
        step * self.steps_per_pass.max(1)
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
    ///     steps_per_pass: 6,
    ///     step_time: Duration::from_millis(5),
    ///     step_time_per_request: Duration::from_millis(1),
    ///     experts: None,
    /// };
    /// assert_eq!(engine.decoding_requests(Duration::from_millis(60)), 5.0);
    /// assert_eq!(engine.decoding_requests(Duration::from_millis(20)), 0.0);
    /// ```
    #[must_use]
    pub fn decoding_requests(&self, pass: Duration) -> f64 {
        let step = pass / self.steps_per_pass.max(1);
        let free = step.saturating_sub(self.step_time).as_secs_f64();
        free / self.step_time_per_request.as_secs_f64().max(1e-9)
    }
}
