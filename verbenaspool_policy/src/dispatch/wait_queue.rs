//! Requests that wait for an upstream, in the order in which they are placed.
//!
//! Under sustained overload requests that can still be on time are placed before late ones,
//! as otherwise every answer would be slightly late. Streams that move off a slow rank are
//! treated like requests that can be on time, because each of them delays the whole group.
//! Both among these and among the late ones, requests over their customer's usual rate come
//! after the others. Ties are broken by priority, then by arrival.

use std::time::Duration;

use super::{PlacementRequest, Resumption};

/// Identifies a queued request.
pub type Ticket = u64;

/// A queued request.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// Its identifier.
    pub ticket: Ticket,
    /// Whether its answer can't be on time any more.
    pub late: bool,
    /// When it was queued.
    pub queued_at: Duration,
    /// The latest placement with which its answer is on time.
    pub on_time_until: Duration,
    /// The latest time at which it stops waiting.
    pub until: Duration,
    /// The request itself.
    pub request: PlacementRequest,
}

/// The queued requests of a service, in placement order.
#[derive(Debug, Default)]
pub struct WaitQueue(Vec<QueuedRequest>);

impl WaitQueue {
    /// Adds a request.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let key = sort_key(&waiting);
        let position = self.0.partition_point(|other| sort_key(other) <= key);
        self.0.insert(position, waiting);
    }

    /// Removes a request, if it is queued.
    pub fn remove(&mut self, ticket: Ticket) {
        self.0.retain(|waiting| waiting.ticket != ticket);
    }

    /// Removes and returns all requests in placement order.
    pub fn take_all(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.0)
    }

    /// Puts back the requests that continue to wait, in placement order.
    pub fn restore(&mut self, waiting: Vec<QueuedRequest>) {
        self.0 = waiting;
    }

    /// The queued requests in placement order.
    #[must_use]
    pub fn as_slice(&self) -> &[QueuedRequest] {
        &self.0
    }

    /// The number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The placement order; lower keys come first.
pub(super) fn sort_key(waiting: &QueuedRequest) -> (bool, bool, u8, Duration) {
    let late = waiting.late && waiting.request.resumption != Resumption::Moved;
    (
        late,
        waiting.request.over_usual_rate,
        waiting.request.priority,
        waiting.queued_at,
    )
}
