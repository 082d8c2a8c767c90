//! What goes into a lead and comes out of it.

use std::time::Duration;

use verbenaspool_state::expert_map::{Problem, Shape};

use super::message::Command;

/// Fixed properties of a lead.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The seat of the lead's own rank.
    pub seat: u16,
    /// The group's layout.
    pub shape: Shape,
    /// How many steps are granted ahead of the last one run. A change of map
    /// takes effect at most this many steps after it was staged; ranks run on
    /// that long without a lead.
    pub window: u64,
    /// After how long an unanswered message is sent again.
    pub resend_interval: Duration,
    /// How long all ranks together may take to stage a map.
    pub staging_timeout: Duration,
}

/// What a lead does.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send to the agent of the rank at a seat.
    Send {
        /// The rank's seat.
        seat: u16,
        /// What to send.
        command: Command,
    },
    /// The change is settled: this step is the first on the new map.
    Switched {
        /// The new map's epoch.
        epoch: u64,
        /// The step.
        step: u64,
    },
    /// The change was given up; the map in force stays.
    Aborted {
        /// The epoch that is never used.
        epoch: u64,
        /// Why.
        reason: AbortReason,
    },
    /// A rank's engine had a step on a map that wasn't granted.
    Diverged {
        /// The rank's seat.
        seat: u16,
        /// The step.
        step: u64,
        /// Whether the step was run already.
        ran: bool,
    },
    /// A higher fence was heard of: this lead is over and sends nothing more.
    Deposed {
        /// The higher fence.
        fence: u64,
    },
}

/// Why a change was given up.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AbortReason {
    /// Some ranks didn't stage the map in time.
    #[error("{missing} ranks didn't stage it in time; the last failure: {last_failure:?}")]
    StagingTimeout {
        /// How many.
        missing: usize,
        /// What an engine last said, where one did.
        last_failure: Option<String>,
    },
}

/// Why a proposed map isn't taken up.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The lead hasn't heard from all ranks yet.
    #[error("the lead is still collecting the ranks")]
    Collecting,
    /// Another change is under way.
    #[error("the change to epoch {epoch} is under way")]
    Busy {
        /// Its epoch.
        epoch: u64,
    },
    /// The map doesn't fit the group.
    #[error("the map doesn't fit the group: {0}")]
    Unfit(#[from] Problem),
    /// A lead with a higher fence took over, or this one's epochs are used up.
    #[error("this lead is over")]
    Ended,
}
