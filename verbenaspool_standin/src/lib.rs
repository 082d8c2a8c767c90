//! Stand-ins for the platform, a model engine and a plain service, for tests and the demo, and
//! checkers for the histories that they record.

pub mod address;
pub mod crash;
pub mod engine;
pub mod history;
pub mod platform;
pub mod ranks;
pub mod seat;
pub mod service;
pub mod weights;
