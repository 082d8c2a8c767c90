//! The agent beside a rank of a group of engines, on the direct path.
//!
//! Requests don't pass through it. It reads its rank's report and choices, which
//! costs the rank nothing from its own instance, and gives its rank orders. The
//! agent beside the first rank leads the group: it decides which map of experts
//! the ranks use next and brings it in use.

mod agent_state;
mod choices;
mod lead;
mod listeners;
mod lookup;
mod membership;
mod orders;
mod partial;
pub mod progress;
mod rank;
pub mod run;
pub mod settings;
mod spread;
mod standin;
mod tell;
