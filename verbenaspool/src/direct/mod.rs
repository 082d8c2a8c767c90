//! The direct path: the entry sends requests straight to upstreams.
//!
//! Upstreams here say by themselves whether a request ran, and refuse what was
//! meant for another, so no agent stands between. The routing table and the
//! registry of upstreams come from the platform's store, or from a peer while
//! the store is out of reach.

mod answer;
mod attempt;
mod crash;
mod events;
mod follow;
mod gateway;
mod peers;
mod quarantine;
mod queue;
mod readiness;
mod record;
mod registry;
mod relay;
mod request;
mod reserve;
pub mod run;
pub mod settings;
pub mod standing;
mod status;
