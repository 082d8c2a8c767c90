//! One customer's waiting requests.
//!
//! Load: more work than can be done in time, for a moment or for long. Without
//! it a queue in order of arrival grows until every request in it is too late,
//! and goodput falls to nothing although every upstream is busy.
//!
//! Requests wait by priority, then by the time they must start at the latest.
//! When not all can start in time, the least urgent and largest of those in the
//! way yields (Moore and Hodgson's rule, which keeps the most requests in time),
//! and its caller is told at once.

use std::time::Duration;

use crate::decision::Ticket;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedRequest {
    /// Its ticket.
    pub ticket: Ticket,
    /// How urgent it is; higher goes first.
    pub priority: u8,
    /// The latest start that still meets its deadline.
    pub latest_start: Duration,
    /// Its estimated work.
    pub work: f64,
}

impl QueuedRequest {
    /// Whether this one goes before another.
    fn precedes(&self, other: &Self) -> bool {
        (other.priority, self.latest_start) < (self.priority, other.latest_start)
    }
}

/// How fast a customer's queue drains.
#[derive(Debug, Clone, Copy)]
pub struct DrainRate {
    /// Work a second that the customer is sure of.
    pub work_per_second: f64,
    /// The wait after which all work waiting now, of every customer, is done:
    /// no request waits longer, however small its customer's rate.
    pub max_wait_seconds: f64,
}

impl DrainRate {
    /// The wait behind `ahead` of the customer's own work, in seconds.
    #[must_use]
    pub fn wait_seconds(&self, ahead: f64) -> f64 {
        (ahead / self.work_per_second).min(self.max_wait_seconds)
    }
}

/// One customer's waiting requests, in the order they start.
#[derive(Debug, Default)]
pub struct Queue {
    /// The requests, first to start first.
    requests: Vec<QueuedRequest>,
    /// The sum of their work.
    work: f64,
}

impl Queue {
    /// The number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The work waiting.
    #[must_use]
    pub fn work(&self) -> f64 {
        self.work
    }

    /// The request that starts next: the one that must start first or, where
    /// `shortest` is set, the one with the least work among the most urgent.
    #[must_use]
    pub fn next_request(&self, shortest_first: bool) -> Option<&QueuedRequest> {
        let first = self.requests.first()?;
        if !shortest_first {
            return Some(first);
        }
        let urgent = self
            .requests
            .iter()
            .take_while(|w| w.priority == first.priority);
        urgent.min_by(|a, b| a.work.total_cmp(&b.work))
    }

    /// Adds a request at its place.
    pub fn push(&mut self, request: QueuedRequest) {
        let index = self
            .requests
            .partition_point(|other| !request.precedes(other));
        self.work += request.work;
        self.requests.insert(index, request);
    }

    /// Takes one request out, wherever it stands.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let index = self.requests.iter().position(|w| w.ticket == ticket)?;
        Some(self.remove_at(index))
    }

    /// The request that must yield for the others to start in time, if any:
    /// the largest of the least urgent ones up to the first that would be late.
    #[must_use]
    pub fn find_excess(&self, now: Duration, drain: &DrainRate) -> Option<Ticket> {
        let mut ahead = 0.0;
        let mut largest: Option<&QueuedRequest> = None;
        for request in &self.requests {
            let yields = largest.is_none_or(|largest| {
                (request.priority, largest.work) <= (largest.priority, request.work)
            });
            if yields {
                largest = Some(request);
            }
            let slack = request.latest_start.saturating_sub(now).as_secs_f64();
            if drain.wait_seconds(ahead) > slack {
                return largest.map(|largest| largest.ticket);
            }
            ahead += request.work;
        }
        None
    }

    /// Takes the request at a place out.
    fn remove_at(&mut self, index: usize) -> QueuedRequest {
        let removed = self.requests.remove(index);
        self.work = if self.requests.is_empty() {
            0.0
        } else {
            self.work - removed.work
        };
        removed
    }
}
