//! The agent process beside each upstream instance.
//!
//! It is the last hop of every request and the only sender of orders to its
//! engine. It stands beside the upstream because only there can "this did not
//! run" be known, work be refused while every list is out of date, and a late
//! order be stopped.

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
