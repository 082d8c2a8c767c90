//! The interface to the platform's object API.
//!
//! All state that must be durable or agreed on is kept behind [`Store`]. It is used as a
//! trait object, so that tests can replace it. [`client::Client`] implements it for the real
//! service, and [`driver::drive`] makes the calls that a state machine without I/O requests.

use std::{future::Future, pin::Pin, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use verbenaspool_coordination::store::When;

pub mod budget;
pub mod client;
pub mod driver;
pub mod era;
mod limited;

/// The header that carries an object's version.
pub const VERSION_HEADER: &str = "x-version";
/// The header that makes a change conditional on the version it replaces.
pub const IF_VERSION_HEADER: &str = "x-if-version";
/// The header of answers that tells how often the store came back from an older copy.
pub const ERA_HEADER: &str = "x-era";
/// The maximum size of a value that the platform accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The future of a [`Store`] call. It isn't `Send`, since it stays on the calling thread.
pub type CallFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + 'a>>;

/// The platform's object API.
pub trait Store {
    /// Reads an object; `None` if it doesn't exist.
    fn get<'a>(&'a self, key: &'a str) -> CallFuture<'a, Option<Object>>;

    /// Writes an object and returns its new version.
    fn put<'a>(&'a self, key: &'a str, value: Bytes, when: When) -> CallFuture<'a, u64>;

    /// Deletes an object. Deleting an object that doesn't exist succeeds.
    fn delete<'a>(&'a self, key: &'a str, when: When) -> CallFuture<'a, ()>;

    /// Lists the objects whose key starts with `prefix`, in key order.
    fn list<'a>(&'a self, prefix: &'a str) -> CallFuture<'a, Vec<Entry>>;

    /// Waits up to `wait` for changes below `prefix` after revision `since`.
    /// Events may be late, missing or out of order, so they are only hints to read.
    fn watch<'a>(&'a self, prefix: &'a str, since: u64, wait: Duration) -> CallFuture<'a, Events>;

    /// The store's latest known era, which rises each time that it comes back from an older copy;
    /// 0 if no answer has named one. Versions and revisions of an earlier era are void.
    fn era(&self) -> u64 {
        0
    }
}

/// An object with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The store's revision at the object's last change.
    pub version: u64,
    /// The object's bytes.
    pub value: Bytes,
}

/// An object in a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The object's key.
    pub key: String,
    /// The store's revision at the object's last change.
    pub version: u64,
    /// The size of the value in bytes.
    pub size: usize,
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// The revision to watch from next.
    pub revision: u64,
    /// The changes.
    pub events: Vec<Event>,
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The changed object's key.
    pub key: String,
    /// The store's revision at the change.
    pub version: u64,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The condition didn't hold; nothing was changed.
    #[error("the object has been changed to version {current}")]
    Conflict {
        /// The object's version, or 0 if it doesn't exist.
        current: u64,
    },
    /// The value exceeds [`MAX_VALUE_BYTES`]; nothing was changed.
    #[error("the value exceeds {MAX_VALUE_BYTES} bytes")]
    TooLarge,
    /// The token gives no access to this key; nothing was changed.
    #[error("the token gives no access to this key")]
    Forbidden,
    /// The call was rejected because of a rate limit; nothing was changed.
    #[error("the platform's rate limit is exceeded")]
    Busy,
    /// The call was never sent, so it had no effect.
    #[error("the platform is unreachable: {0}")]
    NotSent(String),
    /// The call was sent but no valid answer received: a change may have taken effect.
    #[error("no valid answer from the platform: {0}")]
    Unknown(String),
}

impl Error {
    /// Whether a change may have taken effect in spite of the error. The caller must then
    /// read the object to find out.
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
