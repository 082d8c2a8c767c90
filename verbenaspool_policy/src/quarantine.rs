//! Quarantine of requests that crash upstreams.
//!
//! A request may crash every upstream that runs it. Its caller retries it, entries resume
//! it elsewhere, and each attempt takes down an upstream and stalls the group of its rank.
//! No single attempt observes more than one crash, so crashes are counted by the request's
//! fingerprint, over all entries. Requests that are different may do the same because of one
//! part of their prompts; [`attribution`] finds that part, which is then rejected with all
//! requests that have it.

mod attribution;
mod runs;
mod subject;

use std::{collections::HashMap, time::Duration};

use verbenaspool_state::fingerprint::Fingerprint;

use self::attribution::{Attribution, Standing};
pub use self::{
    attribution::{Candidate, MAX_CANDIDATES, SETTLE_TIME, Sighting},
    subject::Subject,
};

/// The most requests that are tracked. A crash adds all requests of one upstream.
const MAX_RECORDS: usize = 4_096;

/// Crashes of one upstream within this time are the same crash, observed by several
/// entries.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// An upstream that has answered a request for this long is unlikely to crash because of
/// it.
pub const EARLY_CRASH_TIME: Duration = Duration::from_millis(500);

/// The limits set by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Number of crashes after which a request is rejected; 0 for never.
    pub crash_threshold: usize,
    /// How long a request is rejected, and how long a crash counts.
    pub duration: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            crash_threshold: 2,
            duration: Duration::from_mins(10),
        }
    }
}

/// A crash of an upstream during a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the upstream's incarnation.
    pub upstream: u32,
    /// When it crashed.
    pub at: Duration,
    /// Whether the upstream hadn't started to answer, or only just had.
    pub early: bool,
}

impl Crash {
    /// A crash at `now` of an upstream that had been answering for `answered_for`, or not at
    /// all.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::quarantine::Crash;
    ///
    /// assert!(Crash::new(Duration::ZERO, 1, None).early);
    /// assert!(!Crash::new(Duration::ZERO, 1, Some(Duration::from_secs(3))).early);
    /// ```
    #[must_use]
    pub fn new(now: Duration, upstream: u32, answered_for: Option<Duration>) -> Self {
        Self {
            upstream,
            at: now,
            early: answered_for.is_none_or(|duration| duration < EARLY_CRASH_TIME),
        }
    }
}

/// Who observed a crash or a success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observer {
    /// This entry.
    Own,
    /// Another entry, which reports it to all entries itself.
    Peer,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It is sent like any other.
    Clear,
    /// An upstream crashed soon after it got the request, which may be the cause.
    Suspect,
    /// It is rejected for the remaining time given.
    Quarantined(Duration),
}

/// A period in which a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// When it began.
    pub since: Duration,
    /// When it ends.
    pub until: Duration,
}

/// The crashes and successes of one request.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Crashes since its last success that still count.
    pub crashes: Vec<Crash>,
    /// The period in which it is rejected.
    pub term: Option<Term>,
    /// Its last success since the first crash.
    pub succeeded_at: Option<Duration>,
    /// When the record last changed.
    changed_at: Duration,
    /// When this entry last observed a crash or success itself.
    observed_at: Option<Duration>,
}

impl Record {
    /// The period in which it is rejected, unless that has ended.
    #[must_use]
    pub fn current_term(&self, now: Duration) -> Option<Term> {
        self.term.filter(|term| now < term.until)
    }

    /// Marks the record as changed.
    fn change(&mut self, now: Duration, observer: Observer) {
        self.changed_at = now;
        if observer == Observer::Own {
            self.observed_at = Some(now);
        }
    }

    /// Clears the record of what happened until a success at `at`.
    fn succeed(&mut self, now: Duration, at: Duration, observer: Observer) {
        self.succeeded_at = Some(at);
        self.change(now, observer);
        self.crashes.retain(|crash| crash.at > at);
        self.term = self.term.filter(|term| term.since > at);
    }

    /// Whether a success at or after `at` makes crashes until then irrelevant.
    fn is_cleared(&self, at: Duration) -> bool {
        self.succeeded_at
            .is_some_and(|succeeded_at| at <= succeeded_at)
    }
}

/// Requests during which upstreams crashed, and parts of prompts that crash them.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// By the fingerprint of the request or the part.
    records: HashMap<Fingerprint, Record>,
    attribution: Attribution,
}

