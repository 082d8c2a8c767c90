//! Checks of what callers and upstreams observed against the guarantees.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    fmt,
    ops::Range,
    time::{Duration, Instant},
};

use verbenaspool_platform_standin::{
    group::Rejection,
    process::Crash,
    upstream::{Arrival, Notice, Upstream},
};

use crate::{caller::SHARING_CALLERS, fault::BACKOFF_TIME, probe::Outdated};

/// Time in which all entries learn of a crash.
const CRASH_SYNC_TIME: Duration = Duration::from_secs(3);

/// Crashes under one request, and under one part of prompts, after which that time begins.
const FIRST_CRASHES: usize = 3;
const FIRST_SHARED_CRASHES: usize = 5;

/// Crashes that a request may still cause after [`CRASH_SYNC_TIME`].
const MAX_LATE_CRASHES: usize = 3;

/// Requests per second that an upstream takes while it limits them.
pub const RATE_LIMIT: f64 = 2.0;

/// Time in which all entries learn of a limit.
const LIMIT_SYNC_TIME: Duration = Duration::from_secs(1);

/// The span in which requests to an upstream with a limit are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);

/// Requests that an upstream gets in the span beyond its limit, as a share of it, and in number.
const MAX_LIMIT_EXCESS: (f64, f64) = (0.5, 5.0);

/// Requests that an entry which has just started sends before an answer names the limit.
const REQUESTS_OF_A_START: usize = 8;

/// How long after an upstream's notice requests may still arrive that were on their way.
const BACKOFF_NOTICE_TIME: Duration = Duration::from_millis(500);

/// Requests of an entry that may arrive after that, before the upstream's backoff ends.
const MAX_BACKOFF_REQUESTS: usize = 2;

/// How long after the notice that an upstream is leaving callers' requests may still arrive there.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// How long no caller may get a complete answer. The longest fault of all entries lasts half of that.
const MAX_TIME_WITHOUT_ANSWER: Duration = Duration::from_secs(8);

/// Number of requests of a customer from which the part that was answered is compared.
const MIN_CUSTOMER_REQUESTS: u32 = 40;

/// The part of a customer's requests that is answered, at least, as a share of that of all customers'
/// requests.
const MIN_CUSTOMER_SHARE: f64 = 0.5;

/// How long an entry that was interrupted, or whose path to the store or an upstream was, may be
/// late, and how long the store's answers before a change must have been sound.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The guarantee.
    pub guarantee: &'static str,
    /// The request or entry, and the observation.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.details)
    }
}

/// Observations and violations of one run.
#[derive(Debug, Default)]
pub struct Checks {
    /// Violations in order of detection.
    pub violations: RefCell<Vec<Violation>>,
    /// Requests that were reported to callers as not run.
    not_run: RefCell<Vec<String>>,
    /// Requests that may run at most once.
    at_most_once: RefCell<Vec<String>>,
    /// Newest version observed by entry and incarnation.
    served_versions: RefCell<HashMap<(usize, u32), u64>>,
    /// When the store accepted each version of the configuration.
    pub accepted_versions: RefCell<HashMap<u64, Instant>>,
    /// Answers by an older configuration than the newest one.
    pub outdated_answers: RefCell<Vec<Outdated>>,
    /// When an entry was signalled: it may have lost what it knew, or be late.
    pub entry_signals: RefCell<Vec<Instant>>,
    /// The entry to which each request was sent, and when.
    sent: RefCell<HashMap<String, (usize, Instant)>>,
    /// The entries that were signalled or started again, and when.
    interruptions: RefCell<Vec<(usize, Instant)>>,
    /// When an entry's path to the store was cut off or harmed.
    store_cuts: RefCell<Vec<(usize, Range<Instant>)>>,
    /// When the store didn't answer.
    pub store_outages: RefCell<Vec<Range<Instant>>>,
    /// The same of agents.
    agent_interruptions: RefCell<Vec<(usize, Instant)>>,
    /// When callers got complete answers.
    answers: RefCell<Vec<Instant>>,
    /// Requests of each competing customer, and those that were answered.
    customers: RefCell<HashMap<usize, (u32, u32)>>,
    /// The largest resident memory of an entry, in kilobytes.
    pub most_resident_kb: Cell<u64>,
    /// Counts by result, such as whole or late responses.
    pub counts: RefCell<HashMap<&'static str, u64>>,
}

