//! Domain types of verbenaspool: the operator's configuration and types that its processes
//! have in common. This crate does no I/O.

pub mod backoff;
pub mod check;
pub mod credential;
pub mod customer;
pub mod decisions;
pub mod engine;
pub mod expert_map;
pub mod file;
pub mod fingerprint;
pub mod name;
pub mod place;
pub mod position;
pub mod provenance;
pub mod rate_limit;
pub mod rebalancing;
pub mod replica;
pub mod route;
pub mod service;
pub mod upstream;
pub mod version;
