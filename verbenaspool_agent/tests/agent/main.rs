//! Tests of the agent over real sockets, between a simulated entry and a simulated
//! upstream.

mod backoff;
mod cut_head;
mod fault;
mod group;
mod history;
mod input;
mod orders;
mod path;
mod process;
mod rejection;
mod report;
mod rig;