impl Checks {
    /// Records a violation of a guarantee.
    pub fn record_violation(&self, guarantee: &'static str, details: String) {
        self.violations
            .borrow_mut()
            .push(Violation { guarantee, details });
    }

    /// Counts a caller's result.
    pub fn count(&self, result: &'static str) {
        *self.counts.borrow_mut().entry(result).or_default() += 1;
        if result == "whole" {
            self.answers.borrow_mut().push(Instant::now());
        }
    }

    /// Records a request of a competing customer and whether it was answered.
    pub fn record_customer(&self, customer: usize, answered: bool) {
        let mut customers = self.customers.borrow_mut();
        let (sent, served) = customers.entry(customer).or_default();
        *sent += 1;
        *served += u32::from(answered);
    }

    /// Checks that the least-served of the competing customers gets nearly as much as the others.
    pub fn check_customers(&self) {
        let customers = self.customers.borrow();
        let (sent, served) = customers
            .values()
            .fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
        let share = |(sent, served): (u32, u32)| f64::from(served) / f64::from(sent.max(1));
        let expected = MIN_CUSTOMER_SHARE * share((sent, served));
        for (customer, counts) in customers.iter() {
            if counts.0 >= MIN_CUSTOMER_REQUESTS && share(*counts) < expected {
                let details = format!(
                    "customer {customer} got {} of {}, all got {served} of {sent}",
                    counts.1, counts.0
                );
                self.record_violation("no customer is left behind", details);
            }
        }
        let least = customers.values().map(|counts| share(*counts));
        let least = least.fold(1.0, f64::min);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // From 0 to 100.
        let percent = (least * 100.0) as u64;
        let mut counts = self.counts.borrow_mut();
        counts.insert("% of the least-served customer", percent);
    }

    /// Checks that callers got complete answers throughout the run.
    pub fn check_progress(&self, run: &Range<Instant>) {
        let answers = self.answers.borrow();
        let during = answers.iter().copied().filter(|at| run.contains(at));
        let mut last = run.start;
        for at in during.chain([run.end]) {
            if at.saturating_duration_since(last) > MAX_TIME_WITHOUT_ANSWER {
                let details = format!("no answer for {:?}", at - last);
                self.record_violation("callers are served throughout", details);
            }
            last = at;
        }
    }

    /// Checks the resident memory of an entry against that of its instance.
    pub fn check_memory(&self, entry: usize, resident_kb: u64, instance_kb: u64) {
        let most = self.most_resident_kb.get().max(resident_kb);
        self.most_resident_kb.set(most);
        if resident_kb > instance_kb {
            let details = format!("entry {entry} has {resident_kb} kB");
            self.record_violation("the instance's memory suffices", details);
        }
    }

    /// Records a request that may run at most once.
    pub fn record_at_most_once(&self, id: &str) {
        self.at_most_once.borrow_mut().push(id.to_owned());
    }

    /// Records a request that was reported as not run.
    pub fn record_not_run(&self, id: &str) {
        self.not_run.borrow_mut().push(id.to_owned());
    }

    /// Records whether a process of an entry has the route of `version` (`found`), and
    /// checks that it never goes back to an older version.
    pub fn record_version(&self, entry: usize, incarnation: u32, version: u64, found: bool) {
        let mut versions = self.served_versions.borrow_mut();
        let newest = versions.entry((entry, incarnation)).or_default();
        if found {
            *newest = (*newest).max(version);
        } else if *newest >= version {
            let details = format!("entry {entry}, process {incarnation}: {version} after {newest}");
            self.record_violation("never an older configuration", details);
        }
    }

