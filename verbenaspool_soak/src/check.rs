//! What callers and upstreams saw, against what is promised.

use std::{
    cell::RefCell,
    collections::HashMap,
    fmt,
    time::{Duration, Instant},
};

use verbenaspool_platform_standin::process::Crash;

/// How long after a crash all entries know of it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Crashes that a request may still cause from then on.
const MAX_LATE_CRASHES: usize = 3;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// Which one.
    pub promise: &'static str,
    /// The request or entry, and what was seen.
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.what)
    }
}

/// The checks of one run.
#[derive(Debug, Default)]
pub struct Checks {
    /// What was found.
    pub broken: RefCell<Vec<Broken>>,
    /// Requests that callers were told didn't run.
    refused: RefCell<Vec<String>>,
    /// Requests that may run once.
    once: RefCell<Vec<String>>,
    /// The newest version that each process of an entry was seen to use.
    versions: RefCell<HashMap<(usize, u32), u64>>,
    /// Counts by what callers got.
    pub counts: RefCell<HashMap<&'static str, u64>>,
}

impl Checks {
    /// Notes a broken promise.
    pub fn broke(&self, promise: &'static str, what: String) {
        self.broken.borrow_mut().push(Broken { promise, what });
    }

    /// Counts what a caller got.
    pub fn count(&self, what: &'static str) {
        *self.counts.borrow_mut().entry(what).or_default() += 1;
    }

    /// A request that may run once is sent.
    pub fn once(&self, id: &str) {
        self.once.borrow_mut().push(id.to_owned());
    }

    /// A caller was told that its request didn't run and won't.
    pub fn refused(&self, id: &str) {
        self.refused.borrow_mut().push(id.to_owned());
    }

    /// A process of an entry uses a version; whether it serves what only older
    /// versions don't have says `serves`.
    pub fn version(&self, entry: usize, incarnation: u32, version: u64, serves: bool) {
        let mut versions = self.versions.borrow_mut();
        let newest = versions.entry((entry, incarnation)).or_default();
        if serves {
            *newest = (*newest).max(version);
        } else if *newest >= version {
            let what = format!("entry {entry}, process {incarnation}: {version} after {newest}");
            self.broke("never an older configuration", what);
        }
    }

    /// Checks the crashes that requests caused, each under ids that begin alike: after the
    /// third a few may be on their way, and no more than a few follow.
    pub fn settle_crashes(&self, crashes: impl Iterator<Item = Crash>) {
        let mut culprits: HashMap<String, Vec<Instant>> = HashMap::new();
        for crash in crashes {
            let (caller, _) = crash.request_id.split_once('-').unwrap_or_default();
            culprits
                .entry(caller.to_owned())
                .or_default()
                .push(crash.at);
        }
        for (caller, mut times) in culprits {
            times.sort();
            let Some(third) = times.get(2) else {
                continue;
            };
            let late = times.iter().filter(|at| **at > *third + KNOWN_WITHIN);
            if late.count() > MAX_LATE_CRASHES {
                let what = format!("{caller} crashed {} upstreams", times.len());
                self.broke("what crashes upstreams isn't sent on", what);
            }
        }
    }

    /// Checks all requests against what upstreams ran.
    pub fn settle(&self, runs: impl Fn(&str) -> usize) {
        for id in self.once.borrow().iter() {
            if runs(id) > 1 {
                self.broke("at most once", format!("{id} ran {} times", runs(id)));
            }
        }
        for id in self.refused.borrow().iter() {
            if runs(id) > 0 {
                self.broke("refused means not run", format!("{id} ran"));
            }
        }
    }
}
