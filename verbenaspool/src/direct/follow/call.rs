//! What becomes of calls to the store.

use std::time::Duration;

use slog::info;
use verbenaspool_state::position::Position;
use verbenaspool_transport::platform::Error;

use super::Follower;

/// What became of the last call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// It was the first watch after an answer that was cut off.
    CutOff,
    /// It was the first watch after an answer that got none in time.
    Unanswered,
    /// It failed, or was another watch without an answer.
    Failed,
}

impl Outcome {
    /// Whether the store didn't answer the call, as far as this entry can tell. A watch that was cut off
    /// tells nothing.
    pub fn lacks_answer(self) -> bool {
        matches!(self, Self::Unanswered | Self::Failed)
    }
}

impl Follower {
    /// Logs and counts a failed watch, given how long it was to wait and waited.
    pub(super) fn record_failed_watch(
        &self,
        from: Position,
        [wait, waited]: [Duration; 2],
        was_cut_off: bool,
        why: &Error,
    ) {
        let kind = self.kind.object_kind();
        let outcome = if was_cut_off { "cut" } else { "timeout" };
        let now = self.gateway.clock.now();
        let silence = self.answered_at.map(|at| now.saturating_sub(at));
        let milliseconds = |time: Duration| time.as_secs_f64() * 1e3;
        info!(self.gateway.log, "watch failed"; "kind" => kind, "outcome" => outcome,
            "era" => from.era, "revision" => from.revision,
            "wait_ms" => milliseconds(wait), "waited_ms" => milliseconds(waited),
            "silent_ms" => silence.map(milliseconds), "reason" => why.to_string());
        let failed = self.gateway.metrics.counter(
            "verbenaspool_store_failed_watches_total",
            "Watches that the store ended without an answer, or didn't answer in time.",
            &[("kind", kind), ("outcome", outcome)],
        );
        failed.increment();
    }

    /// Records what became of the last call to the store.
    pub(super) fn set_last_call(&mut self, outcome: Outcome) {
        let before = std::mem::replace(&mut self.last_call, outcome);
        let [failed_before, fails] = [before, outcome].map(|call| call == Outcome::Failed);
        if fails != failed_before {
            let count = &self.gateway.failing_followers;
            count.set(if fails {
                count.get() + 1
            } else {
                count.get().saturating_sub(1)
            });
        }
    }
}