    /// Checks that entries stop sending a request that crashes upstreams: from
    /// `CRASH_SYNC_TIME` after its third crash on, only the few attempts in flight may crash
    /// more. Ids of the same request share the part before the hyphen. Requests that have only a
    /// part of their prompts in common are allowed two crashes more before that.
    pub fn check_crashes(&self, crashes: impl Iterator<Item = Crash>) {
        let mut crash_times: HashMap<String, Vec<Instant>> = HashMap::new();
        for crash in crashes {
            let (caller, _) = crash.request_id.split_once('-').unwrap_or_default();
            crash_times
                .entry(caller.to_owned())
                .or_default()
                .push(crash.at);
        }
        for (caller, mut times) in crash_times {
            times.sort();
            let shared = caller == SHARING_CALLERS;
            let first = if shared {
                FIRST_SHARED_CRASHES
            } else {
                FIRST_CRASHES
            };
            let Some(recognized) = times.get(first - 1) else {
                continue;
            };
            let late = times
                .iter()
                .filter(|at| **at > *recognized + CRASH_SYNC_TIME);
            if late.count() > MAX_LATE_CRASHES {
                let details = format!("{caller} crashed {} upstreams", times.len());
                self.record_violation("what crashes upstreams isn't sent on", details);
            }
        }
    }

    /// Checks that entries together keep to the limit that an upstream names during a period.
    pub fn check_limit(&self, upstream: &Upstream, period: &Range<Instant>) {
        let counted = period.start + LIMIT_SYNC_TIME..period.end;
        let most = upstream.most_arrivals(&counted, LIMIT_SPAN);
        let (ratio, number) = MAX_LIMIT_EXCESS;
        let allowed = (1.0 + ratio) * RATE_LIMIT * LIMIT_SPAN.as_secs_f64() + number;
        let signals = self.entry_signals.borrow();
        let starts = signals.iter().filter(|at| period.contains(*at)).count();
        let excused = starts * REQUESTS_OF_A_START;
        let most_counted = u32::try_from(most.saturating_sub(excused)).unwrap_or(u32::MAX);
        if f64::from(most_counted) > allowed {
            let details = format!(
                "{} got {most} requests in {LIMIT_SPAN:?}, {starts} entries were signalled",
                upstream.id
            );
            self.record_violation("no more requests than an upstream takes", details);
        }
        self.count("limits");
    }

    /// Records that a request was sent to an entry.
    pub fn record_sent(&self, id: &str, entry: usize, at: Instant) {
        self.sent.borrow_mut().insert(id.to_owned(), (entry, at));
    }

    /// Records that an entry was signalled or started again, and may have lost what it knew.
    pub fn record_interruption(&self, entry: usize) {
        let mut interruptions = self.interruptions.borrow_mut();
        interruptions.push((entry, Instant::now()));
    }

    /// Records that an entry's path to the store is cut off or harmed for some time from now on.
    pub fn record_store_cut(&self, entry: usize, duration: Duration) {
        let now = Instant::now();
        self.store_cuts
            .borrow_mut()
            .push((entry, now..now + duration));
    }

    /// Records that the store doesn't answer for some time from now on.
    pub fn record_store_outage(&self, duration: Duration) {
        let now = Instant::now();
        self.store_outages.borrow_mut().push(now..now + duration);
    }

    /// Records that an agent was signalled or started again.
    pub fn record_agent_interruption(&self, agent: usize) {
        let mut interruptions = self.agent_interruptions.borrow_mut();
        interruptions.push((agent, Instant::now()));
    }

