//! The agent's ledger of attempts, which guarantees that a rejected attempt doesn't
//! run.
//!
//! An entry that lost the answer to an attempt asks the agent for its status.
//! [`Status::Rejected`] is a guarantee: the attempt did not run, and a copy of it that
//! is still in flight is rejected on arrival. The ledger records a tombstone for each
//! such attempt.
//!
//! Memory is bounded without breaking the guarantee. The oldest closed records are
//! dropped, and each raises its entry's `rejected_through`: an attempt up to that
//! counter without a record is rejected. If the dropped attempt may have run,
//! `ran_through` rises as well, up to which the ledger reports "unknown" instead of "rejected".

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

/// Identifies an attempt: the entry process that made it, and the attempt's number
/// there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// Incarnation of the entry process.
    pub entry: u64,
    /// Number of the attempt within that process, starting at 1.
    pub counter: u64,
}

/// Limits of the ledger's size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of running attempts.
    pub max_running: usize,
    /// Maximum number of closed attempts with a record. At 100 requests a second the
    /// default covers over two minutes, and an entry asks within seconds.
    pub max_closed: usize,
    /// How long an entry process must be silent before its state is dropped. A copy of
    /// an attempt that arrives later than this would run, so this is far longer than a
    /// connection survives without traffic.
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
    /// The maximum number of attempts is running.
    #[error("the maximum number of attempts is running")]
    Full,
    /// The attempt was rejected before, and stays rejected.
    #[error("the attempt was rejected before")]
    Tombstone,
    /// The attempt was admitted before, so it may have run.
    #[error("the attempt was admitted before")]
    Repeated,
}

/// How an admitted attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The upstream ran it and the response is complete.
    Ran,
    /// No byte of it reached the upstream.
    NotRun,
    /// It was interrupted: the upstream may have run it.
    Broken,
}

/// Status of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It did not run and never will.
    Rejected,
    /// It is running.
    Running,
    /// It ran to completion.
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

/// State of one entry process.
#[derive(Debug, Default)]
struct Entry {
    /// Attempts up to this counter without a record are rejected.
    rejected_through: u64,
    /// Attempts up to this counter without a record may have run.
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

/// The attempts that one agent process admitted or rejected.
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
    /// Creates an empty ledger.
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

    /// Admits an attempt on arrival.
    ///
    /// An entry sends an attempt once and on one connection, so no second copy of an
    /// attempt that arrived is in flight, and rejecting it needs no tombstone. Under
    /// overload, tombstones would displace the records of attempts that ran.
    ///
    /// # Errors
    /// If the attempt may not run. Only after [`Rejection::Repeated`] may it have run
    /// before.
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

    /// Closes an admitted attempt; has no effect if it isn't running.
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

    /// Returns the status of an attempt. One that has not arrived is rejected from now
    /// on, which makes the returned status true.
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

    /// Rejects all attempts that aren't admitted yet, permanently.
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

    /// Number of running attempts.
    ///
    /// ```
    /// assert_eq!(verbenaspool_coordination::attempt::Ledger::default().running(), 0);
    /// ```
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of records of running and closed attempts, as a measure of memory use.
    ///
    /// ```
    /// assert_eq!(verbenaspool_coordination::attempt::Ledger::default().records(), 0);
    /// ```
    #[must_use]
    pub fn records(&self) -> usize {
        self.running + self.closed.len()
    }

    /// Number of known entry processes, as a measure of memory use.
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
