//! Attempts: one sending of a request to one upstream.

use std::time::Duration;

/// Names an attempt within one balancer; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer arrived.
    Ran,
    /// The agent confirmed that the attempt did not run and never will.
    NotRun,
    /// The attempt may have run, and its answer is lost.
    Unknown,
    /// The caller or the entry gave the attempt up.
    Cancelled,
}

/// What the entry learned from an attempt that ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// How the attempt ended.
    pub ending: Ending,
    /// The time from sending the attempt to its end.
    pub took: Duration,
    /// The prompt tokens that the engine had to compute, without cached ones.
    pub prompt_tokens: u32,
    /// The tokens generated; 0 for a plain service.
    pub tokens: u32,
}
