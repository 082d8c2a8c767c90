//! The entry on real sockets, with an agent that the test plays.

mod agent;
mod bad_input;
mod crashes;
mod deployment;
mod path;
mod process;
mod retries;
mod subsets;
