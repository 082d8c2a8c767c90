//! What callers got.

use std::time::Duration;

use super::{
    case::{CUSTOMERS, Case},
    job::Job,
};

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Score {
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Work done in time as a part of what the upstreams could do.
    pub goodput: f64,
    /// Jain's index over what each customer got of its fair part.
    pub fairness: f64,
    /// Requests answered in time as a part of all.
    pub deadlines_met: f64,
    pub ns_per_decision: f64,
    /// Starts outside the entry's zone as a part of all.
    pub crossed: f64,
    /// Attempts started as a part of requests.
    pub attempts: f64,
    /// Times asked as a part of requests.
    pub asked: f64,
}

/// Scores the jobs by when each was answered, if it was.
pub fn score(case: &Case, jobs: &[Job], answered: &[Option<Duration>]) -> Score {
    let in_time = |i: usize| answered[i].is_some_and(|at| at <= jobs[i].deadline);
    let met = (0..jobs.len()).filter(|&i| in_time(i)).count();
    let mut waits: Vec<f64> = (0..jobs.len())
        .filter(|&i| in_time(i))
        .filter_map(|i| Some(answered[i]?.saturating_sub(jobs[i].at).as_secs_f64() * 1e3))
        .collect();
    waits.sort_unstable_by(f64::total_cmp);
    let quantile = |q: f64| {
        waits
            .get((waits.len() as f64 * q) as usize)
            .copied()
            .unwrap_or(f64::NAN)
    };
    let possible: f64 = (0..case.seconds * 10)
        .map(|tenth| case.capacity_at(Duration::from_millis(tenth * 100)) / 10.0)
        .sum();
    let good: f64 = (0..jobs.len())
        .filter(|&i| in_time(i))
        .map(|i| jobs[i].work(true))
        .sum();
    Score {
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        goodput: good / possible,
        fairness: fairness(jobs, &in_time, possible),
        deadlines_met: met as f64 / jobs.len() as f64,
        ..Score::default()
    }
}

/// Jain's index over each customer's work in time, as a part of its fair part
/// of the capacity: what it asked for, or an even share of what others leave.
fn fairness(jobs: &[Job], in_time: &dyn Fn(usize) -> bool, possible: f64) -> f64 {
    let mut asked = [0.0; CUSTOMERS];
    let mut got = [0.0; CUSTOMERS];
    for (i, job) in jobs.iter().enumerate() {
        asked[job.customer] += job.work(true);
        got[job.customer] += if in_time(i) { job.work(true) } else { 0.0 };
    }
    let fair = fair_parts(&asked, possible);
    let parts: Vec<f64> = (0..CUSTOMERS)
        .map(|c| (got[c] / fair[c]).min(1.0))
        .collect();
    let sum: f64 = parts.iter().sum();
    let squares: f64 = parts.iter().map(|p| p * p).sum();
    if squares == 0.0 {
        0.0
    } else {
        sum * sum / (CUSTOMERS as f64 * squares)
    }
}

/// The max-min fair parts of a capacity.
fn fair_parts(asked: &[f64; CUSTOMERS], capacity: f64) -> [f64; CUSTOMERS] {
    let mut order: Vec<usize> = (0..CUSTOMERS).collect();
    order.sort_unstable_by(|&a, &b| asked[a].total_cmp(&asked[b]));
    let mut left = capacity;
    let mut fair = [0.0; CUSTOMERS];
    for (done, &customer) in order.iter().enumerate() {
        fair[customer] = asked[customer].min(left / (CUSTOMERS - done) as f64);
        left -= fair[customer];
    }
    fair
}
