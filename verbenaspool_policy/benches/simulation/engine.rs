//! A batching engine with a FIFO queue in front.
//!
//! Up to some batch size each request runs at full speed; larger batches, up to a
//! maximum, share that throughput.

use std::{collections::VecDeque, time::Duration};

/// How many requests an engine usually runs at full speed.
pub const FULL_SPEED_REQUESTS: usize = 8;
/// The maximum batch size, as a multiple of the requests that run at full speed.
const MAX_BATCH_FACTOR: usize = 2;
/// The work per second that one request gets at full speed.
pub const WORK_PER_SECOND: f64 = 100.0;
/// The speed of an engine that has just started, as a fraction of full speed.
const COLD_SPEED: f64 = 0.3;
/// How long an engine stays cold after its start.
pub const COLD_DURATION: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub struct Task {
    pub attempt: u64,
    remaining_work: f64,
}

#[derive(Debug)]
pub struct Engine {
    pub zone: usize,
    pub up: bool,
    pub incarnation: u64,
    /// Incremented when the time of the next event may change; events scheduled under an
    /// earlier version are ignored.
    pub schedule_version: u64,
    pub speed: f64,
    pub sequence: u64,
    /// The fraction of attempts that fail immediately.
    pub failing_fraction: f64,
    cold_until: Duration,
    /// The time up to which work is accounted for.
    advanced_to: Duration,
    running: Vec<Task>,
    waiting: VecDeque<Task>,
    /// The cached prefixes, the least recently used first.
    cache: VecDeque<u64>,
    /// The most prefixes that are cached.
    cache_capacity: usize,
    full_speed_requests: usize,
}

impl Engine {
    pub fn new(zone: usize, cache_capacity: usize, full_speed_requests: usize) -> Self {
        Self {
            zone,
            up: true,
            incarnation: 1,
            schedule_version: 0,
            speed: 1.0,
            sequence: 0,
            cold_until: Duration::ZERO,
            advanced_to: Duration::ZERO,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            cache_capacity,
            full_speed_requests,
            failing_fraction: 0.0,
        }
    }

    /// Restarts the engine cold and empty. Returns the attempts that were lost.
    pub fn restart(&mut self, now: Duration) -> Vec<u64> {
        let lost = self
            .running
            .drain(..)
            .chain(self.waiting.drain(..))
            .map(|task| task.attempt)
            .collect();
        self.cache.clear();
        self.incarnation += 1;
        self.sequence = 0;
        self.schedule_version += 1;
        self.advanced_to = now;
        self.cold_until = now + COLD_DURATION;
        lost
    }

    /// The work per second that each running request gets.
    fn rate(&self, now: Duration) -> f64 {
        let cold = if now < self.cold_until {
            COLD_SPEED
        } else {
            1.0
        };
        let shared = (self.full_speed_requests as f64 / self.running.len().max(1) as f64).min(1.0);
        WORK_PER_SECOND * self.speed * cold * shared
    }

    /// Accounts for the work up to `now`. Called before every change, so that the rate
    /// was constant since the last call.
    pub fn advance(&mut self, now: Duration) {
        let done = self.rate(self.advanced_to) * now.saturating_sub(self.advanced_to).as_secs_f64();
        self.running
            .iter_mut()
            .for_each(|task| task.remaining_work -= done);
        self.advanced_to = now;
    }

    pub fn add(&mut self, now: Duration, attempt: u64, work: f64) {
        self.advance(now);
        self.waiting.push_back(Task {
            attempt,
            remaining_work: work,
        });
        self.fill_batch();
    }

    pub fn remove(&mut self, now: Duration, attempt: u64) {
        self.advance(now);
        self.running.retain(|task| task.attempt != attempt);
        self.waiting.retain(|task| task.attempt != attempt);
        self.fill_batch();
    }

    /// Removes and returns the attempts that are complete at `now`.
    pub fn take_completed(&mut self, now: Duration) -> Vec<u64> {
        self.advance(now);
        let is_completed = |task: &Task| task.remaining_work <= 1e-6;
        let done = self
            .running
            .iter()
            .filter(|task| is_completed(task))
            .map(|task| task.attempt)
            .collect();
        self.running.retain(|task| !is_completed(task));
        self.fill_batch();
        done
    }

    fn fill_batch(&mut self) {
        while self.running.len() < MAX_BATCH_FACTOR * self.full_speed_requests
            && let Some(next) = self.waiting.pop_front()
        {
            self.running.push(next);
        }
        self.schedule_version += 1;
    }

    /// When the next attempt completes or the engine stops being cold.
    pub fn next_event(&self) -> Option<Duration> {
        let least_remaining = self
            .running
            .iter()
            .map(|task| task.remaining_work)
            .min_by(f64::total_cmp)?;
        let done = self.advanced_to
            + Duration::from_secs_f64(least_remaining.max(0.0) / self.rate(self.advanced_to))
            + Duration::from_nanos(1);
        Some(if self.advanced_to < self.cold_until {
            done.min(self.cold_until)
        } else {
            done
        })
    }

    /// The numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Caches a prefix. Returns whether it was cached already, and the prefix that was
    /// dropped for it.
    pub fn touch_prefix(&mut self, prefix: u64) -> (bool, Option<u64>) {
        if let Some(index) = self.cache.iter().position(|&p| p == prefix) {
            self.cache.remove(index);
            self.cache.push_back(prefix);
            return (true, None);
        }
        self.cache.push_back(prefix);
        let dropped = (self.cache.len() > self.cache_capacity)
            .then(|| self.cache.pop_front())
            .flatten();
        (false, dropped)
    }
}
