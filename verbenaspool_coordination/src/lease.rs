//! Leases through the platform, for whatever needs a single holder.
//!
//! A lease is an object whose record names the holder and a fence, which goes up
//! with each change of holder and never down: the record stays when a lease is
//! given back. The holder renews it; whoever wants it has to see the record
//! unchanged for the lease's time by the own clock. No clocks are compared, so
//! steps of a wall clock do nothing.
//!
//! Failures guarded against:
//! - The holder is paused past its time. When it wakes, [`Lease::current_fence`] tells it
//!   that it holds nothing; should it act before it looks, or should its machine
//!   have stood still as a whole and its clock with it, its orders carry a fence
//!   that whoever saw the successor's refuses.
//! - The answer to a write is lost after it took effect. The record is read back:
//!   it names the process, so its own write is known, and is renewed before it
//!   counts.
//! - The platform is away. The holder's time runs out and nobody holds the lease;
//!   work that needs it waits.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::{Answer, Call, When};

#[cfg(test)]
mod tests;

/// Settings of a lease.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long a lease is held without renewal. A pause shorter than this costs
    /// nothing; work waits this long for a holder that died.
    pub duration: Duration,
    /// What a rival waits beyond that, since two clocks may tick differently: 2%
    /// of the time is a hundred times what quartz clocks drift.
    pub drift_margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            drift_margin: Duration::from_millis(200),
        }
    }
}

/// What the lease's object says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The process that holds the lease; none after it was given back.
    pub holder: Option<String>,
    /// The number that tells this holder's orders from those of holders before.
    pub fence: u64,
}

/// One process's view of a lease that it wants to hold.
#[derive(Debug)]
pub struct Lease {
    /// The key of the lease's object.
    key: String,
    /// The process: its name and incarnation, which no other ever has.
    holder: String,
    /// The settings.
    settings: Settings,
    /// What the process holds.
    held: Option<Held>,
    /// The record of another holder, and when it was first seen as it is.
    observed: Option<ObservedRecord>,
    /// The call that has no answer yet.
    pending: Option<PendingCall>,
    /// Whether the record has to be read before it is written.
    must_read: bool,
    /// What to write once the record was read.
    next_write: Option<(Record, When)>,
    /// When the next call is due.
    next_call_at: Duration,
    /// Whether the lease is being given back.
    releasing: bool,
}

/// A lease as held.
#[derive(Debug, Clone, Copy)]
struct Held {
    /// The fence.
    fence: u64,
    /// Until when the lease is held.
    valid_until: Duration,
    /// The version of the lease's object.
    version: u64,
}

/// Another holder's record.
#[derive(Debug, Clone, Copy)]
struct ObservedRecord {
    /// The version of the lease's object.
    version: u64,
    /// When this version was first seen.
    since: Duration,
}

/// A call without an answer.
#[derive(Debug, Clone)]
enum PendingCall {
    /// The record is being read.
    Read,
    /// The record is being written.
    Write {
        /// What is written.
        record: Record,
        /// When the call was made; the lease's time counts from here.
        sent_at: Duration,
    },
}

impl Lease {
    /// A lease that the process `holder` wants. The name must be the process's
    /// own: a process that starts again needs another one.
    ///
    /// ```
    /// use verbenaspool_coordination::lease::{Lease, Settings};
    ///
    /// let key = "firms/quetzal/leases/group-1".to_owned();
    /// let lease = Lease::new(key, "rank-0.17".to_owned(), Settings::default());
    /// assert_eq!(lease.current_fence(Default::default()), None);
    /// ```
    #[must_use]
    pub fn new(key: String, holder: String, settings: Settings) -> Self {
        Self {
            key,
            holder,
            settings,
            held: None,
            observed: None,
            pending: None,
            must_read: true,
            next_write: None,
            next_call_at: Duration::ZERO,
            releasing: false,
        }
    }

    /// The fence, if the lease is held now. Ask right before each act that needs
    /// the lease.
    ///
    /// ```
    /// # use verbenaspool_coordination::lease::{Lease, Settings};
    /// # let lease = Lease::new("key".into(), "rank-0.17".into(), Settings::default());
    /// assert_eq!(lease.current_fence(std::time::Duration::ZERO), None);
    /// ```
    #[must_use]
    pub fn current_fence(&self, now: Duration) -> Option<u64> {
        let held = self
            .held
            .filter(|held| now < held.valid_until && !self.releasing);
        held.map(|held| held.fence)
    }

    /// Gives the lease back, so that another needn't wait for its time to end.
    ///
    /// ```
    /// # use verbenaspool_coordination::lease::{Lease, Settings};
    /// # let mut lease = Lease::new("key".into(), "rank-0.17".into(), Settings::default());
    /// lease.release();
    /// assert_eq!(lease.next_call(std::time::Duration::ZERO), None);
    /// ```
    pub fn release(&mut self) {
        self.releasing = true;
        self.next_call_at = Duration::ZERO;
    }