    /// Checks that an agent reads nothing from its rank before the rank's backoff ends, unless the
    /// agent was interrupted.
    pub fn check_reads(&self, agent: usize, rejections: &[Rejection]) {
        let interruptions = self.agent_interruptions.borrow();
        let reads = || rejections.iter().filter(|rejection| rejection.is_read);
        for read in reads() {
            let period = read.at..read.at + BACKOFF_TIME;
            if interruptions
                .iter()
                .any(|(other, at)| *other == agent && period.contains(at))
            {
                continue;
            }
            let counted = period.start + BACKOFF_NOTICE_TIME..period.end;
            let late = reads().filter(|other| counted.contains(&other.at)).count();
            if late > MAX_BACKOFF_REQUESTS {
                let details = format!("rank {agent} got {late} reads");
                self.record_violation("no reads before a backoff ends", details);
            }
            self.count("rejected reads");
        }
    }

    /// Checks that each entry did as the answers of an upstream asked, unless the entry was
    /// interrupted or the answers may have been lost.
    pub fn check_notices(
        &self,
        upstream: &Upstream,
        restarts: &[Instant],
        cut_until: Option<Instant>,
    ) {
        for noticed in upstream.journal.borrow().iter() {
            let maybe_lost = cut_until.is_some_and(|cut| cut >= noticed.at);
            let Some(notice) = noticed.notice.filter(|_| !maybe_lost) else {
                continue;
            };
            let Some(&(entry, _)) = self.sent.borrow().get(&noticed.id) else {
                continue;
            };
            let until = match notice {
                Notice::Backoff(time) => noticed.at + time,
                Notice::Leaving => {
                    let restart = restarts.iter().find(|at| **at > noticed.at);
                    restart.copied().unwrap_or_else(Instant::now)
                }
            };
            let until = self.first_interruption(entry, &(noticed.at..until));
            let late = self.count_late(upstream, entry, notice, &(noticed.at..until));
            let (allowed, guarantee) = match notice {
                Notice::Backoff(_) => (MAX_BACKOFF_REQUESTS, "no requests before a backoff ends"),
                Notice::Leaving => (0, "no new requests to an upstream that is leaving"),
            };
            if late > allowed {
                let details = format!("{} got {late} requests of entry {entry}", upstream.id);
                self.record_violation(guarantee, details);
            }
            self.count("notices");
        }
    }

    /// Checks that an upstream gets no requests later than [`DRAIN_TIME`] after the store accepted
    /// that it is leaving, until it starts again, unless the store failed just before that, or the
    /// entry or its paths were disturbed.
    pub fn check_departures(
        &self,
        upstream: &Upstream,
        departures: &[Instant],
        restarts: &[Instant],
        cut_until: Option<Instant>,
    ) {
        let journal = upstream.journal.borrow();
        for &left_at in departures {
            let outages = self.store_outages.borrow();
            let mut outages = outages.iter();
            if outages.any(|outage| is_disturbed(outage, left_at)) {
                continue;
            }
            let back_at = restarts.iter().find(|at| **at > left_at);
            self.record_last_request(left_at, back_at, &journal);
            let late = journal.iter().filter(|arrival| {
                let until = cut_until.map_or(left_at, |cut| cut + STABLE_TIME);
                arrival.at > (left_at + DRAIN_TIME).max(until)
                    && back_at.is_none_or(|back_at| arrival.at < *back_at)
            });
            let late = late.filter_map(|arrival| {
                let (entry, _) = *self.sent.borrow().get(&arrival.id)?;
                (!self.is_entry_disturbed(entry, arrival.at)).then_some((entry, arrival))
            });
            let late: Vec<_> = late.collect();
            if let Some((_, first)) = late.first() {
                let entries: BTreeSet<usize> = late.iter().map(|(entry, _)| *entry).collect();
                let details = format!(
                    "{} got {} requests of entries {entries:?}, {} first, {:?} after it left",
                    upstream.id,
                    late.len(),
                    first.id,
                    first.at - left_at,
                );
                self.record_violation("no requests to an upstream that has left", details);
            }
            self.count("departures");
        }
    }

