//! Checks that all ranks of a group use the same expert map in every step.

use std::collections::BTreeMap;

/// A step run by one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The step.
    pub step: u64,
    /// The seat of the rank.
    pub seat: u16,
    /// The epoch of the expert map that the rank used.
    pub epoch: u64,
}

/// Checks the steps that the ranks of one group ran, in the order in which they ran them.
///
/// ```
/// use verbenaspool_standin::history::steps::{Entry, Violation, check};
///
/// let entry = |step, seat, epoch| Entry { step, seat, epoch };
/// let valid = [entry(1, 0, 1), entry(1, 1, 1), entry(2, 0, 2), entry(2, 1, 2)];
/// assert_eq!(check(&valid), Ok(2));
/// let invalid = [entry(1, 0, 1), entry(1, 1, 2)];
/// let mixed = Violation::Mixed { step: 1, epochs: [1, 2], seats: [0, 1] };
/// assert_eq!(check(&invalid), Err(mixed));
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

/// A step ran on a wrong map or out of order.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Two ranks used different maps in one step.
    #[error("step {step}: ranks {seats:?} used epochs {epochs:?}")]
    Mixed {
        /// The step.
        step: u64,
        /// The two epochs.
        epochs: [u64; 2],
        /// The seats of the two ranks.
        seats: [u16; 2],
    },
    /// A rank ran a step again, or an earlier one.
    #[error("rank {seat} ran step {step} again")]
    Repeated {
        /// The step.
        step: u64,
        /// The seat of the rank.
        seat: u16,
    },
    /// A rank returned to an older map.
    #[error("step {step}: rank {seat} returned from epoch {} to {}", epochs[0], epochs[1])]
    Reverted {
        /// The step.
        step: u64,
        /// The seat of the rank.
        seat: u16,
        /// The epochs before and after.
        epochs: [u64; 2],
    },
}
