//! Domain types of verbenaspool: what an operator's file says and what the
//! processes agree on. Nothing here does I/O.

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
pub mod rebalancing;
pub mod replica;
pub mod route;
pub mod service;
pub mod upstream;
pub mod version;
