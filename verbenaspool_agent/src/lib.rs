//! The agent process beside each upstream instance.
//!
//! Requests reach the upstream only through the agent, and it is the only sender of
//! orders to its engine. It runs on the upstream's instance because only there can it
//! know for certain that an attempt did not run, reject work when the entries' lists of
//! upstreams are outdated, and prevent a delayed order from reaching the engine. On the
//! [direct path](direct) requests don't pass through it.

pub mod agent;
pub mod command;
pub mod direct;
pub mod group;
pub mod orders;
pub mod settings;

mod admin;
mod answer;
mod control;
mod crashes;
mod envelope;
mod executor;
mod guard;
mod meter;
mod poll;
mod proxy;
mod route;
mod shared;
