//! What callers and upstreams saw, against what is promised.

use std::{
    cell::RefCell,
    collections::HashMap,
    fmt,
    time::{Duration, Instant},
};

use verbenaspool_platform_standin::process::Crash;

/// How long after a crash all entries know of it.
const CRASH_SYNC_TIME: Duration = Duration::from_secs(3);

/// Crashes that a request may still cause from then on.
const MAX_LATE_CRASHES: usize = 3;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which one.
    pub guarantee: &'static str,
    /// The request or entry, and what was seen.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.details)
    }
}

/// The checks of one run.
#[derive(Debug, Default)]
pub struct Checks {
    /// What was found.
    pub violations: RefCell<Vec<Violation>>,
    /// Requests that callers were told didn't run.
    not_run: RefCell<Vec<String>>,
    /// Requests that may run once.
    at_most_once: RefCell<Vec<String>>,
    /// The newest version that each process of an entry was seen to use.
    served_versions: RefCell<HashMap<(usize, u32), u64>>,
    /// Counts by what callers got.
    pub counts: RefCell<HashMap<&'static str, u64>>,
}

impl Checks {
    /// Notes a broken promise.
    pub fn record_violation(&self, guarantee: &'static str, details: String) {
        self.violations
            .borrow_mut()
            .push(Violation { guarantee, details });
    }

    /// Counts what a caller got.
    pub fn count(&self, result: &'static str) {
        *self.counts.borrow_mut().entry(result).or_default() += 1;
    }

    /// A request that may run once is sent.
    pub fn record_at_most_once(&self, id: &str) {
        self.at_most_once.borrow_mut().push(id.to_owned());
    }

    /// A caller was told that its request didn't run and won't.
    pub fn record_not_run(&self, id: &str) {
        self.not_run.borrow_mut().push(id.to_owned());
    }

    /// A process of an entry uses a version; whether it serves what only older
    /// versions don't have says `serves`.
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

    /// Checks the crashes that requests caused, each under ids that begin alike: after the
    /// third a few may be on their way, and no more than a few follow.
    pub fn check_crashes(&self, crashes: impl Iterator<Item = Crash>) {
        let mut crash_times: HashMap<String, Vec<Instant>> = HashMap::new();
        for crash in crashes {
            let (caller, _) = crash.request.split_once('-').unwrap_or_default();
            crash_times
                .entry(caller.to_owned())
                .or_default()
                .push(crash.at);
        }
        for (caller, mut times) in crash_times {
            times.sort();
            let Some(third) = times.get(2) else {
                continue;
            };
            let late = times.iter().filter(|at| **at > *third + CRASH_SYNC_TIME);
            if late.count() > MAX_LATE_CRASHES {
                let details = format!("{caller} crashed {} upstreams", times.len());
                self.record_violation("what crashes upstreams isn't sent on", details);
            }
        }
    }

    /// Checks all requests against what upstreams ran.
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
