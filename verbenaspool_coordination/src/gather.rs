//! Aggregates the expert counts of many ranks on their way to the lead.
//!
//! Load: a group of 63 or 96 ranks, each of which counts how often its requests chose each
//! of thousands of experts. If all ranks sent these counts to the lead, those of 0.1 s would
//! fill its link for a second, and the lead would decide on data older than the popularity
//! of experts lasts. The ranks of an availability zone are therefore divided into small
//! aggregation groups. In each round one rank, the collector, sums the counts of its group
//! and sends the sum to the lead, which receives one sum per aggregation group.
//!
//! A round is a few passes. All ranks count passes alike, so rounds need no coordination.
//! The collector changes each round, so a rank that crashed or froze loses the counts of
//! its aggregation group only in its own rounds.

use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of ranks in an aggregation group.
pub const AGGREGATION_GROUP_SIZE: usize = 10;

/// Maximum number of rounds with an open sum. Messages of a round may overtake those of the
/// previous one.
const MAX_OPEN_ROUNDS: usize = 3;

/// Returns the ranks of a rank's aggregation group, itself included, given the zone of each
/// rank. They are in the same zone, and the sizes of a zone's aggregation groups differ by
/// one at most.
///
/// ```
/// use verbenaspool_coordination::gather::aggregation_group;
///
/// let zones: Vec<(u16, u32)> = (0..12).map(|rank| (rank, 7)).collect();
/// assert_eq!(aggregation_group(&zones, 3), [0, 1, 2, 3, 4, 5]);
/// ```
#[must_use]
pub fn aggregation_group(zones: &[(u16, u32)], rank: u16) -> Vec<u16> {
    let zone = zones.iter().find(|(other, _)| *other == rank);
    let Some(&(_, zone)) = zone else {
        return vec![rank];
    };
    let zone_members = zones.iter().filter(|(_, other)| *other == zone);
    let mut zone_members: Vec<u16> = zone_members.map(|(rank, _)| *rank).collect();
    zone_members.sort_unstable();
    let group_count = zone_members.len().div_ceil(AGGREGATION_GROUP_SIZE);
    let group_index = |place: usize| place * group_count / zone_members.len();
    let own = zone_members
        .iter()
        .position(|member| *member == rank)
        .map(group_index);
    let zone_members = zone_members.iter().enumerate();
    let zone_members = zone_members.filter(|(place, _)| Some(group_index(*place)) == own);
    zone_members.map(|(_, member)| *member).collect()
}

/// The rank of an aggregation group that sums the counts of a round.
#[must_use]
pub fn collector(group: &[u16], round: u64) -> Option<u16> {
    let count = u64::try_from(group.len()).ok()?;
    let place = usize::try_from(round.checked_rem(count)?).ok()?;
    group.get(place).copied()
}

/// A round of a group's epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Round {
    /// The epoch.
    pub epoch: u64,
    /// The round's number.
    pub number: u64,
}

/// A contiguous part of a rank's counts in a round, which say how often each expert was
/// chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartialCounts<'a> {
    /// The rank.
    pub rank: u16,
    /// The index of the first count.
    pub offset: usize,
    /// The counts.
    pub counts: &'a [u32],
}

/// Result of adding a part to its round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AddOutcome {
    /// It was added as the first part of its round.
    First,
    /// It was added.
    Added,
    /// It was added and completes the round.
    Complete,
    /// It arrived just after its round was closed and isn't in the sum.
    Late,
    /// It is a duplicate, far too late, or out of range.
    Dropped,
}

/// The sum of one round.
#[derive(Debug, Default)]
struct RoundSum {
    /// The rank and offset of each added part.
    parts: BTreeSet<(u16, usize)>,
    /// The number of counts added.
    added: usize,
    counts: Vec<u32>,
}

/// Sums of the open rounds.
#[derive(Debug, Default)]
pub struct RoundSums {
    open: BTreeMap<Round, RoundSum>,
    /// The last closed round and the parts received of it.
    closed: Option<(Round, BTreeSet<(u16, usize)>)>,
}

impl RoundSums {
    /// Adds a part to its round, in which `ranks` ranks send `counts` counts each.
    ///
    /// A duplicate is dropped, or it would be counted twice. The caller has to forward a late
    /// part on its own, since the sum has already been sent.
    ///
    /// ```
    /// use verbenaspool_coordination::gather::{AddOutcome, PartialCounts, Round, RoundSums};
    ///
    /// let (mut sums, round) = (RoundSums::default(), Round { epoch: 1, number: 4 });
    /// let part = |rank| PartialCounts { rank, offset: 0, counts: &[3, 4] };
    /// assert_eq!(sums.add(round, &part(0), 2, 2), AddOutcome::First);
    /// assert_eq!(sums.add(round, &part(0), 2, 2), AddOutcome::Dropped);
    /// assert_eq!(sums.add(round, &part(1), 2, 2), AddOutcome::Complete);
    /// assert_eq!(sums.close(round), Some(vec![6, 8]));
    /// ```
    pub fn add(
        &mut self,
        round: Round,
        part: &PartialCounts<'_>,
        ranks: usize,
        counts: usize,
    ) -> AddOutcome {
        let end = part.offset.saturating_add(part.counts.len());
        if end > counts {
            return AddOutcome::Dropped;
        }
        if let Some((closed, parts)) = &mut self.closed {
            let late = round == *closed && parts.insert((part.rank, part.offset));
            if late {
                return AddOutcome::Late;
            }
            if round <= *closed {
                return AddOutcome::Dropped;
            }
        }
        let first = !self.open.contains_key(&round);
        if first && self.open.len() >= MAX_OPEN_ROUNDS {
            self.open.pop_first();
        }
        let sum = self.open.entry(round).or_default();
        if !sum.parts.insert((part.rank, part.offset)) {
            return AddOutcome::Dropped;
        }
        sum.counts.resize(counts, 0);
        for (sum, count) in sum.counts[part.offset..end].iter_mut().zip(part.counts) {
            *sum = sum.saturating_add(*count);
        }
        sum.added += part.counts.len();
        if sum.added >= ranks.saturating_mul(counts) {
            AddOutcome::Complete
        } else if first {
            AddOutcome::First
        } else {
            AddOutcome::Added
        }
    }

    /// Closes a round and returns its sum, or `None` if the round isn't open.
    pub fn close(&mut self, round: Round) -> Option<Vec<u32>> {
        let sum = self.open.remove(&round)?;
        if self
            .closed
            .as_ref()
            .is_none_or(|(closed, _)| *closed < round)
        {
            self.closed = Some((round, sum.parts));
        }
        Some(sum.counts)
    }
}
