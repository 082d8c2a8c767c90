//! How the counts of many ranks come to their lead: summed on the way.
//!
//! Load: a group of 63 or 96 ranks, each of which counts what its requests chose among
//! thousands of experts. Told by all ranks to the lead, the counts of 0.1 s fill its link
//! for a second, and what the lead decides on is older than the popularity of experts
//! lasts. So the ranks of one availability zone form circles of a few. In each round one
//! of a circle sums what the others tell it, and passes the sum on to the lead, which so
//! hears as many words as there are circles.
//!
//! A round is a few passes, which all ranks of a group count alike, so nobody has to call
//! it. Each round another one of a circle sums: one that died or froze costs its circle's
//! counts in its own rounds only.

use std::collections::{BTreeMap, BTreeSet};

/// Ranks of one circle at most.
pub const AGGREGATION_GROUP_SIZE: usize = 10;

/// Rounds of which sums may be open at once: words of one may overtake those of the one
/// before.
const MAX_OPEN_ROUNDS: usize = 3;

/// The ranks whose counts are summed together with one's own, itself included, given the
/// zone of each rank. They are in the same zone, and as many in each circle as in any
/// other of the zone, give or take one.
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

/// Who of a circle sums in a round.
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

/// What a rank tells of a round: how often each expert was chosen, from one of them on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartialCounts<'a> {
    /// The rank.
    pub rank: u16,
    /// The number of the first count.
    pub offset: usize,
    /// The counts.
    pub counts: &'a [u32],
}

/// What became of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AddOutcome {
    /// It is the first one of its round.
    First,
    /// It was added.
    Added,
    /// It was added, and nothing of the round is missing any more.
    Complete,
    /// It came when its round had just been closed, and is in no sum.
    Late,
    /// It came twice, far too late, or doesn't fit.
    Dropped,
}

/// The sum of one round.
#[derive(Debug, Default)]
struct RoundSum {
    /// Which parts are in it.
    parts: BTreeSet<(u16, usize)>,
    /// How many counts were added.
    added: usize,
    counts: Vec<u32>,
}

/// The sums of the rounds that are open.
#[derive(Debug, Default)]
pub struct RoundSums {
    open: BTreeMap<Round, RoundSum>,
    /// The last round that was closed, and the parts that came of it.
    closed: Option<(Round, BTreeSet<(u16, usize)>)>,
}

impl RoundSums {
    /// Adds a part to its round, of which so many ranks tell so many counts each.
    ///
    /// A part that came twice would count double, so it is dropped. One that comes when
    /// the sum has been passed on is to be passed on by itself.
    ///
    /// ```
    /// use verbenaspool_coordination::gather::{PartialCounts, Round, RoundSums, AddOutcome};
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

    /// Closes a round and tells its sum; none where it is closed already.
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
