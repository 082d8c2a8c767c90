//! Leases through the platform, for whatever needs a single holder.
//!
//! A lease is an object whose record names the holder and a fence, which goes up
//! with each change of holder and never down: the record stays when a lease is
//! given back. The holder renews it; whoever wants it has to see the record
//! unchanged for the lease's time by the own clock. No clocks are compared, so
//! steps of a wall clock do nothing.
//!
//! Failures guarded against:
//! - The holder is paused past its time. When it wakes, [`Lease::held`] tells it
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
    pub time: Duration,
    /// What a rival waits beyond that, since two clocks may tick differently: 2%
    /// of the time is a hundred times what quartz clocks drift.
    pub margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            time: Duration::from_secs(10),
            margin: Duration::from_millis(200),
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
    rival: Option<Rival>,
    /// The call that has no answer yet.
    open: Option<Open>,
    /// Whether the record has to be read before it is written.
    read: bool,
    /// What to write once the record was read.
    plan: Option<(Record, When)>,
    /// When the next call is due.
    due: Duration,
    /// Whether the lease is being given back.
    ending: bool,
}

/// A lease as held.
#[derive(Debug, Clone, Copy)]
struct Held {
    /// The fence.
    fence: u64,
    /// Until when the lease is held.
    until: Duration,
    /// The version of the lease's object.
    version: u64,
}

/// Another holder's record.
#[derive(Debug, Clone, Copy)]
struct Rival {
    /// The version of the lease's object.
    version: u64,
    /// When this version was first seen.
    since: Duration,
}

