//! An omniscient scheduler as the upper bound for policies.
//!
//! It knows the actual work of each job and the engines' speeds now and later, and treats
//! all engines as one preemptive pool without slots. It rejects jobs above a work limit;
//! the limit that meets the most deadlines is found by trials on the same arrivals.

use std::time::Duration;

use super::{
    case::Case,
    job::Job,
    score::{Score, score},
};

/// An admitted job and its work not yet done.
#[derive(Debug, Clone, Copy)]
struct Pending {
    job: usize,
    deadline: Duration,
    remaining_work: f64,
}

/// The time between two totals of a [`Capacity`].
const CAPACITY_STEP: Duration = Duration::from_millis(100);
/// How long work continues after the last arrival.
const DRAIN_TIME: Duration = Duration::from_mins(2);

/// The total work that the engines can do from the start up to each step.
struct Capacity(Vec<f64>);

impl Capacity {
    fn new(case: &Case) -> Self {
        let steps = (Duration::from_secs(case.seconds) + DRAIN_TIME).as_millis()
            / CAPACITY_STEP.as_millis();
        let mut done = 0.0;
        let mut totals = vec![0.0];
        for step in 0..steps as u32 {
            done += case.capacity_at(CAPACITY_STEP * step) * CAPACITY_STEP.as_secs_f64();
            totals.push(done);
        }
        Self(totals)
    }

    /// The work that can be done from the start up to `time`.
    fn work_until(&self, time: Duration) -> f64 {
        let steps = time.as_secs_f64() / CAPACITY_STEP.as_secs_f64();
        let step = (steps as usize).min(self.0.len() - 2);
        self.0[step] + (self.0[step + 1] - self.0[step]) * (steps - step as f64).min(1.0)
    }

    /// When work that starts at `start` is complete.
    fn completion(&self, start: Duration, work: f64) -> Duration {
        let target = self.work_until(start) + work;
        let step = self
            .0
            .partition_point(|&done| done < target)
            .clamp(1, self.0.len() - 1);
        let fraction = (target - self.0[step - 1]) / (self.0[step] - self.0[step - 1]);
        (CAPACITY_STEP * (step as u32 - 1) + CAPACITY_STEP.mul_f64(fraction.clamp(0.0, 1.0)))
            .max(start)
    }
}

/// Returns the best score over ten work limits, the deciles of the jobs' work.
pub fn run(case: &Case) -> Score {
    let jobs = case.jobs();
    let capacity = Capacity::new(case);
    let mut works: Vec<f64> = jobs.iter().map(|job| job.work(true)).collect();
    works.sort_unstable_by(f64::total_cmp);
    (1..=10)
        .map(|tenth| works[(works.len() * tenth / 10).min(works.len() - 1)])
        .map(|max_work| score(case, &jobs, &schedule(&capacity, &jobs, max_work)))
        .max_by(|a, b| a.deadlines_met.total_cmp(&b.deadlines_met))
        .unwrap_or_default()
}

/// Runs jobs of at most `max_work` by earliest deadline first, dropping the largest where
/// not all deadlines can be met. Returns when each job completes, if it does.
fn schedule(capacity: &Capacity, jobs: &[Job], max_work: f64) -> Vec<Option<Duration>> {
    let mut answered = vec![None; jobs.len()];
    let mut queue: Vec<Pending> = Vec::new();
    let mut now = Duration::ZERO;
    for (i, job) in jobs.iter().enumerate() {
        run_queue(capacity, &mut queue, now, job.arrival, &mut answered);
        now = job.arrival;
        if job.work(true) > max_work {
            continue;
        }
        let pending = Pending {
            job: i,
            deadline: job.deadline,
            remaining_work: job.work(true),
        };
        let index = queue.partition_point(|other| other.deadline <= pending.deadline);
        queue.insert(index, pending);
        while let Some(dropped) = index_to_drop(capacity, &queue, now) {
            queue.remove(dropped);
        }
    }
    run_queue(capacity, &mut queue, now, now + DRAIN_TIME, &mut answered);
    answered
}

/// Returns the index of the largest job up to and including the first that would miss its
/// deadline.
fn index_to_drop(capacity: &Capacity, queue: &[Pending], now: Duration) -> Option<usize> {
    let start = capacity.work_until(now);
    let mut ahead = 0.0;
    let mut largest = 0;
    for (i, pending) in queue.iter().enumerate() {
        ahead += pending.remaining_work;
        if pending.remaining_work > queue[largest].remaining_work {
            largest = i;
        }
        if ahead > capacity.work_until(pending.deadline) - start {
            return Some(largest);
        }
    }
    None
}

/// Runs the queue from one time to another.
fn run_queue(
    capacity: &Capacity,
    queue: &mut Vec<Pending>,
    from: Duration,
    to: Duration,
    answered: &mut [Option<Duration>],
) {
    let mut now = from;
    let mut done = 0;
    while done < queue.len() && now < to {
        let pending = &mut queue[done];
        let end = capacity.completion(now, pending.remaining_work);
        if end > to {
            pending.remaining_work -= capacity.work_until(to) - capacity.work_until(now);
            break;
        }
        answered[pending.job] = Some(end);
        now = end;
        done += 1;
    }
    queue.drain(..done);
}
