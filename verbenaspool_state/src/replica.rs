//! Upstreams that entries address directly, as listed in the platform's registry.

use std::{net::SocketAddr, rc::Rc, time::Duration};

/// A running upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Its unique id. Unlike addresses, ids are never reused.
    pub id: Rc<str>,
    /// The service that it runs.
    pub service: Rc<str>,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Rc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// When it started, in milliseconds of Unix time; 0 if it doesn't say.
    pub started_at_ms: u64,
    /// How much longer it warms up, counted from its report; `None` if it doesn't say.
    pub warm_up_left: Option<Duration>,
}

/// The state that a replica reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It accepts requests.
    Ready,
    /// It is about to leave and accepts no new requests.
    Draining,
}
