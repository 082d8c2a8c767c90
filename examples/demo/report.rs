//! Summary of the responses to callers and of the events.

use std::{
    collections::{HashMap, HashSet},
    fmt,
};

use hdrhistogram::Histogram;
use serde::Serialize;
use verbenaspool_protocol::outcome::Outcome;

use crate::{deployment::Deployment, events::Events, groups::RankGroup, traffic::Call};

/// The demo's result.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Requests sent; the sum of the next three.
    requests: usize,
    /// Requests with a complete answer.
    whole: usize,
    /// Requests that were reported as not run.
    not_run: usize,
    /// Requests that may or may not have run, as far as their callers know.
    unknown: usize,
    /// Complete answers with another content than expected.
    wrong_answers: usize,
    /// Writes that ran more than once.
    duplicate_writes: usize,
    /// Writes that ran although they were reported as not run.
    false_not_run: usize,
    /// Longest time until an accepted version was active on all entries.
    config_in_force_ms: f64,
    /// Applies that were rejected with a conflict.
    conflicts: u32,
    /// Upstream instances whose agents were stopped during the traffic.
    left: u32,
    /// Steps run by groups of ranks.
    steps: usize,
    /// Changes of expert maps that became active.
    map_changes: usize,
    /// Groups whose ranks used different maps in a step, repeated a step or returned to an
    /// older map.
    steps_on_mixed_maps: usize,
    /// Median time of complete answers in microseconds.
    p50_us: u64,
    /// 99th percentile of the time of complete answers in microseconds.
    p99_us: u64,
}

impl Report {
    /// Summarises calls and events.
    pub fn new(deployment: &Deployment, calls: &[Call], events: &Events) -> Self {
        let count = |outcome| calls.iter().filter(|call| call.outcome == outcome).count();
        let mut times: Histogram<u64> = Histogram::new(3).expect("three digits are allowed");
        for call in calls.iter().filter(|call| call.outcome == Outcome::Ran) {
            let micros = u64::try_from(call.duration.as_micros()).unwrap_or(u64::MAX);
            times.record(micros).expect("the histogram grows");
        }
        let groups = || deployment.firms.iter().flat_map(|firm| &firm.groups);
        let write_counts = count_writes(deployment);
        let not_run = calls.iter().filter(|call| call.outcome == Outcome::NotRun);
        let not_run_writes: HashSet<_> = not_run.filter_map(|call| call.write.as_ref()).collect();
        Self {
            requests: calls.len(),
            whole: count(Outcome::Ran),
            not_run: count(Outcome::NotRun),
            unknown: count(Outcome::Unknown),
            wrong_answers: calls.iter().filter(|call| call.wrong_answer).count(),
            duplicate_writes: write_counts.values().filter(|&&count| count > 1).count(),
            false_not_run: not_run_writes
                .iter()
                .filter(|write| write_counts.contains_key(**write))
                .count(),
            config_in_force_ms: events.max_activation_time.as_secs_f64() * 1e3,
            conflicts: events.conflicts,
            left: events.left,
            steps: groups().map(RankGroup::steps).sum(),
            map_changes: groups().map(|group| group.check_maps().0).sum(),
            steps_on_mixed_maps: groups().map(|group| group.check_maps().1).sum(),
            p50_us: times.value_at_quantile(0.5),
            p99_us: times.value_at_quantile(0.99),
        }
    }
}

/// Counts how often each write ran.
fn count_writes(deployment: &Deployment) -> HashMap<String, u32> {
    let mut counts = HashMap::new();
    for firm in &deployment.firms {
        for write in firm.journal.writes.borrow().iter() {
            *counts.entry(write.clone()).or_default() += 1;
        }
    }
    counts
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{} requests:", self.requests)?;
        writeln!(f, "  {:>6} got their whole answer", self.whole)?;
        writeln!(
            f,
            "  {:>6} did not run, and the caller was told so",
            self.not_run
        )?;
        writeln!(f, "  {:>6} ended unknown", self.unknown)?;
        writeln!(f, "  {:>6} got a wrong answer", self.wrong_answers)?;
        writeln!(f, "  {:>6} writes ran twice", self.duplicate_writes)?;
        writeln!(
            f,
            "  {:>6} writes ran though the caller was told otherwise",
            self.false_not_run
        )?;
        writeln!(
            f,
            "A version was in force everywhere after {:.1} ms.",
            self.config_in_force_ms
        )?;
        writeln!(
            f,
            "{} applies lost a race; {} instances left.",
            self.conflicts, self.left
        )?;
        writeln!(
            f,
            "{} expert maps changed in {} steps; {} groups ran a step on mixed maps.",
            self.map_changes, self.steps, self.steps_on_mixed_maps
        )?;
        write!(
            f,
            "Answers took {} µs (median), {} µs (99 in 100).",
            self.p50_us, self.p99_us
        )
    }
}
