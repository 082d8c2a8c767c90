//! A soak: the real entry programs as separate processes on loopback, under
//! random faults from outside, with callers that check what they are promised.
//!
//! One seed decides all faults and requests. Processes are ended and paused by
//! signals, connections are delayed, reset and silenced by loopback proxies, the
//! store and upstreams misbehave, and configurations change meanwhile.

pub mod caller;
pub mod check;
pub mod deployment;
pub mod fault;
pub mod process;
pub mod proxy;
