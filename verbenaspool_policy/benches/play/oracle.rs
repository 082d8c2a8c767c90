//! An all-knowing scheduler as the limit: true work, true speeds now and later,
//! one preemptive pool without slots, and the best size from which on it does
//! better to refuse, found by trying with the same arrivals.

use std::time::Duration;

use super::{
    case::Case,
    job::Job,
    score::{Score, score},
};

/// Work not yet done of a job.
#[derive(Debug, Clone, Copy)]
struct Left {
    job: usize,
    deadline: Duration,
    work: f64,
}

/// The time between two entries of a [`Supply`].
const STEP: Duration = Duration::from_millis(100);
/// How long after the last arrival work goes on.
const AFTER: Duration = Duration::from_mins(2);

/// What the engines can have done up to each time.
struct Supply(Vec<f64>);

impl Supply {
    fn new(case: &Case) -> Self {
        let steps = (Duration::from_secs(case.seconds) + AFTER).as_millis() / STEP.as_millis();
        let mut done = 0.0;
        let mut sums = vec![0.0];
        for step in 0..steps as u32 {
            done += case.capacity_at(STEP * step) * STEP.as_secs_f64();
            sums.push(done);
        }
        Self(sums)
    }

    /// The work that can be done from the start to a time.
    fn until(&self, time: Duration) -> f64 {
        let steps = time.as_secs_f64() / STEP.as_secs_f64();
        let step = (steps as usize).min(self.0.len() - 2);
        self.0[step] + (self.0[step + 1] - self.0[step]) * (steps - step as f64).min(1.0)
    }

    /// When work that starts at a time is done.
    fn end(&self, start: Duration, work: f64) -> Duration {
        let target = self.until(start) + work;
        let step = self
            .0
            .partition_point(|&done| done < target)
            .clamp(1, self.0.len() - 1);
        let part = (target - self.0[step - 1]) / (self.0[step] - self.0[step - 1]);
        (STEP * (step as u32 - 1) + STEP.mul_f64(part.clamp(0.0, 1.0))).max(start)
    }
}

/// The best of several cut-offs of size.
pub fn run(case: &Case) -> Score {
    let jobs = case.jobs();
    let supply = Supply::new(case);
    let mut works: Vec<f64> = jobs.iter().map(|job| job.work(true)).collect();
    works.sort_unstable_by(f64::total_cmp);
    (1..=10)
        .map(|tenth| works[(works.len() * tenth / 10).min(works.len() - 1)])
        .map(|most| score(case, &jobs, &play(&supply, &jobs, most)))
        .max_by(|a, b| a.deadlines_met.total_cmp(&b.deadlines_met))
        .unwrap_or_default()
}

/// Earliest deadline first; the largest yields where not all can be met.
fn play(supply: &Supply, jobs: &[Job], most: f64) -> Vec<Option<Duration>> {
    let mut answered = vec![None; jobs.len()];
    let mut queue: Vec<Left> = Vec::new();
    let mut now = Duration::ZERO;
    for (i, job) in jobs.iter().enumerate() {
        work(supply, &mut queue, now, job.at, &mut answered);
        now = job.at;
        if job.work(true) > most {
            continue;
        }
        let left = Left {
            job: i,
            deadline: job.deadline,
            work: job.work(true),
        };
        let place = queue.partition_point(|other| other.deadline <= left.deadline);
        queue.insert(place, left);
        while let Some(excess) = excess(supply, &queue, now) {
            queue.remove(excess);
        }
    }
    work(supply, &mut queue, now, now + AFTER, &mut answered);
    answered
}

/// The largest job up to the first that would be late.
fn excess(supply: &Supply, queue: &[Left], now: Duration) -> Option<usize> {
    let start = supply.until(now);
    let mut ahead = 0.0;
    let mut largest = 0;
    for (i, left) in queue.iter().enumerate() {
        ahead += left.work;
        if left.work > queue[largest].work {
            largest = i;
        }
        if ahead > supply.until(left.deadline) - start {
            return Some(largest);
        }
    }
    None
}

/// Does the work between two times.
fn work(
    supply: &Supply,
    queue: &mut Vec<Left>,
    from: Duration,
    to: Duration,
    answered: &mut [Option<Duration>],
) {
    let mut now = from;
    let mut done = 0;
    while done < queue.len() && now < to {
        let left = &mut queue[done];
        let end = supply.end(now, left.work);
        if end > to {
            left.work -= supply.until(to) - supply.until(now);
            break;
        }
        answered[left.job] = Some(end);
        now = end;
        done += 1;
    }
    queue.drain(..done);
}
