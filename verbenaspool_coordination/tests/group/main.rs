//! Tests of groups of ranks under faults of messages, agents, engines and the
//! weight store: all ranks must run each step on the same map.

mod faults;
mod interleavings;
mod orders;
mod simulation;
