//! Soak test: runs the real entry and agent programs as separate processes on
//! loopback, injects random faults from outside and checks the guarantees that
//! callers rely on.
//!
//! One seed determines all faults and requests. Processes are terminated and paused
//! by signals, loopback proxies delay, reset and block connections, the store and
//! the upstreams fail in several ways, upstreams limit their requests, and the
//! configuration changes during the run.

pub mod caller;
pub mod check;
pub mod deployment;
pub mod fault;
pub mod probe;
pub mod process;
pub mod proxy;
