//! A seeded discrete-event simulation of arrivals and service times, run against a load
//! balancing policy.
//!
//! No network is simulated: a started attempt reaches its engine at once. Only load
//! reports, cache events, lists of upstreams and failures of attempts arrive late.

#![allow(dead_code, missing_docs)] // The tests and the bench each use only some items.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

pub mod baseline;
pub mod case;
pub mod engine;
pub mod fleet;
pub mod job;
pub mod oracle;
pub mod policy;
pub mod score;
pub mod simulator;
pub mod spread;
