//! Scores a policy by the answers that callers got.

use std::time::Duration;

use super::{
    case::{CUSTOMERS, Case},
    job::Job,
};

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Score {
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Work completed by its deadline, as a fraction of the upstreams' capacity.
    pub goodput: f64,
    /// Jain's index over the fractions of their fair shares that customers got.
    pub fairness: f64,
    /// The fraction of requests answered by their deadline.
    pub deadlines_met: f64,
    pub ns_per_decision: f64,
    /// The fraction of attempts started in another zone than the entry's.
    pub cross_zone_fraction: f64,
    /// Attempts started per request.
    pub attempts_per_request: f64,
    /// Offers per request, including those after a rejection.
    pub offers_per_request: f64,
}

/// Computes the score from the time at which each job was answered, if it was.
pub fn score(case: &Case, jobs: &[Job], answered: &[Option<Duration>]) -> Score {
    let in_time = |i: usize| answered[i].is_some_and(|at| at <= jobs[i].deadline);
    let met = (0..jobs.len()).filter(|&i| in_time(i)).count();
    let mut latencies: Vec<f64> = (0..jobs.len())
        .filter(|&i| in_time(i))
        .filter_map(|i| Some(answered[i]?.saturating_sub(jobs[i].arrival).as_secs_f64() * 1e3))
        .collect();
    latencies.sort_unstable_by(f64::total_cmp);
    let quantile = |q: f64| {
        latencies
            .get((latencies.len() as f64 * q) as usize)
            .copied()
            .unwrap_or(f64::NAN)
    };
    let capacity: f64 = (0..case.seconds * 10)
        .map(|tenth| case.capacity_at(Duration::from_millis(tenth * 100)) / 10.0)
        .sum();
    let in_time_work: f64 = (0..jobs.len())
        .filter(|&i| in_time(i))
        .map(|i| jobs[i].work(true))
        .sum();
    Score {
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        goodput: in_time_work / capacity,
        fairness: fairness(jobs, &in_time, capacity),
        deadlines_met: met as f64 / jobs.len() as f64,
        ..Score::default()
    }
}

/// Returns Jain's index over each customer's work completed by its deadline, as a
/// fraction of the customer's max-min fair share of the capacity.
fn fairness(jobs: &[Job], in_time: &dyn Fn(usize) -> bool, capacity: f64) -> f64 {
    let mut requested = [0.0; CUSTOMERS];
    let mut served = [0.0; CUSTOMERS];
    for (i, job) in jobs.iter().enumerate() {
        requested[job.customer] += job.work(true);
        served[job.customer] += if in_time(i) { job.work(true) } else { 0.0 };
    }
    let shares = max_min_shares(&requested, capacity);
    let fractions: Vec<f64> = (0..CUSTOMERS)
        .map(|c| (served[c] / shares[c]).min(1.0))
        .collect();
    let sum: f64 = fractions.iter().sum();
    let squares: f64 = fractions.iter().map(|f| f * f).sum();
    if squares == 0.0 {
        0.0
    } else {
        sum * sum / (CUSTOMERS as f64 * squares)
    }
}

/// Returns the max-min fair shares of a capacity: what a customer requested, or an even
/// share of what the customers that requested less leave.
fn max_min_shares(requested: &[f64; CUSTOMERS], capacity: f64) -> [f64; CUSTOMERS] {
    let mut order: Vec<usize> = (0..CUSTOMERS).collect();
    order.sort_unstable_by(|&a, &b| requested[a].total_cmp(&requested[b]));
    let mut remaining = capacity;
    let mut shares = [0.0; CUSTOMERS];
    for (done, &customer) in order.iter().enumerate() {
        shares[customer] = requested[customer].min(remaining / (CUSTOMERS - done) as f64);
        remaining -= shares[customer];
    }
    shares
}
