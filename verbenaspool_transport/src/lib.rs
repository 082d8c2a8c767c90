//! Sockets, HTTP, the platform's client, the clock, logs and traces of
//! verbenaspool.

pub mod clock;
pub mod http;
pub mod log;
pub mod rpc;
pub mod runtime;
pub mod shutdown;
