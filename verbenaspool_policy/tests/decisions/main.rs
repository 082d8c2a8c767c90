//! Tests of the decisions through the balancer's interface.

mod balancer;
mod cases;
mod input;
mod noise;
mod subset;
mod world;

#[path = "../../benches/simulation/mod.rs"]
mod simulation;
