//! The agent over real sockets, between a stand-in of an entry and one of an
//! upstream.

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
