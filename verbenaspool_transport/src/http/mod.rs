//! HTTP/1.1 with streaming bodies: hyper's codec on monoio's sockets.
//!
//! hyper is used wherever responses stream or the peer is untrusted, because
//! `monoio-http` 0.3.12 doesn't suit either: it buffers chunks up to 8 KiB and
//! fixed-length bodies completely, so that tokens would not stream, and it accepts
//! a message with two lengths. `docs/DESIGN.md` describes the comparison.

pub mod body;
pub mod client;
pub mod events;
pub mod hop;
pub mod memory;
pub mod progress;
pub mod reader;
mod refusal;
pub mod response_limits;
pub mod retry_after;
pub mod server;
mod socket;
