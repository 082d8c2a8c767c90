//! Tests of the relay tree.

use std::collections::BTreeSet;

use verbenaspool_coordination::tree::{MAX_FANOUT, branches};

/// Simulates a message that the `dead` ranks don't relay. Returns the ranks that it reaches,
/// the maximum number of sends by one rank, and the number of hops.
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

/// Guards against a lead that sends the map to each of 62 ranks over a link that drops all
/// but the first 16 messages. With relays every rank receives it once, and none sends it
/// more than a few times.
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

/// A relay has crashed, so its descendants lack the map. They receive it when the lead
/// resends the message to the ranks that lack it in another order.
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
