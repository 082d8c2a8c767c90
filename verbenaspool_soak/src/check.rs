//! Checks of what callers and upstreams observed against the guarantees.

use std::{
    cell::RefCell,
    collections::HashMap,
    fmt,
    time::{Duration, Instant},
};

use verbenaspool_platform_standin::process::Crash;

/// Time in which all entries learn of a crash.
const CRASH_SYNC_TIME: Duration = Duration::from_secs(3);

/// Crashes that a request may still cause after [`CRASH_SYNC_TIME`].
const MAX_LATE_CRASHES: usize = 3;

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
    /// more. Ids of the same request share the part before the hyphen.
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
