//! Attempts to run a request on an upstream.

use std::time::Duration;

/// Identifies an attempt within one balancer; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer arrived.
    Ran,
    /// The agent confirmed that the attempt did not run and never will.
    NotRun,
    /// The attempt may have run, but its answer was lost.
    Unknown,
    /// The caller or the entry cancelled the attempt.
    Cancelled,
}

/// The result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// How the attempt ended.
    pub ending: Ending,
    /// The time from the start of the attempt to its end.
    pub took: Duration,
    /// The prompt tokens that the engine computed, without cached ones.
    pub prompt_tokens: u32,
    /// The tokens generated; 0 for a plain service.
    pub tokens: u32,
}
