//! Tests of the aggregation of expert counts: no part is counted twice or in another round.

use proptest::prelude::*;
use verbenaspool_coordination::gather::{
    AGGREGATION_GROUP_SIZE, AddOutcome, PartialCounts, Round, RoundSums, aggregation_group,
    collector,
};

const ROUND: Round = Round {
    epoch: 3,
    number: 7,
};

fn part(rank: u16, offset: usize, counts: &[u32]) -> PartialCounts<'_> {
    PartialCounts {
        rank,
        offset,
        counts,
    }
}

/// The ranks of a group in five zones.
fn zones(ranks: u16) -> Vec<(u16, u32)> {
    (0..ranks).map(|rank| (rank, u32::from(rank) % 5)).collect()
}

/// If two ranks computed different aggregation groups, one would send its counts to a rank
/// that doesn't sum them.
#[test]
fn all_members_compute_the_same_group() {
    for ranks in [1, 8, 63, 96, 128] {
        let zones = zones(ranks);
        for (rank, zone) in &zones {
            let group_members = aggregation_group(&zones, *rank);
            assert!(group_members.contains(rank) && group_members.len() <= AGGREGATION_GROUP_SIZE);
            for member in &group_members {
                assert_eq!(aggregation_group(&zones, *member), group_members);
                assert_eq!(
                    u32::from(*member) % 5,
                    *zone,
                    "traffic between zones is billed"
                );
            }
        }
    }
}

/// A crashed collector loses the counts of its aggregation group in one of as many rounds as
/// the group has ranks.
#[test]
fn each_member_collects_in_turn() {
    let group_members = aggregation_group(&zones(96), 10);
    for first in [0, 41] {
        let round = |number: usize| first + u64::try_from(number).expect("small");
        let turns = (0..group_members.len()).map(|number| collector(&group_members, round(number)));
        let mut turns: Vec<u16> = turns.map(|rank| rank.expect("a collector")).collect();
        turns.sort_unstable();
        assert_eq!(turns, group_members);
    }
    assert_eq!(collector(&[], 4), None);
}

/// Datagrams are duplicated, late, from a round long closed, or have more counts than there
/// are experts. None of these may be added to a sum.
#[test]
fn duplicate_and_invalid_parts_are_dropped() {
    let mut sums = RoundSums::default();
    assert_eq!(
        sums.add(ROUND, &part(0, 0, &[1, 2]), 2, 4),
        AddOutcome::First
    );
    assert_eq!(
        sums.add(ROUND, &part(0, 0, &[1, 2]), 2, 4),
        AddOutcome::Dropped
    );
    assert_eq!(
        sums.add(ROUND, &part(0, 3, &[1, 2]), 2, 4),
        AddOutcome::Dropped
    );
    let huge = part(0, usize::MAX, &[1, 2]);
    assert_eq!(sums.add(ROUND, &huge, 2, 4), AddOutcome::Dropped);
    assert_eq!(
        sums.add(ROUND, &part(1, 0, &[u32::MAX; 4]), 2, 4),
        AddOutcome::Added
    );
    assert_eq!(
        sums.close(ROUND),
        Some(vec![u32::MAX, u32::MAX, u32::MAX, u32::MAX])
    );
    assert_eq!(sums.close(ROUND), None);
    // Late, then duplicates, then parts of earlier rounds and epochs.
    assert_eq!(
        sums.add(ROUND, &part(0, 2, &[5, 5]), 2, 4),
        AddOutcome::Late
    );
    assert_eq!(
        sums.add(ROUND, &part(0, 2, &[5, 5]), 2, 4),
        AddOutcome::Dropped
    );
    assert_eq!(
        sums.add(ROUND, &part(0, 0, &[1, 2]), 2, 4),
        AddOutcome::Dropped
    );
    let before = Round { number: 6, ..ROUND };
    assert_eq!(
        sums.add(before, &part(1, 0, &[1]), 2, 4),
        AddOutcome::Dropped
    );
    let earlier = Round {
        epoch: 2,
        number: 99,
    };
    assert_eq!(
        sums.add(earlier, &part(1, 0, &[1]), 2, 4),
        AddOutcome::Dropped
    );
    let later = Round {
        epoch: 4,
        number: 1,
    };
    assert_eq!(sums.add(later, &part(1, 0, &[1]), 2, 4), AddOutcome::First);
}

/// A collector that is flooded with rounds that never complete keeps only a few of them.
#[test]
fn open_rounds_are_bounded() {
    let mut sums = RoundSums::default();
    for number in 0..1_000 {
        let round = Round { epoch: 1, number };
        assert_eq!(sums.add(round, &part(0, 0, &[1]), 9, 4), AddOutcome::First);
    }
    let open = (0..1_000).filter(|number| {
        let round = Round {
            epoch: 1,
            number: *number,
        };
        sums.close(round).is_some()
    });
    assert!(open.count() <= 3);
}

proptest! {
    /// In whatever order and however often parts arrive, the closed sum and the late parts
    /// contain each part once.
    #[test]
    fn each_part_counts_once(order in prop::collection::vec(0_usize..12, 0..60), close in 0_usize..60) {
        let mut sums = RoundSums::default();
        let mut seen = [false; 12];
        let (mut late, mut sum) = (0_u32, None);
        for (at, number) in order.iter().enumerate() {
            if at == close {
                sum = sums.close(ROUND);
            }
            let rank = u16::try_from(number / 3).expect("small");
            let taken = sums.add(ROUND, &part(rank, number % 3, &[1]), 4, 3);
            seen[*number] = true;
            late += u32::from(taken == AddOutcome::Late);
        }
        let rest = sums.close(ROUND);
        let total: u32 = sum.into_iter().chain(rest).flatten().sum();
        let parts = seen.iter().filter(|seen| **seen).count();
        prop_assert_eq!(usize::try_from(total + late).expect("small"), parts);
    }
}
