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

/// The best of several cut-offs of size.
pub fn run(case: &Case) -> Score {
    let jobs = case.jobs();
    let mut works: Vec<f64> = jobs.iter().map(|job| job.work(true)).collect();
    works.sort_unstable_by(f64::total_cmp);
    (1..=10)
        .map(|tenth| works[(works.len() * tenth / 10).min(works.len() - 1)])
        .map(|most| score(case, &jobs, &play(case, &jobs, most)))
        .max_by(|a, b| a.deadlines_met.total_cmp(&b.deadlines_met))
        .unwrap_or_default()
}

/// Earliest deadline first; the largest yields where not all can be met.
fn play(case: &Case, jobs: &[Job], most: f64) -> Vec<Option<Duration>> {
    let mut answered = vec![None; jobs.len()];
    let mut queue: Vec<Left> = Vec::new();
    let mut now = Duration::ZERO;
    for (i, job) in jobs.iter().enumerate() {
        work(case, &mut queue, now, job.at, &mut answered);
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
        while let Some(excess) = excess(case, &queue, now) {
            queue.remove(excess);
        }
    }
    work(
        case,
        &mut queue,
        now,
        now + Duration::from_mins(2),
        &mut answered,
    );
    answered
}

/// The largest job up to the first that would be late.
fn excess(case: &Case, queue: &[Left], now: Duration) -> Option<usize> {
    let capacity = case.capacity_at(now);
    let mut ahead = 0.0;
    let mut largest = 0;
    for (i, left) in queue.iter().enumerate() {
        ahead += left.work;
        if left.work > queue[largest].work {
            largest = i;
        }
        if ahead > capacity * left.deadline.saturating_sub(now).as_secs_f64() {
            return Some(largest);
        }
    }
    None
}

/// Does the work between two times.
fn work(
    case: &Case,
    queue: &mut Vec<Left>,
    from: Duration,
    to: Duration,
    answered: &mut [Option<Duration>],
) {
    let mut now = from;
    let mut done = 0;
    while done < queue.len() && now < to {
        let left = &mut queue[done];
        let capacity = case.capacity_at(now);
        let end = now + Duration::from_secs_f64(left.work / capacity);
        if end > to {
            left.work -= capacity * to.saturating_sub(now).as_secs_f64();
            break;
        }
        answered[left.job] = Some(end);
        now = end;
        done += 1;
    }
    queue.drain(..done);
}
