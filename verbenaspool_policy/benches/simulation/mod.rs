//! A small seeded play of arrivals and service times at the policy's interface.
//! It has no network: a start takes effect at once, and only reports, cache
//! events and broken attempts arrive later.

#![allow(dead_code, missing_docs)] // The tests and the bench each use a part.
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