impl Quarantine {
    /// Whether a request may be sent, judged by itself and by the parts of its prompt.
    #[must_use]
    pub fn subject_status(&self, now: Duration, subject: &Subject) -> Status {
        let mut status = self.status(now, subject.request);
        for part in &subject.parts {
            for key in [*part, part.of_customer(subject.customer)] {
                if let Some(term) = self.current_term(now, key) {
                    return Status::Quarantined(term.until.saturating_sub(now));
                }
            }
            if status == Status::Clear
                && self
                    .attribution
                    .is_suspect(now, *part, |key| self.current_term(now, key).is_some())
            {
                status = Status::Suspect;
            }
        }
        status
    }

    /// Whether a request may be sent, judged by itself.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::quarantine::{Crash, Limits, Observer, Quarantine, Status};
    /// use verbenaspool_state::fingerprint::Fingerprint;
    ///
    /// let request = Fingerprint::of(None, "/", b"");
    /// let limits = Limits { crash_threshold: 2, duration: Duration::from_secs(60) };
    /// let mut quarantine = Quarantine::default();
    /// for upstream in [1, 2] {
    ///     let crash = Crash::new(Duration::ZERO, upstream, None);
    ///     quarantine.record_crash(Duration::ZERO, request, crash, Observer::Own, &limits);
    /// }
    /// let status = quarantine.status(Duration::from_secs(20), request);
    /// assert_eq!(status, Status::Quarantined(Duration::from_secs(40)));
    /// ```
    #[must_use]
    pub fn status(&self, now: Duration, request: Fingerprint) -> Status {
        let Some(record) = self.records.get(&request) else {
            return Status::Clear;
        };
        match record.current_term(now) {
            Some(term) => Status::Quarantined(term.until.saturating_sub(now)),
            None if record
                .crashes
                .iter()
                .any(|c| c.early && !self.is_explained(now, c)) =>
            {
                Status::Suspect
            }
            None => Status::Clear,
        }
    }

    /// Whether a crash is attributed to a quarantined part.
    fn is_explained(&self, now: Duration, crash: &Crash) -> bool {
        let is_blamed = |key| self.current_term(now, key).is_some();
        self.attribution
            .is_explained(crash.upstream, crash.at, is_blamed)
    }

    /// The period in which a request or a part is rejected, if it is now.
    fn current_term(&self, now: Duration, key: Fingerprint) -> Option<Term> {
        self.records.get(&key)?.current_term(now)
    }

    /// Records a crash of an upstream that had a request of this entry; `written` tells whether
    /// it had written a part of the answer. Returns whether a quarantine of the request begins.
    pub fn record_interruption(
        &mut self,
        now: Duration,
        subject: &Subject,
        crash: Crash,
        written: bool,
        limits: &Limits,
    ) -> bool {
        if !written {
            self.attribution
                .record_suspect(now, crash.upstream, crash.at, subject);
        }
        self.record_crash(now, subject.request, crash, Observer::Own, limits)
    }

    /// Records a crash as reported by the upstream's agent, with the requests for which the
    /// upstream hadn't written anything. A later report of the crash replaces this one.
    pub fn record_agent_report(
        &mut self,
        now: Duration,
        upstream: u32,
        at: Duration,
        suspects: &[Subject],
    ) {
        let sighting = self.attribution.sighting(now, suspects);
        self.record_sighting(upstream, at, upstream, sighting);
    }

    /// Records what another entry, given by a hash, saw of a crash.
    pub fn record_sighting(
        &mut self,
        upstream: u32,
        at: Duration,
        reporter: u32,
        sighting: Sighting,
    ) {
        self.attribution
            .record_sighting(upstream, at, reporter, sighting);
    }

    /// What this entry itself saw of crashes since `since`: the upstream, the time of the crash
    /// and the sighting.
    pub fn own_sightings(
        &self,
        since: Duration,
    ) -> impl Iterator<Item = (u32, Duration, &Sighting)> {
        self.attribution.own_sightings(since)
    }

    /// Quarantines the parts that crashes are attributed to, and returns them. To be called
    /// [`SETTLE_TIME`] after each crash.
    pub fn blame_parts(&mut self, now: Duration, limits: &Limits) -> Vec<Fingerprint> {
        if limits.crash_threshold == 0 || self.attribution.is_empty() {
            return Vec::new();
        }
        self.expire(now, limits.duration);
        let records = &self.records;
        let standing = |key: Fingerprint| {
            let term = records.get(&key).and_then(|record| record.term);
            term.map_or(Standing::Clear, |term| {
                if now < term.until {
                    Standing::Blamed
                } else {
                    Standing::BlamedBefore
                }
            })
        };
        let culprits = self.attribution.culprits(now, limits.duration, standing);
        for culprit in &culprits {
            let record = self.records.entry(culprit.key).or_default();
            record.term = Some(Term {
                since: culprit.crashed_at,
                until: now + limits.duration,
            });
            record.change(now, Observer::Own);
        }
        self.evict_oldest(now);
        culprits.into_iter().map(|culprit| culprit.key).collect()
    }

