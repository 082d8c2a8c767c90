//! Requests that wait for an upstream, in the order of their turn.
//!
//! Load: more requests than room, all the time. Those that can still be answered
//! in time go before those that can't, or every answer would come just too late, and
//! streams that have begun go with them: one that stays on a slow rank holds back all.
//! Behind them go requests beyond what their customer usually sends; among equals the
//! more urgent go first, then those that came first.

use std::time::Duration;

use super::{PlacementRequest, Resumption};

/// Names a waiting request.
pub type Ticket = u64;

/// A waiting request.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// Its name.
    pub ticket: Ticket,
    /// Whether its answer can't be in time any more.
    pub late: bool,
    /// Since when it waits.
    pub queued_at: Duration,
    /// Until when it must be placed for its answer to be in time.
    pub on_time_until: Duration,
    /// Until when it may wait.
    pub until: Duration,
    /// What it asks for.
    pub request: PlacementRequest,
}

/// The waiting requests of a service.
#[derive(Debug, Default)]
pub struct WaitQueue(Vec<QueuedRequest>);

impl WaitQueue {
    /// Adds a request.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let key = sort_key(&waiting);
        let position = self.0.partition_point(|other| sort_key(other) <= key);
        self.0.insert(position, waiting);
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) {
        self.0.retain(|waiting| waiting.ticket != ticket);
    }

    /// Takes all requests out, in the order of their turn.
    pub fn take_all(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.0)
    }

    /// Puts those back that go on waiting, in the order of their turn.
    pub fn restore(&mut self, waiting: Vec<QueuedRequest>) {
        self.0 = waiting;
    }

    /// How many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// What decides whose turn comes first; the least one does.
fn sort_key(waiting: &QueuedRequest) -> (bool, bool, u8, Duration) {
    let late = waiting.late && waiting.request.resumption != Resumption::Moved;
    (
        late,
        waiting.request.over_usual_rate,
        waiting.request.priority,
        waiting.queued_at,
    )
}
