//! Tests of the expert map switch under lost, delayed and duplicated orders, with leads
//! that freeze and resume and agents that stand in for them.

mod explore;
mod simulation;
mod steps;
