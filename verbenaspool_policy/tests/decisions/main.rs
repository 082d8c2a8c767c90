//! Tests of the balancer's decisions through its public interface.

mod balancer;
mod cases;
mod common;
mod input;
mod noise;
mod subset;

#[path = "../../benches/simulation/mod.rs"]
mod simulation;