    /// Records how long after it left an upstream got its last request, if that is longer than for any
    /// other. Requests of disturbed entries don't count.
    fn record_last_request(
        &self,
        left_at: Instant,
        back_at: Option<&Instant>,
        journal: &[Arrival],
    ) {
        let is_counted = |arrival: &&Arrival| {
            let is_between = arrival.at > left_at && back_at.is_none_or(|at| arrival.at < *at);
            let sent = self.sent.borrow().get(&arrival.id).copied();
            is_between && sent.is_some_and(|(entry, _)| !self.is_entry_disturbed(entry, arrival.at))
        };
        let last = journal.iter().filter(is_counted).map(|arrival| arrival.at);
        let Some(last) = last.max() else {
            return;
        };
        let after_ms = u64::try_from((last - left_at).as_millis()).unwrap_or(u64::MAX);
        let mut counts = self.counts.borrow_mut();
        let longest = counts.entry("ms until the last request after a departure");
        let longest = longest.or_default();
        *longest = after_ms.max(*longest);
    }

    /// Whether an entry was interrupted within [`STABLE_TIME`] before a moment, or its path to the
    /// store disturbed.
    fn is_entry_disturbed(&self, entry: usize, at: Instant) -> bool {
        let interruptions = self.interruptions.borrow();
        let mut interruptions = interruptions.iter().filter(|(other, _)| *other == entry);
        let cuts = self.store_cuts.borrow();
        let mut cuts = cuts.iter().filter(|(other, _)| *other == entry);
        interruptions
            .any(|(_, interrupted)| (*interrupted..*interrupted + STABLE_TIME).contains(&at))
            || cuts.any(|(_, cut)| is_disturbed(cut, at))
    }

    /// Whether an entry, its path to the store or the store itself was disturbed within [`STABLE_TIME`]
    /// before a moment.
    pub fn is_disturbed_at(&self, entry: usize, at: Instant) -> bool {
        let outages = self.store_outages.borrow();
        let mut outages = outages.iter();
        outages.any(|outage| is_disturbed(outage, at)) || self.is_entry_disturbed(entry, at)
    }

    /// When an entry was first interrupted in a period, or the end of the period.
    fn first_interruption(&self, entry: usize, period: &Range<Instant>) -> Instant {
        let interruptions = self.interruptions.borrow();
        let mut own = interruptions.iter().filter(|(other, _)| *other == entry);
        let first = own.find(|(_, at)| period.contains(at));
        first.map_or(period.end, |(_, at)| *at)
    }

    /// Number of requests of an entry that arrived at an upstream too late after a notice, which
    /// was given at the start of the period.
    fn count_late(
        &self,
        upstream: &Upstream,
        entry: usize,
        notice: Notice,
        period: &Range<Instant>,
    ) -> usize {
        let (sent, journal) = (self.sent.borrow(), upstream.journal.borrow());
        let is_late = |arrival: &&Arrival| {
            let own = sent.get(&arrival.id).filter(|(other, _)| *other == entry);
            own.is_some_and(|(_, sent_at)| match notice {
                Notice::Backoff(_) => arrival.at > period.start + BACKOFF_NOTICE_TIME,
                Notice::Leaving => *sent_at > period.start + DRAIN_TIME,
            })
        };
        let arrivals = journal.iter().filter(|arrival| arrival.at < period.end);
        arrivals.filter(is_late).count()
    }

    /// Checks the recorded requests against how often upstreams ran them.
    pub fn check_runs(&self, run_count: impl Fn(&str) -> usize) {
        for id in self.at_most_once.borrow().iter() {
            if run_count(id) > 1 {
                self.record_violation("at most once", format!("{id} ran {} times", run_count(id)));
            }
        }
        for id in self.not_run.borrow().iter() {
            if run_count(id) > 0 {
                self.record_violation("refused means not run", format!("{id} ran"));
            }
        }
    }
}

/// Whether a moment is in a disturbance or within [`STABLE_TIME`] after it.
fn is_disturbed(disturbance: &Range<Instant>, at: Instant) -> bool {
    (disturbance.start..disturbance.end + STABLE_TIME).contains(&at)
}
