//! The direct path: the entry sends requests to upstreams without a proxying agent.
//!
//! These upstreams report by themselves whether a request ran, and reject requests that
//! were meant for another upstream. The routing table and the registry of upstreams come
//! from the platform's store, or from a peer while the store is unreachable.

mod answer;
mod attempt;
mod balancing;
mod buffered;
mod configuration;
mod crash;
mod divergence;
mod evacuation;
mod follow;
mod gateway;
mod memory;
mod outage;
pub mod peers;
mod quarantine;
mod queue;
mod rate_limit;
mod readiness;
mod record;
mod registry;
mod relay;
mod request;
mod reserve;
mod restore;
pub mod run;
pub mod settings;
pub mod standing;
mod status;
mod store_metrics;
mod usage;
