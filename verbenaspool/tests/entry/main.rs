//! Tests of the entry over real sockets, with fake or real agents.

mod agent;
mod bad_input;
mod crashes;
mod deployment;
mod path;
mod process;
mod retries;
mod subsets;
