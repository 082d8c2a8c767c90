//! Sockets, HTTP, platform client, clock, logs and traces of verbenaspool.

pub mod config;
pub mod platform;