/// A call without an answer.
#[derive(Debug, Clone)]
enum Open {
    /// The record is being read.
    Read,
    /// The record is being written.
    Write {
        /// What is written.
        record: Record,
        /// When the call was made; the lease's time counts from here.
        sent: Duration,
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
    /// assert_eq!(lease.held(Default::default()), None);
    /// ```
    #[must_use]
    pub fn new(key: String, holder: String, settings: Settings) -> Self {
        Self {
            key,
            holder,
            settings,
            held: None,
            rival: None,
            open: None,
            read: true,
            plan: None,
            due: Duration::ZERO,
            ending: false,
        }
    }

    /// The fence, if the lease is held now. Ask right before each act that needs
    /// the lease.
    ///
    /// ```
    /// # use verbenaspool_coordination::lease::{Lease, Settings};
    /// # let lease = Lease::new("key".into(), "rank-0.17".into(), Settings::default());
    /// assert_eq!(lease.held(std::time::Duration::ZERO), None);
    /// ```
    #[must_use]
    pub fn held(&self, now: Duration) -> Option<u64> {
        let held = self.held.filter(|held| now < held.until && !self.ending);
        held.map(|held| held.fence)
    }

    /// Gives the lease back, so that another needn't wait for its time to end.
    ///
    /// ```
    /// # use verbenaspool_coordination::lease::{Lease, Settings};
    /// # let mut lease = Lease::new("key".into(), "rank-0.17".into(), Settings::default());
    /// lease.end();
    /// assert_eq!(lease.call(std::time::Duration::ZERO), None);
    /// ```
    pub fn end(&mut self) {
        self.ending = true;
        self.due = Duration::ZERO;
    }

    /// The call to make now, if one is due. Each must be answered, if only by
    /// [`Answer::Lost`], before the next is asked for.
    ///
    /// ```
    /// # use verbenaspool_coordination::lease::{Lease, Settings};
    /// # let mut lease = Lease::new("key".into(), "rank-0.17".into(), Settings::default());
    /// assert!(lease.call(std::time::Duration::ZERO).is_some());
    /// ```
    pub fn call(&mut self, now: Duration) -> Option<Call> {
        if self.open.is_some() || now < self.due {
            return None;
        }
        if let Some((record, when)) = self.plan.take() {
            return Some(self.write(now, record, when));
        }
        if self.ending {
            let held = self.held.take()?;
            let record = Record {
                holder: None,
                fence: held.fence,
            };
            return Some(self.write(now, record, When::Version(held.version)));
        }
        if let Some(held) = self.held
            && !self.read
        {
            let record = self.record(held.fence);
            return Some(self.write(now, record, When::Version(held.version)));
        }
        self.open = Some(Open::Read);
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
    /// lease.call(now);
    /// lease.answer(now, Answer::Absent);
    /// lease.call(now);
    /// lease.answer(now, Answer::Changed(7));
    /// assert_eq!(lease.held(now), Some(1));
    /// ```
    pub fn answer(&mut self, now: Duration, answer: Answer) {
        let open = self.open.take();
        match (open, answer) {
            (Some(Open::Write { record, sent }), Answer::Changed(version)) => {
                self.written(now, &record, sent, version);
            }
            (Some(Open::Write { .. }), Answer::Conflict(_)) => {
                // Someone else wrote: either a rival, or this process by a write
                // whose answer was lost.
                self.held = None;
                self.read = true;
                self.due = now;
            }
            (Some(Open::Read), Answer::Absent) => {
                self.plan(now, self.record(1), When::Absent);
            }
            (Some(Open::Read), Answer::Found { version, value }) => {
                match serde_json::from_slice(&value) {
                    Ok(record) => self.found(now, version, &record),
                    // A garbled record names no fence that could be counted up
                    // from; waiting is all that is safe.
                    Err(_) => self.due = now + self.pause(),
                }
            }
            // No answer: what was written, if anything, has to be read. A lease
            // that is held stays so until its time ends, which may be soon.
            _ => {
                self.read = true;
                self.due = now + self.retry_pause(now);
            }
        }
    }

    /// Time between renewals, and between looks at a rival's record. Calls that wait no
    /// longer for an answer may be lost twice in a row before the lease is.
    fn pause(&self) -> Duration {
        self.settings.time / 4
    }

    /// Time before the next call after one that got no answer.
    fn retry_pause(&self, now: Duration) -> Duration {
        match self.held(now) {
            Some(_) => self.pause() / 4,
            None => self.pause(),
        }
    }

    /// This process's record.
    fn record(&self, fence: u64) -> Record {
        Record {
            holder: Some(self.holder.clone()),
            fence,
        }
    }

    /// Makes a write the next call.
    fn plan(&mut self, now: Duration, record: Record, when: When) {
        self.plan = Some((record, when));
        self.due = now;
    }

    /// The call that writes `record`.
    fn write(&mut self, now: Duration, record: Record, when: When) -> Call {
        // A record holds nothing that JSON can't say.
        let value = serde_json::to_vec(&record).unwrap_or_default();
        self.open = Some(Open::Write { record, sent: now });
        Call::Put {
            key: self.key.clone(),
            value,
            when,
        }
    }

    /// Takes in that `record` was written.
    fn written(&mut self, now: Duration, record: &Record, sent: Duration, version: u64) {
        if record.holder.is_none() {
            return;
        }
        self.held = Some(Held {
            fence: record.fence,
            until: sent + self.settings.time,
            version,
        });
        self.read = false;
        self.rival = None;
        self.due = now + self.pause();
    }

    /// Takes the stored record in.
    fn found(&mut self, now: Duration, version: u64, record: &Record) {
        match &record.holder {
            None => self.plan(now, self.record(record.fence + 1), When::Version(version)),
            // A write of this process whose answer was lost. When it took effect
            // is unknown, so it counts only once it is renewed.
            Some(holder) if *holder == self.holder => {
                self.plan(now, self.record(record.fence), When::Version(version));
            }
            Some(_) => {
                self.held = None;
                self.wait(now, version, record.fence);
            }
        }
    }

    /// Waits for another holder's time to end.
    fn wait(&mut self, now: Duration, version: u64, fence: u64) {
        let seen = self.rival.filter(|rival| rival.version == version);
        let since = seen.map_or(now, |rival| rival.since);
        self.rival = Some(Rival { version, since });
        let end = since + self.settings.time + self.settings.margin;
        if now >= end {
            self.plan(now, self.record(fence + 1), When::Version(version));
        } else {
            self.due = end.min(now + self.pause());
        }
    }
}
