//! The check that all ranks of a group use one expert map in every step.

use std::collections::BTreeMap;

/// One rank ran one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The step.
    pub step: u64,
    /// The rank's seat.
    pub seat: u16,
    /// The epoch of the map that the rank used.
    pub epoch: u64,
}

/// Judges what the ranks of one group ran, in the order in which they ran it.
///
/// ```
/// use verbenaspool_standin::history::steps::{Entry, Violation, check};
///
/// let entry = |step, seat, epoch| Entry { step, seat, epoch };
/// let good = [entry(1, 0, 1), entry(1, 1, 1), entry(2, 0, 2), entry(2, 1, 2)];
/// assert_eq!(check(&good), Ok(2));
/// let bad = [entry(1, 0, 1), entry(1, 1, 2)];
/// let mixed = Violation::Mixed { step: 1, epochs: [1, 2], seats: [0, 1] };
/// assert_eq!(check(&bad), Err(mixed));
/// ```
///
/// # Errors
///
/// The first violation; otherwise the number of steps.
pub fn check(entries: &[Entry]) -> Result<usize, Violation> {
    let mut steps: BTreeMap<u64, Entry> = BTreeMap::new();
    let mut last_entries: BTreeMap<u16, Entry> = BTreeMap::new();
    for entry in entries {
        let first = steps.entry(entry.step).or_insert(*entry);
        if first.epoch != entry.epoch {
            return Err(Violation::Mixed {
                step: entry.step,
                epochs: [first.epoch, entry.epoch],
                seats: [first.seat, entry.seat],
            });
        }
        let before = last_entries.insert(entry.seat, *entry);
        let Some(before) = before else {
            continue;
        };
        if before.step >= entry.step {
            return Err(Violation::Repeated {
                step: entry.step,
                seat: entry.seat,
            });
        }
        if before.epoch > entry.epoch {
            return Err(Violation::Reverted {
                step: entry.step,
                seat: entry.seat,
                epochs: [before.epoch, entry.epoch],
            });
        }
    }
    Ok(steps.len())
}

/// What is wrong with a history.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Two ranks used different maps in one step.
    #[error("step {step}: ranks {seats:?} used epochs {epochs:?}")]
    Mixed {
        /// The step.
        step: u64,
        /// The two epochs.
        epochs: [u64; 2],
        /// The two ranks.
        seats: [u16; 2],
    },
    /// A rank ran a step again.
    #[error("rank {seat} ran step {step} again")]
    Repeated {
        /// The step.
        step: u64,
        /// The rank.
        seat: u16,
    },
    /// A rank went back to an older map.
    #[error("step {step}: rank {seat} went back from epoch {} to {}", epochs[0], epochs[1])]
    Reverted {
        /// The step.
        step: u64,
        /// The rank.
        seat: u16,
        /// The epochs before and after.
        epochs: [u64; 2],
    },
}
