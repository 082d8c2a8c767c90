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
    pub since: Duration,
    /// Until when it must be placed for its answer to be in time.
    pub in_time_until: Duration,
    /// Until when it may wait.
    pub until: Duration,
    /// What it asks for.
    pub ask: PlacementRequest,
}

/// The waiting requests of a service.
#[derive(Debug, Default)]
pub struct WaitQueue(Vec<QueuedRequest>);

impl WaitQueue {
    /// Adds a request.
    pub fn join(&mut self, waiting: QueuedRequest) {
        let turn = turn(&waiting);
        let place = self.0.partition_point(|other| self::turn(other) <= turn);
        self.0.insert(place, waiting);
    }

    /// Takes a request out.
    pub fn leave(&mut self, ticket: Ticket) {
        self.0.retain(|waiting| waiting.ticket != ticket);
    }

    /// Takes all requests out, in the order of their turn.
    pub fn take(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.0)
    }

    /// Puts those back that go on waiting, in the order of their turn.
    pub fn restore(&mut self, kept: Vec<QueuedRequest>) {
        self.0 = kept;
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
fn turn(waiting: &QueuedRequest) -> (bool, bool, u8, Duration) {
    let late = waiting.late && waiting.ask.resumes != Resumption::Moved;
    (
        late,
        waiting.ask.beyond,
        waiting.ask.priority,
        waiting.since,
    )
}
