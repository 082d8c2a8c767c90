//! The agent's ledger of attempts, which makes "this did not run" true.
//!
//! An entry whose answer is lost asks what became of the attempt. "Refused" is
//! a promise: the attempt did not run, and a copy of it that is still on its
//! way is refused when it arrives. The ledger keeps that promise with a
//! tombstone for each such attempt.
//!
//! Memory is bounded without breaking the promise. The oldest closed records
//! are forgotten, and each raises its entry's rejected_through: an attempt at or below the
//! floor that has no record is refused. Where the forgotten record had run, a
//! second mark rises as well, below which the ledger says "unknown" rather than
//! "refused".

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

/// Names an attempt: the entry process that made it, and its count there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// The incarnation of the entry process.
    pub entry: u64,
    /// Counts the attempts of that process from 1.
    pub counter: u64,
}

/// Bounds on what the ledger holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Attempts that run at once.
    pub max_running: usize,
    /// Closed attempts that are remembered. At 100 requests a second the
    /// default spans over two minutes, and an entry asks within seconds.
    pub max_closed: usize,
    /// How long an entry process must be silent before its floor is forgotten.
    /// A copy of an attempt that comes later than this would run, so it is far
    /// longer than a connection survives without a byte.
    pub entry_expiry: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_running: 4_096,
            max_closed: 16_384,
            entry_expiry: Duration::from_hours(24),
        }
    }
}

/// Why an attempt may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The instance is leaving.
    #[error("the instance is leaving")]
    Leaving,
    /// As many attempts run as may.
    #[error("as many attempts run as may")]
    Full,
    /// The attempt was refused before, and stays refused.
    #[error("the attempt was refused before")]
    Tombstone,
    /// The attempt was admitted before, so that it may have run.
    #[error("the attempt was admitted before")]
    Repeated,
}

/// How an admitted attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The upstream ran it and answered whole.
    Ran,
    /// No byte of it reached the upstream.
    NotRun,
    /// It broke off: the upstream may have run it.
    Broken,
}

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It did not run and never will.
    Rejected,
    /// It is running.
    Running,
    /// It ran to its end.
    Ended,
    /// It may have run.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Record {
    Running,
    Rejected,
    Ended,
    Broken,
}

/// What is known of one entry process.
#[derive(Debug, Default)]
struct Entry {
    /// At or below it, an attempt without a record is refused.
    rejected_through: u64,
    /// At or below it, an attempt without a record may have run.
    ran_through: u64,
    records: BTreeMap<u64, Record>,
    last_contact: Duration,
}

impl Entry {
    fn status(&self, counter: u64) -> Option<Status> {
        match self.records.get(&counter) {
            Some(Record::Running) => Some(Status::Running),
            Some(Record::Rejected) => Some(Status::Rejected),
            Some(Record::Ended) => Some(Status::Ended),
            Some(Record::Broken) => Some(Status::Unknown),
            None if counter <= self.ran_through => Some(Status::Unknown),
            None if counter <= self.rejected_through => Some(Status::Rejected),
            None => None,
        }
    }

    fn drop_record(&mut self, counter: u64) {
        let record = self.records.remove(&counter);
        self.rejected_through = self.rejected_through.max(counter);
        if matches!(record, Some(Record::Ended | Record::Broken)) {
            self.ran_through = self.ran_through.max(counter);
        }
    }
}

/// The attempts that one agent process admitted and refused.
#[derive(Debug, Default)]
pub struct Ledger {
    limits: Limits,
    entries: HashMap<u64, Entry>,
    /// Closed attempts, oldest first.
    closed: VecDeque<Key>,
    running: usize,
    leaving: bool,
}

