//! Keeps a strict order of priorities from starving a route.

use std::collections::{BTreeMap, BTreeSet};

/// Under shortage, a priority gets at least one in this many of the placements for which it has
/// requests waiting.
const MAX_PLACEMENTS_PER_TURN: usize = 8;

/// The placements that each priority has missed since its last one.
#[derive(Debug, Default)]
pub struct Turns(BTreeMap<u8, usize>);

impl Turns {
    /// Records a placement of a priority while requests of others were waiting.
    ///
    /// ```
    /// use verbenaspool_policy::dispatch::share::turns::Turns;
    ///
    /// let mut turns = Turns::default();
    /// for _ in 0..6 {
    ///     turns.record_placement(0, &[1].into());
    ///     assert_eq!(turns.due(&[0, 1].into()), None);
    /// }
    /// turns.record_placement(0, &[1].into());
    /// assert_eq!(turns.due(&[0, 1].into()), Some(1));
    /// ```
    pub fn record_placement(&mut self, placed: u8, waiting: &BTreeSet<u8>) {
        self.0.remove(&placed);
        for priority in waiting.iter().filter(|priority| **priority != placed) {
            *self.0.entry(*priority).or_default() += 1;
        }
    }

    /// The priority that gets the next placement in place of the most urgent one, if any, among
    /// those with requests waiting.
    #[must_use]
    pub fn due(&self, waiting: &BTreeSet<u8>) -> Option<u8> {
        // If several priorities are due at once, the last of them has to wait for the others.
        let others = waiting.len().saturating_sub(1);
        let limit = MAX_PLACEMENTS_PER_TURN.saturating_sub(others).max(1);
        let missed = |priority: &u8| self.0.get(priority).copied().unwrap_or(0);
        let due = waiting.iter().filter(|priority| missed(priority) >= limit);
        due.max_by_key(|priority| missed(priority)).copied()
    }
}
