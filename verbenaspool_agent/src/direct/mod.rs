//! The agent beside a rank of a group of engines, on the direct path.
//!
//! Requests don't pass through it. It reads its rank's report and choices, which
//! costs the rank nothing from its own instance, and gives its rank orders. The
//! agent beside the first rank leads the group: it decides which map of experts
//! the ranks use next and brings it in use.

mod agent_state;
mod assembly;
mod choices;
mod distribution;
mod lead;
mod lookup;
mod membership;
mod orders;
pub mod progress;
mod rank;
mod reporting;
pub mod run;
pub mod settings;
mod standin;
mod subscribers;
