//! Settings, outputs and errors of a lead.

use std::time::Duration;

use verbenaspool_state::expert_map::{Problem, Shape};

use super::message::Command;

/// Settings of a lead.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The seat of the lead's own rank.
    pub seat: u16,
    /// The group's layout.
    pub shape: Shape,
    /// How many steps are granted ahead of the last one run. A new map takes
    /// effect at most this many steps after it was staged, and ranks continue for
    /// that many steps without a lead.
    pub window: u64,
    /// The interval for resending a message that has shown no effect.
    pub resend_interval: Duration,
    /// How long the ranks may take to stage a map before the change is aborted.
    pub staging_timeout: Duration,
}

/// An output of a lead.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a command to the agent of a rank.
    Send {
        /// The rank's seat.
        seat: u16,
        /// The command.
        command: Command,
    },
    /// All ranks have staged the new map; this step is the first one on it.
    Switched {
        /// The new map's epoch.
        epoch: u64,
        /// The step.
        step: u64,
    },
    /// The change was aborted; the current map stays in use.
    Aborted {
        /// The epoch of the abandoned map; no step runs on it.
        epoch: u64,
        /// The reason.
        reason: AbortReason,
    },
    /// A rank's engine was given or has run a step on a map that wasn't granted.
    Diverged {
        /// The rank's seat.
        seat: u16,
        /// The step.
        step: u64,
        /// Whether the step has already run.
        ran: bool,
    },
    /// A rank reported a higher fence: this lead has ended and sends nothing more.
    Deposed {
        /// The higher fence.
        fence: u64,
    },
}

/// Why a change of map was aborted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AbortReason {
    /// Some ranks didn't stage the map within the staging timeout.
    #[error("{missing} ranks didn't stage the map in time; last failure: {last_failure:?}")]
    StagingTimeout {
        /// The number of these ranks.
        missing: usize,
        /// The last error of an engine, if any.
        last_failure: Option<String>,
    },
}

/// Why a proposed map was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Not all ranks have joined the lead yet.
    #[error("the lead is still collecting the ranks' states")]
    Collecting,
    /// Another change is in progress.
    #[error("the change to epoch {epoch} is in progress")]
    Busy {
        /// The epoch of the other change.
        epoch: u64,
    },
    /// The map doesn't fit the group.
    #[error("the map doesn't fit the group: {0}")]
    Unfit(#[from] Problem),
    /// A lead with a higher fence took over, or this lead has used up its epochs.
    #[error("the lead was replaced or has used up its epochs")]
    Ended,
}