    /// Records a run of this entry that started at `started_at` and that the upstream survived,
    /// so that the parts of its prompt aren't the cause of earlier crashes. Returns whether that
    /// changes what is known of any of them.
    pub fn record_run(&mut self, now: Duration, subject: &Subject, started_at: Duration) -> bool {
        let cleared = self.attribution.record_run(now, subject, started_at);
        let mut changed = false;
        for part in cleared {
            // Other entries learn of it by the record. Runs with common parts they have themselves.
            if self.attribution.is_rare(now, subject.service, part) {
                let record = self.records.entry(part).or_default();
                record.succeed(now, started_at, Observer::Own);
                changed = true;
            }
        }
        for part in &subject.parts {
            for key in [*part, part.of_customer(subject.customer)] {
                changed |= self.record_success(now, key, started_at, Observer::Own);
            }
        }
        self.evict_oldest(now);
        changed
    }

    /// Records a crash. Returns whether a quarantine of the request begins.
    pub fn record_crash(
        &mut self,
        now: Duration,
        request: Fingerprint,
        crash: Crash,
        observer: Observer,
        limits: &Limits,
    ) -> bool {
        self.expire(now, limits.duration);
        let record = self.records.entry(request).or_default();
        let is_same = |other: &Crash| {
            other.upstream == crash.upstream && other.at.abs_diff(crash.at) < SAME_CRASH_WINDOW
        };
        if record.is_cleared(crash.at) || record.crashes.iter().any(is_same) {
            return false;
        }
        record.crashes.push(crash);
        record.change(now, observer);
        let reached = limits.crash_threshold > 0 && record.crashes.len() >= limits.crash_threshold;
        let begins = reached && record.current_term(now).is_none();
        if begins {
            record.term = Some(Term {
                since: now,
                until: now + limits.duration,
            });
        }
        self.evict_oldest(now);
        begins
    }

    /// Records a quarantine set by another entry, or before this process started. Returns
    /// whether it is new.
    pub fn record_term(&mut self, now: Duration, request: Fingerprint, term: Term) -> bool {
        let known = self.records.get(&request);
        let is_known =
            |record: &Record| record.is_cleared(term.since) || record.current_term(now).is_some();
        if now >= term.until || known.is_some_and(is_known) {
            return false;
        }
        let record = self.records.entry(request).or_default();
        record.term = Some(term);
        record.change(now, Observer::Peer);
        self.evict_oldest(now);
        true
    }

    /// Records that a request, or a run with a part, succeeded at `at`, so that it isn't the cause
    /// of earlier crashes. Returns whether that changes the record.
    pub fn record_success(
        &mut self,
        now: Duration,
        request: Fingerprint,
        at: Duration,
        observer: Observer,
    ) -> bool {
        self.attribution.record_sound(request, at);
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        let counts = !record.crashes.is_empty() || record.term.is_some();
        if !counts || record.is_cleared(at) {
            return false;
        }
        record.succeed(now, at, observer);
        true
    }

    /// The requests in quarantine.
    pub fn quarantined(&self, now: Duration) -> impl Iterator<Item = (Fingerprint, Term)> {
        let records = self.records.iter();
        records.filter_map(move |(request, record)| Some((*request, record.current_term(now)?)))
    }

    /// The records of what this entry itself has observed since `since`.
    pub fn observed_since(&self, since: Duration) -> impl Iterator<Item = (Fingerprint, &Record)> {
        let records = self.records.iter();
        let observed = records.filter(move |(_, r)| r.observed_at.is_some_and(|at| at >= since));
        observed.map(|(request, record)| (*request, record))
    }

    /// Drops crashes and records that no longer count. A period in which a request was rejected
    /// counts for as long again.
    fn expire(&mut self, now: Duration, duration: Duration) {
        self.records.retain(|_, record| {
            let counts = |at: Duration| now.saturating_sub(at) < duration;
            record.crashes.retain(|crash| counts(crash.at));
            record.term.is_some_and(|term| counts(term.until))
                || !record.crashes.is_empty()
                || counts(record.changed_at)
        });
    }

    /// Drops the oldest records beyond [`MAX_RECORDS`], those of rejected requests last.
    fn evict_oldest(&mut self, now: Duration) {
        while self.records.len() > MAX_RECORDS {
            let records = self.records.iter();
            let oldest = records
                .min_by_key(|(_, record)| (record.current_term(now).is_some(), record.changed_at));
            let Some(request) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.records.remove(&request);
        }
    }
}

#[cfg(test)]
mod tests;
