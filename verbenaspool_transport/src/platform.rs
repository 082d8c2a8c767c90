//! The platform's object API: the border that the rest of the system sees.
//!
//! Everything that must last or be agreed on lives behind [`Store`]. The border
//! is a trait object, so that tests can put a fake of their own in; the client
//! that speaks to the real service is [`client::Client`], and
//! [`driver::drive`] makes the calls that a machine without I/O asks for.

use std::{future::Future, pin::Pin, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use verbenaspool_coordination::store::When;

pub mod budget;
pub mod client;
pub mod driver;

/// The header that carries an object's version.
pub const VERSION_HEADER: &str = "x-version";
/// The header that makes a change conditional on the version it replaces.
pub const IF_VERSION_HEADER: &str = "x-if-version";
/// The largest value that the platform takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The answer of a [`Store`] call, which stays on the thread that asked.
pub type CallFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + 'a>>;

/// The platform's object API.
pub trait Store {
    /// Reads an object; `None` where there is none.
    fn get<'a>(&'a self, key: &'a str) -> CallFuture<'a, Option<Object>>;

    /// Writes an object and answers with its new version.
    fn put<'a>(&'a self, key: &'a str, value: Bytes, when: When) -> CallFuture<'a, u64>;

    /// Deletes an object. Deleting what isn't there succeeds.
    fn delete<'a>(&'a self, key: &'a str, when: When) -> CallFuture<'a, ()>;

    /// Lists the objects whose key starts with `prefix`, in key order.
    fn list<'a>(&'a self, prefix: &'a str) -> CallFuture<'a, Vec<Entry>>;

    /// Waits up to `wait` for changes below `prefix` after revision `since`.
    /// Events may come late, with gaps and out of order: they are hints to read.
    fn watch<'a>(&'a self, prefix: &'a str, since: u64, wait: Duration) -> CallFuture<'a, Events>;
}

/// An object as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The store's revision at the object's last change.
    pub version: u64,
    /// The object's bytes.
    pub value: Bytes,
}

/// An object as listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The object's key.
    pub key: String,
    /// The store's revision at the object's last change.
    pub version: u64,
    /// The size of the value in bytes.
    pub size: usize,
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// The revision to watch from next.
    pub revision: u64,
    /// What changed.
    pub events: Vec<Event>,
}

/// One change that a watch brought.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The changed object's key.
    pub key: String,
    /// The store's revision at the change.
    pub version: u64,
    /// Whether the object is gone.
    pub deleted: bool,
}

/// Why a call brought no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The condition didn't hold; nothing was changed.
    #[error("the object is at version {current} by now")]
    Conflict {
        /// The object's version, 0 where there is none.
        current: u64,
    },
    /// The value is over [`MAX_VALUE_BYTES`]; nothing was changed.
    #[error("the value is over {MAX_VALUE_BYTES} bytes")]
    TooLarge,
    /// The token doesn't reach this key; nothing was changed.
    #[error("the token doesn't reach this key")]
    Forbidden,
    /// The platform has no room for the call now; nothing was changed.
    #[error("the platform is over its rate")]
    Busy,
    /// The call was never sent, so it had no effect.
    #[error("the platform can't be reached: {0}")]
    NotSent(String),
    /// The call was sent and its answer is lost: a change may have taken effect.
    #[error("the platform's answer is lost: {0}")]
    Unknown(String),
}

impl Error {
    /// Whether a change may have taken effect in spite of the error. Who gets
    /// such an error on a change has to read back what stands there.
    ///
    /// ```
    /// use verbenaspool_transport::platform::Error;
    ///
    /// assert!(Error::Unknown("timeout".to_owned()).may_have_run());
    /// assert!(!Error::Busy.may_have_run());
    /// ```
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}
