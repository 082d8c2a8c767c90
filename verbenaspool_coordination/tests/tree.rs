//! Messages that go from one sender to many receivers by relays.

use std::collections::BTreeSet;

use verbenaspool_coordination::tree::{MAX_FANOUT, branches};

/// The ranks that a word reaches when relays are up but for `dead` ones, the most that
/// anybody sends, and the hops that it takes.
fn reach(ranks: &[u16], dead: &BTreeSet<u16>) -> (BTreeSet<u16>, usize, usize) {
    let (mut reached, mut most, mut hops) = (BTreeSet::new(), 0, 0);
    let mut level = vec![ranks.to_vec()];
    while !level.is_empty() {
        let mut next = Vec::new();
        for ranks in level {
            let branches = branches(&ranks);
            most = most.max(branches.len());
            for branch in branches {
                if dead.contains(&branch.relay) {
                    continue;
                }
                assert!(
                    reached.insert(branch.relay),
                    "{} got it twice",
                    branch.relay
                );
                next.push(branch.descendants);
            }
        }
        level = next.into_iter().filter(|ranks| !ranks.is_empty()).collect();
        hops += 1;
    }
    (reached, most, hops)
}

/// The lead of a large group sent each of 62 ranks the map, and the link dropped all but
/// the first 16. By relays every rank gets it once, and nobody sends more than a few.
#[test]
fn every_rank_is_reached_once_in_few_hops() {
    for (size, least_hops) in [(1, 0), (2, 1), (3, 1), (9, 1), (63, 2), (128, 3), (512, 3)] {
        let ranks: Vec<u16> = (1..size).collect();
        let (reached, most, hops) = reach(&ranks, &BTreeSet::new());
        assert_eq!(reached.len(), ranks.len(), "{size} ranks");
        assert!(most <= MAX_FANOUT, "{most} sent by one of {size}");
        assert!(hops <= least_hops.max(1), "{hops} hops for {size} ranks");
    }
}

/// A relay has died. The ranks behind it lack the map, and are reached when the lead
/// repeats the word for those that lack it, in another order.
#[test]
fn a_dead_relay_is_worked_around() {
    let ranks: Vec<u16> = (1..63).collect();
    let dead = BTreeSet::from([1]);
    let (first, _, _) = reach(&ranks, &dead);
    let mut lacking: Vec<u16> = ranks.into_iter().filter(|r| !first.contains(r)).collect();
    assert!(lacking.len() > 1 && lacking.len() <= 8, "{lacking:?}");
    lacking.reverse();
    let (second, _, _) = reach(&lacking, &dead);
    let left = lacking.len() - second.len();
    assert_eq!(left, 1, "only the dead rank itself lacks it");
}
