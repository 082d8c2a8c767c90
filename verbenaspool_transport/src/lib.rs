//! Runtime, HTTP and RPC transport, platform client, clock, logging, metrics
//! and tracing of verbenaspool.

pub mod clock;
pub mod config;
pub mod http;
pub mod log;
pub mod metrics;
pub mod platform;
pub mod rpc;
pub mod runtime;
pub mod settings;
pub mod shutdown;
pub mod trace;
