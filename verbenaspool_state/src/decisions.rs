//! Settings of the decisions under load, which a service carries in the file.

use serde::{Deserialize, Serialize};

/// A service's settings for what is let in, what waits and where work goes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Decisions {
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for Decisions {
    fn default() -> Self {
        Self {
            deadline_ms: 30_000,
        }
    }
}
