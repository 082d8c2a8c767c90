//! HTTP/1.1 on the streamed path: hyper's codec on monoio's sockets.
//!
//! `monoio-http` 0.3.12 holds chunks back until 8 KiB are full and hands a
//! fixed-length body on only when it is whole, so that tokens would not stream;
//! it also takes two lengths for one message. Its nearest kin serves wherever
//! answers stream or the peer is not known; `docs/DESIGN.md` has the trial.

pub mod body;
pub mod client;
pub mod hop;
pub mod server;
