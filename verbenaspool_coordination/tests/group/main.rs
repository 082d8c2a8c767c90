//! Groups of ranks under faults: whatever happens to messages, agents, engines
//! and the weight store, every step is run on one map.

mod faults;
mod interleavings;
mod orders;
mod simulation;