impl Ledger {
    /// An empty ledger.
    ///
    /// ```
    /// use verbenaspool_coordination::attempt::{Ledger, Limits};
    ///
    /// assert_eq!(Ledger::new(Limits::default()).running(), 0);
    /// ```
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Admits an attempt that just arrived.
    ///
    /// An entry sends an attempt once and on one connection, so an attempt that
    /// arrived has no second copy on its way, and its refusal needs no
    /// tombstone. Under overload these would push out the records of attempts
    /// that ran.
    ///
    /// # Errors
    /// The attempt may not run. Only [`Rejection::Repeated`] leaves open whether
    /// it ran before.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_coordination::attempt::{Key, Ledger, Rejection};
    ///
    /// let mut ledger = Ledger::default();
    /// let key = Key { entry: 7, counter: 1 };
    /// assert_eq!(ledger.admit(key, Duration::ZERO), Ok(()));
    /// assert_eq!(ledger.admit(key, Duration::ZERO), Err(Rejection::Repeated));
    /// ```
    pub fn admit(&mut self, key: Key, now: Duration) -> Result<(), Rejection> {
        let (full, leaving) = (self.running >= self.limits.max_running, self.leaving);
        let entry = self.entry(key.entry, now);
        match entry.status(key.counter) {
            Some(Status::Rejected) => return Err(Rejection::Tombstone),
            Some(_) => return Err(Rejection::Repeated),
            None if leaving => return Err(Rejection::Leaving),
            None if full => return Err(Rejection::Full),
            None => {}
        }
        entry.records.insert(key.counter, Record::Running);
        self.running += 1;
        Ok(())
    }

    /// Closes an admitted attempt; one that is not running stays as it is.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_coordination::attempt::{Ending, Key, Ledger, Status};
    ///
    /// let mut ledger = Ledger::default();
    /// let key = Key { entry: 7, counter: 1 };
    /// ledger.admit(key, Duration::ZERO).unwrap();
    /// ledger.finish(key, Ending::Ran);
    /// assert_eq!(ledger.settle(key, Duration::ZERO), Status::Ended);
    /// ```
    pub fn finish(&mut self, key: Key, ending: Ending) {
        let entry = self.entries.get_mut(&key.entry);
        let Some(record) = entry.and_then(|entry| entry.records.get_mut(&key.counter)) else {
            return;
        };
        if *record != Record::Running {
            return;
        }
        *record = match ending {
            Ending::Ran => Record::Ended,
            Ending::NotRun => Record::Rejected,
            Ending::Broken => Record::Broken,
        };
        self.running -= 1;
        self.close(key);
    }

    /// Says what became of an attempt. One that has not arrived is refused from
    /// now on, which is what makes the word true.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_coordination::attempt::{Key, Ledger, Rejection, Status};
    ///
    /// let mut ledger = Ledger::default();
    /// let key = Key { entry: 7, counter: 1 };
    /// assert_eq!(ledger.settle(key, Duration::ZERO), Status::Rejected);
    /// assert_eq!(ledger.admit(key, Duration::ZERO), Err(Rejection::Tombstone));
    /// ```
    pub fn settle(&mut self, key: Key, now: Duration) -> Status {
        let entry = self.entry(key.entry, now);
        if let Some(status) = entry.status(key.counter) {
            return status;
        }
        entry.records.insert(key.counter, Record::Rejected);
        self.close(key);
        Status::Rejected
    }

    /// Refuses every attempt that is not admitted yet, for good.
    ///
    /// ```
    /// let mut ledger = verbenaspool_coordination::attempt::Ledger::default();
    /// ledger.leave();
    /// assert!(ledger.leaving());
    /// ```
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the instance is leaving.
    ///
    /// ```
    /// assert!(!verbenaspool_coordination::attempt::Ledger::default().leaving());
    /// ```
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// How many attempts run.
    ///
    /// ```
    /// assert_eq!(verbenaspool_coordination::attempt::Ledger::default().running(), 0);
    /// ```
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// How many records are held, running and closed, as a measure of memory.
    ///
    /// ```
    /// assert_eq!(verbenaspool_coordination::attempt::Ledger::default().records(), 0);
    /// ```
    #[must_use]
    pub fn records(&self) -> usize {
        self.running + self.closed.len()
    }

    /// How many entry processes are known, as a measure of memory.
    ///
    /// ```
    /// assert_eq!(verbenaspool_coordination::attempt::Ledger::default().entries(), 0);
    /// ```
    #[must_use]
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    fn entry(&mut self, incarnation: u64, now: Duration) -> &mut Entry {
        if !self.entries.contains_key(&incarnation) {
            let expiry = self.limits.entry_expiry;
            self.entries.retain(|_, entry| {
                !entry.records.is_empty() || now.saturating_sub(entry.last_contact) < expiry
            });
        }
        let entry = self.entries.entry(incarnation).or_default();
        entry.last_contact = now;
        entry
    }

    fn close(&mut self, key: Key) {
        self.closed.push_back(key);
        while self.closed.len() > self.limits.max_closed {
            let Some(oldest) = self.closed.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&oldest.entry) {
                entry.drop_record(oldest.counter);
            }
        }
    }
}
