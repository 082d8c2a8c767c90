//! A batching engine: full speed for each request while the batch isn't full,
//! sharing above that up to a greatest batch, and a queue in order of arrival
//! in front of it.

use std::{collections::VecDeque, time::Duration};

/// Requests that run together without slowing each other down, as a rule.
pub const KNEE: usize = 8;
/// Requests that run together at most, as a multiple of those at full speed.
const BATCH: usize = 2;
/// Work that one request gets done a second.
pub const SPEED: f64 = 100.0;
/// The speed of an engine that has just started, and how long that lasts.
const COLD: f64 = 0.3;
pub const COLD_FOR: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub struct Running {
    pub attempt: u64,
    left: f64,
}

#[derive(Debug)]
pub struct Engine {
    pub zone: usize,
    pub up: bool,
    pub incarnation: u64,
    pub version: u64,
    pub speed: f64,
    pub sequence: u64,
    /// The part of attempts that fail at once.
    pub failing: f64,
    cold_until: Duration,
    at: Duration,
    running: Vec<Running>,
    waiting: VecDeque<Running>,
    cache: VecDeque<u64>,
    cached: usize,
    knee: usize,
}

impl Engine {
    pub fn new(zone: usize, cached: usize, knee: usize) -> Self {
        Self {
            zone,
            up: true,
            incarnation: 1,
            version: 0,
            speed: 1.0,
            sequence: 0,
            cold_until: Duration::ZERO,
            at: Duration::ZERO,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            cached,
            knee,
            failing: 0.0,
        }
    }

    /// Starts over, cold and empty; the attempts that it had.
    pub fn restart(&mut self, now: Duration) -> Vec<u64> {
        let lost = self
            .running
            .drain(..)
            .chain(self.waiting.drain(..))
            .map(|r| r.attempt)
            .collect();
        self.cache.clear();
        self.incarnation += 1;
        self.sequence = 0;
        self.version += 1;
        self.at = now;
        self.cold_until = now + COLD_FOR;
        lost
    }

    /// The work a second that each running request gets.
    fn rate(&self, now: Duration) -> f64 {
        let cold = if now < self.cold_until { COLD } else { 1.0 };
        let shared = (self.knee as f64 / self.running.len().max(1) as f64).min(1.0);
        SPEED * self.speed * cold * shared
    }

    /// Works up to `now`; called at every change, so that the rate was even.
    pub fn advance(&mut self, now: Duration) {
        let done = self.rate(self.at) * now.saturating_sub(self.at).as_secs_f64();
        self.running.iter_mut().for_each(|r| r.left -= done);
        self.at = now;
    }

    pub fn add(&mut self, now: Duration, attempt: u64, work: f64) {
        self.advance(now);
        self.waiting.push_back(Running {
            attempt,
            left: work,
        });
        self.fill();
    }

    pub fn remove(&mut self, now: Duration, attempt: u64) {
        self.advance(now);
        self.running.retain(|r| r.attempt != attempt);
        self.waiting.retain(|r| r.attempt != attempt);
        self.fill();
    }

    /// The attempts that are done at `now`.
    pub fn done(&mut self, now: Duration) -> Vec<u64> {
        self.advance(now);
        let is_done = |r: &Running| r.left <= 1e-6;
        let done = self
            .running
            .iter()
            .filter(|r| is_done(r))
            .map(|r| r.attempt)
            .collect();
        self.running.retain(|r| !is_done(r));
        self.fill();
        done
    }

    fn fill(&mut self) {
        while self.running.len() < BATCH * self.knee
            && let Some(next) = self.waiting.pop_front()
        {
            self.running.push(next);
        }
        self.version += 1;
    }

    /// When something is done next, or the speed changes.
    pub fn next(&self) -> Option<Duration> {
        let least = self.running.iter().map(|r| r.left).min_by(f64::total_cmp)?;
        let done = self.at
            + Duration::from_secs_f64(least.max(0.0) / self.rate(self.at))
            + Duration::from_nanos(1);
        Some(if self.at < self.cold_until {
            done.min(self.cold_until)
        } else {
            done
        })
    }

    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Whether a prefix is cached; it is from now on. Also what was dropped for it.
    pub fn touch(&mut self, prefix: u64) -> (bool, Option<u64>) {
        if let Some(place) = self.cache.iter().position(|&p| p == prefix) {
            self.cache.remove(place);
            self.cache.push_back(prefix);
            return (true, None);
        }
        self.cache.push_back(prefix);
        let dropped = (self.cache.len() > self.cached)
            .then(|| self.cache.pop_front())
            .flatten();
        (false, dropped)
    }
}
