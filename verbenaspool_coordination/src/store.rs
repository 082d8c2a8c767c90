//! Calls to the platform's object API as values, for state machines without I/O.
//!
//! A [`Machine`] names the call that it needs next and receives the answer, or that
//! none arrived. The driver makes the calls; tests answer from a model of the store,
//! with any sequence of losses and delays.

/// A state machine that reaches an outcome through calls to the store.
pub trait Machine {
    /// Outcome of the state machine.
    type Outcome;

    /// Returns what to do next. Returns the same step until the call is answered.
    fn step(&self) -> Step<Self::Outcome>;

    /// Handles the answer to the call returned by [`Machine::step`].
    fn answer(&mut self, answer: Answer);
}

/// What a state machine needs next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step<T> {
    /// Make this call immediately.
    Call(Call),
    /// Make this call after a delay: the store was slow, busy or unreachable.
    Retry(Call),
    /// Nothing; this is the outcome.
    Done(T),
}

/// A call to the object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads an object.
    Get {
        /// Key of the object.
        key: String,
    },
    /// Writes an object.
    Put {
        /// Key of the object.
        key: String,
        /// New value.
        value: Vec<u8>,
        /// Condition of the write.
        when: When,
    },
    /// Deletes an object.
    Delete {
        /// Key of the object.
        key: String,
        /// Condition of the deletion.
        when: When,
    },
    /// Lists the objects whose keys start with a prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
    },
}

/// Condition of a write or deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum When {
    /// None.
    Always,
    /// The object doesn't exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The object that was read.
    Found {
        /// Store revision of the object's last change.
        version: u64,
        /// Value of the object.
        value: Vec<u8>,
    },
    /// The object doesn't exist.
    Absent,
    /// The change took effect at this revision.
    Changed(u64),
    /// The condition didn't hold; the object has this version, or 0 if it doesn't
    /// exist.
    Conflict(u64),
    /// The listed objects.
    Listed(Vec<Entry>),
    /// The call had no effect: it was never sent, or the store rejected it as
    /// overloaded.
    Failed(String),
    /// The call was sent but not answered: it may have taken effect, or may still do
    /// so.
    Lost(String),
    /// The store rejected the call permanently: access was denied or the value is too
    /// large.
    Rejected(String),
}

/// A listed object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key of the object.
    pub key: String,
    /// Store revision of the object's last change.
    pub version: u64,
}
