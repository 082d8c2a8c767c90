//! The queue of one customer.
//!
//! Under overload, whether brief or sustained, a queue in order of arrival grows until
//! every request in it is late, and goodput falls to zero although every upstream is
//! busy.
//!
//! Requests are ordered by priority, then by their latest start. When not all can start
//! in time, the largest of the least urgent requests in the way is dropped
//! (Moore-Hodgson algorithm, which keeps the most requests on time), and its caller is
//! answered at once.

use std::time::Duration;

use crate::decision::Ticket;

/// A queued request as the queue orders it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedRequest {
    pub ticket: Ticket,
    /// Priority among the customer's requests; higher goes first.
    pub priority: u8,
    /// The latest start that still meets its deadline.
    pub latest_start: Duration,
    /// The estimated work.
    pub work: f64,
}

impl QueuedRequest {
    /// Whether this request starts before another.
    fn precedes(&self, other: &Self) -> bool {
        (other.priority, self.latest_start) < (self.priority, other.latest_start)
    }
}

/// How fast a customer's queue drains.
#[derive(Debug, Clone, Copy)]
pub struct DrainRate {
    /// Work per second that the customer's share guarantees.
    pub work_per_second: f64,
    /// The time in which all queued work of every customer is done; no request waits
    /// longer, however small its customer's share.
    pub max_wait_seconds: f64,
}

impl DrainRate {
    /// The wait behind `ahead` work of the same customer, in seconds.
    #[must_use]
    pub fn wait_seconds(&self, ahead: f64) -> f64 {
        (ahead / self.work_per_second).min(self.max_wait_seconds)
    }
}

/// The queued requests of one customer, in starting order.
#[derive(Debug, Default)]
pub struct Queue {
    requests: Vec<QueuedRequest>,
    /// The total work of the requests.
    work: f64,
}

impl Queue {
    /// The number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The total work of the queued requests.
    #[must_use]
    pub fn work(&self) -> f64 {
        self.work
    }

    /// The request that starts next: the first in order or, if `shortest_first` is set,
    /// the one with the least work among those of the highest priority.
    #[must_use]
    pub fn next_request(&self, shortest_first: bool) -> Option<&QueuedRequest> {
        let first = self.requests.first()?;
        if !shortest_first {
            return Some(first);
        }
        let urgent = self
            .requests
            .iter()
            .take_while(|request| request.priority == first.priority);
        urgent.min_by(|a, b| a.work.total_cmp(&b.work))
    }

    /// Inserts a request in order.
    pub fn push(&mut self, request: QueuedRequest) {
        let index = self
            .requests
            .partition_point(|other| !request.precedes(other));
        self.work += request.work;
        self.requests.insert(index, request);
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let index = self
            .requests
            .iter()
            .position(|request| request.ticket == ticket)?;
        Some(self.remove_at(index))
    }

    /// The request to drop for the others to start in time, if any: the largest of the
    /// lowest priority up to and including the first that would be late.
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

    /// Removes the request at an index.
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
