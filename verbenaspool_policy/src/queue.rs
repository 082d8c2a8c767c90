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
pub struct Waiting {
    /// Its ticket.
    pub ticket: Ticket,
    /// How urgent it is; higher goes first.
    pub priority: u8,
    /// The latest start that still meets its deadline.
    pub latest: Duration,
    /// Its estimated work.
    pub work: f64,
}

impl Waiting {
    /// Whether this one goes before another.
    fn before(&self, other: &Self) -> bool {
        (other.priority, self.latest) < (self.priority, other.latest)
    }
}

/// How fast a customer's queue drains.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    /// Work a second that the customer is sure of.
    pub rate: f64,
    /// The wait after which all work waiting now, of every customer, is done:
    /// no request waits longer, however small its customer's rate.
    pub whole: f64,
}

impl Drain {
    /// The wait behind `ahead` of the customer's own work, in seconds.
    #[must_use]
    pub fn wait(&self, ahead: f64) -> f64 {
        (ahead / self.rate).min(self.whole)
    }
}

/// One customer's waiting requests, in the order they start.
#[derive(Debug, Default)]
pub struct Queue {
    /// The requests, first to start first.
    waiting: Vec<Waiting>,
    /// The sum of their work.
    work: f64,
}

impl Queue {
    /// The number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The work waiting.
    #[must_use]
    pub fn work(&self) -> f64 {
        self.work
    }

    /// The request that starts next: the one that must start first or, where
    /// `shortest` is set, the one with the least work among the most urgent.
    #[must_use]
    pub fn first(&self, shortest: bool) -> Option<&Waiting> {
        let first = self.waiting.first()?;
        if !shortest {
            return Some(first);
        }
        let urgent = self
            .waiting
            .iter()
            .take_while(|w| w.priority == first.priority);
        urgent.min_by(|a, b| a.work.total_cmp(&b.work))
    }

    /// Adds a request at its place.
    pub fn push(&mut self, waiting: Waiting) {
        let place = self.waiting.partition_point(|other| !waiting.before(other));
        self.work += waiting.work;
        self.waiting.insert(place, waiting);
    }

    /// Takes one request out, wherever it stands.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let place = self.waiting.iter().position(|w| w.ticket == ticket)?;
        Some(self.take(place))
    }

    /// The request that must yield for the others to start in time, if any:
    /// the largest of the least urgent ones up to the first that would be late.
    #[must_use]
    pub fn excess(&self, now: Duration, drain: &Drain) -> Option<Ticket> {
        let mut ahead = 0.0;
        let mut largest: Option<&Waiting> = None;
        for waiting in &self.waiting {
            let yields = largest.is_none_or(|largest| {
                (waiting.priority, largest.work) <= (largest.priority, waiting.work)
            });
            if yields {
                largest = Some(waiting);
            }
            let slack = waiting.latest.saturating_sub(now).as_secs_f64();
            if drain.wait(ahead) > slack {
                return largest.map(|largest| largest.ticket);
            }
            ahead += waiting.work;
        }
        None
    }

    /// Takes the request at a place out.
    fn take(&mut self, place: usize) -> Waiting {
        let taken = self.waiting.remove(place);
        self.work = if self.waiting.is_empty() {
            0.0
        } else {
            self.work - taken.work
        };
        taken
    }
}
