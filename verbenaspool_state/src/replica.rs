//! An upstream that is addressed directly, as the platform's registry lists it.

use std::{net::SocketAddr, rc::Rc};

/// One running upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Its identity: addresses are used again by others, identities aren't.
    pub id: Rc<str>,
    /// The service it runs.
    pub service: Rc<str>,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// The availability zone it stands in.
    pub zone: Rc<str>,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
}

/// What a replica says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It is about to leave and takes no new ones.
    Draining,
}