    /// The call to make now, if one is due. Each must be answered, if only by
    /// [`Answer::Lost`], before the next is asked for.
    ///
    /// ```
    /// # use verbenaspool_coordination::lease::{Lease, Settings};
    /// # let mut lease = Lease::new("key".into(), "rank-0.17".into(), Settings::default());
    /// assert!(lease.next_call(std::time::Duration::ZERO).is_some());
    /// ```
    pub fn next_call(&mut self, now: Duration) -> Option<Call> {
        if self.pending.is_some() || now < self.next_call_at {
            return None;
        }
        if let Some((record, when)) = self.next_write.take() {
            return Some(self.write_call(now, record, when));
        }
        if self.releasing {
            let held = self.held.take()?;
            let record = Record {
                holder: None,
                fence: held.fence,
            };
            return Some(self.write_call(now, record, When::Version(held.version)));
        }
        if let Some(held) = self.held
            && !self.must_read
        {
            let record = self.own_record(held.fence);
            return Some(self.write_call(now, record, When::Version(held.version)));
        }
        self.pending = Some(PendingCall::Read);
        Some(Call::Get {
            key: self.key.clone(),
        })
    }

    /// Takes an answer in.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_coordination::{lease::{Lease, Settings}, store::Answer};
    /// # let mut lease = Lease::new("key".into(), "rank-0.17".into(), Settings::default());
    /// let now = Duration::ZERO;
    /// lease.next_call(now);
    /// lease.answer(now, Answer::Absent);
    /// lease.next_call(now);
    /// lease.answer(now, Answer::Changed(7));
    /// assert_eq!(lease.current_fence(now), Some(1));
    /// ```
    pub fn answer(&mut self, now: Duration, answer: Answer) {
        let pending = self.pending.take();
        match (pending, answer) {
            (Some(PendingCall::Write { record, sent_at }), Answer::Changed(version)) => {
                self.handle_write(now, &record, sent_at, version);
            }
            (Some(PendingCall::Write { .. }), Answer::Conflict(_)) => {
                // Someone else wrote: either a rival, or this process by a write
                // whose answer was lost.
                self.held = None;
                self.must_read = true;
                self.next_call_at = now;
            }
            (Some(PendingCall::Read), Answer::Absent) => {
                self.schedule_write(now, self.own_record(1), When::Absent);
            }
            (Some(PendingCall::Read), Answer::Found { version, value }) => {
                match serde_json::from_slice(&value) {
                    Ok(record) => self.handle_record(now, version, &record),
                    // A garbled record names no fence that could be counted up
                    // from; waiting is all that is safe.
                    Err(_) => self.next_call_at = now + self.renew_interval(),
                }
            }
            // No answer: what was written, if anything, has to be read. A lease
            // that is held stays so until its time ends, which may be soon.
            _ => {
                self.must_read = true;
                self.next_call_at = now + self.retry_interval(now);
            }
        }
    }

    /// Time between renewals, and between looks at a rival's record. Calls that wait no
    /// longer for an answer may be lost twice in a row before the lease is.
    fn renew_interval(&self) -> Duration {
        self.settings.duration / 4
    }

    /// Time before the next call after one that got no answer.
    fn retry_interval(&self, now: Duration) -> Duration {
        match self.current_fence(now) {
            Some(_) => self.renew_interval() / 4,
            None => self.renew_interval(),
        }
    }

    /// This process's record.
    fn own_record(&self, fence: u64) -> Record {
        Record {
            holder: Some(self.holder.clone()),
            fence,
        }
    }

    /// Makes a write the next call.
    fn schedule_write(&mut self, now: Duration, record: Record, when: When) {
        self.next_write = Some((record, when));
        self.next_call_at = now;
    }

    /// The call that writes `record`.
    fn write_call(&mut self, now: Duration, record: Record, when: When) -> Call {
        // A record holds nothing that JSON can't say.
        let value = serde_json::to_vec(&record).unwrap_or_default();
        self.pending = Some(PendingCall::Write {
            record,
            sent_at: now,
        });
        Call::Put {
            key: self.key.clone(),
            value,
            when,
        }
    }

    /// Takes in that `record` was written.
    fn handle_write(&mut self, now: Duration, record: &Record, sent_at: Duration, version: u64) {
        if record.holder.is_none() {
            return;
        }
        self.held = Some(Held {
            fence: record.fence,
            valid_until: sent_at + self.settings.duration,
            version,
        });
        self.must_read = false;
        self.observed = None;
        self.next_call_at = now + self.renew_interval();
    }

    /// Takes the stored record in.
    fn handle_record(&mut self, now: Duration, version: u64, record: &Record) {
        match &record.holder {
            None => self.schedule_write(
                now,
                self.own_record(record.fence + 1),
                When::Version(version),
            ),
            // A write of this process whose answer was lost. When it took effect
            // is unknown, so it counts only once it is renewed.
            Some(holder) if *holder == self.holder => {
                self.schedule_write(now, self.own_record(record.fence), When::Version(version));
            }
            Some(_) => {
                self.held = None;
                self.observe(now, version, record.fence);
            }
        }
    }

    /// Waits for another holder's time to end.
    fn observe(&mut self, now: Duration, version: u64, fence: u64) {
        let known = self.observed.filter(|observed| observed.version == version);
        let since = known.map_or(now, |observed| observed.since);
        self.observed = Some(ObservedRecord { version, since });
        let end = since + self.settings.duration + self.settings.drift_margin;
        if now >= end {
            self.schedule_write(now, self.own_record(fence + 1), When::Version(version));
        } else {
            self.next_call_at = end.min(now + self.renew_interval());
        }
    }
}
