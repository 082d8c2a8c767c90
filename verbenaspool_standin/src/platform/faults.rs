//! Faults of the platform's stand-in.

use std::time::{Duration, Instant};

use verbenaspool_transport::platform::Events;

/// The faults in force; the default is none.
#[derive(Debug, Default)]
pub struct Faults {
    /// Whether calls end without effect or answer.
    pub down: bool,
    /// What each call is held up by before it takes effect.
    pub delay: Duration,
    /// How many further writes take effect without an answer.
    pub lost_answers: u32,
    /// How many writes are answered before the first is lost.
    pub answers_before_loss: u32,
    /// What watches bring.
    pub watch: Watch,
    /// Reads, lists and watches allowed a second.
    pub reads_per_second: Option<u32>,
    /// Writes and deletions allowed a second.
    pub writes_per_second: Option<u32>,
    /// Reads in the second under way.
    reads: Window,
    /// Writes in the second under way.
    writes: Window,
}

/// What watches bring.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Watch {
    /// Every change, in order.
    #[default]
    Complete,
    /// Nothing of what changed.
    Stale,
    /// Every second change only.
    Gaps,
    /// The changes from last to first, and each of them twice.
    Reordered,
}

/// Calls counted in the second under way.
#[derive(Debug, Default)]
struct Window {
    /// When the second began.
    start: Option<Instant>,
    /// Calls since.
    calls: u32,
}

impl Window {
    /// Counts a call and says whether it is within `limit` a second.
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
    /// Counts a call and says whether it is within the rate.
    pub(super) fn admit(&mut self, write: bool) -> bool {
        if write {
            self.writes.admit(self.writes_per_second)
        } else {
            self.reads.admit(self.reads_per_second)
        }
    }

    /// Whether the answer to a write that took effect is lost.
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

    /// Bends what a watch from `since` brings.
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
