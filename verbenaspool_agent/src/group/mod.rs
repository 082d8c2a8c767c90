//! The I/O of an agent in its group of ranks: it delivers the messages and orders of the
//! state machines in [`verbenaspool_coordination::group`], which make all decisions.
//!
//! A message that can't be delivered is dropped; the state machine that sent it sends it
//! again until it sees the effect.

pub(crate) mod gauge;

mod driver;
mod lease;
mod settings;

pub use settings::{Platform, Settings};

pub(crate) use driver::Driver;
