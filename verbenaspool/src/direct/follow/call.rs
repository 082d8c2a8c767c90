//! What becomes of calls to the store.

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
