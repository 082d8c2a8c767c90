//! Tests of the decisions through the balancer's interface.

mod balancer;
mod cases;
mod common;
mod input;
mod noise;
mod subset;

#[path = "../../benches/simulation/mod.rs"]
mod simulation;
