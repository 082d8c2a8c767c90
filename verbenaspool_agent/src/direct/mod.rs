//! The agent beside a rank of an engine group, when requests take the direct path.
//!
//! Requests don't pass through this agent. It reads its rank's report and expert choices,
//! which is cheap on the same instance, and sends orders to its rank. The agent of the
//! first rank leads the group: it decides which expert map the ranks use next and
//! coordinates the switch to it.

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
