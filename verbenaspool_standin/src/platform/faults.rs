//! Faults that the platform stand-in injects.

use std::time::{Duration, Instant};

use verbenaspool_transport::platform::Events;

/// The faults to inject; none by default.
#[derive(Debug, Default)]
pub struct Faults {
    /// Whether calls fail without effect or answer.
    pub down: bool,
    /// How long each call is delayed before it takes effect.
    pub delay: Duration,
    /// How many further writes take effect without an answer.
    pub lost_answers: u32,
    /// How many writes are answered before the first lost answer.
    pub answers_before_loss: u32,
    /// Which changes watches return.
    pub watch: Watch,
    /// Limit of reads, lists and watches per second.
    pub reads_per_second: Option<u32>,
    /// Limit of writes and deletions per second.
    pub writes_per_second: Option<u32>,
    /// Reads in the current second.
    reads: Window,
    /// Writes in the current second.
    writes: Window,
}

/// Which changes watches return.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Watch {
    /// Every change, in order.
    #[default]
    Complete,
    /// No changes.
    Stale,
    /// Only changes with an even revision.
    Gaps,
    /// All changes in reverse order, twice.
    Reordered,
}

/// Counts the calls of the current second.
#[derive(Debug, Default)]
struct Window {
    /// When the current second started.
    start: Option<Instant>,
    /// Calls since `start`.
    calls: u32,
}

impl Window {
    /// Counts a call and returns whether it is within `limit` per second.
    fn admit(&mut self, limit: Option<u32>) -> bool {
        let now = Instant::now();
        let expired = |start: Instant| now - start >= Duration::from_secs(1);
        if self.start.is_none_or(expired) {
            self.start = Some(now);
            self.calls = 0;
        }
        self.calls += 1;
        limit.is_none_or(|limit| self.calls <= limit)
    }
}

impl Faults {
    /// Counts a call and returns whether it is within the rate limit.
    pub(super) fn admit(&mut self, write: bool) -> bool {
        if write {
            self.writes.admit(self.writes_per_second)
        } else {
            self.reads.admit(self.reads_per_second)
        }
    }

    /// Returns whether the answer to a write that took effect is lost, and counts it.
    pub(super) fn take_lost_answer(&mut self) -> bool {
        if self.lost_answers == 0 {
            return false;
        }
        if self.answers_before_loss > 0 {
            self.answers_before_loss -= 1;
            return false;
        }
        self.lost_answers -= 1;
        true
    }

    /// Distorts the events of a watch from `since`.
    pub(super) fn distort(&self, mut events: Events, since: u64) -> Events {
        match self.watch {
            Watch::Complete => {}
            Watch::Stale => {
                events.events.clear();
                events.revision = since;
            }
            Watch::Gaps => events.events.retain(|event| event.version % 2 == 0),
            Watch::Reordered => {
                events.events.reverse();
                let repeated = events.events.clone();
                events.events.extend(repeated);
            }
        }
        events
    }
}
