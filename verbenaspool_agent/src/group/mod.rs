//! An agent's part in its group of ranks: it carries the messages and orders of
//! the state machines in [`verbenaspool_coordination::group`].
//!
//! Nothing is decided here. A message that can't be delivered is dropped; the
//! machine that sent it says it again until it sees the effect.

pub(crate) mod gauge;

mod driver;
mod lease;
mod settings;

pub use settings::{Platform, Settings};

pub(crate) use driver::Driver;
