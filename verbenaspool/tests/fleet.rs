//! The exchange between the entries of a fleet, under simulated time.

#[path = "../benches/fleet/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::{Fleet, subset_sizes};

/// Numbers of entries: a small deployment, the largest in which all exchange digests, the
/// smallest in which they don't, and a fleet.
const SIZES: [usize; 4] = [12, 65, 66, 231];

/// Starts a fleet, and runs it until its entries know each other.
fn start(entries: usize) -> Fleet {
    let mut fleet = Fleet::start(entries, 5);
    fleet.run_until(Duration::from_secs(8));
    fleet
}

/// Guards against a change that some entries miss, or learn of seconds later, because only a
/// few entries watch the store. A change must be active everywhere within 5 s.
#[test]
fn a_change_reaches_all_entries_through_few_watchers() {
    for entries in SIZES {
        let mut fleet = start(entries);
        let watching = fleet.change_registry(7);
        assert!((1..=10).contains(&watching), "{entries}: {watching}");
        fleet.run_until(fleet.now + Duration::from_secs(2));
        assert!(fleet.all_know(7), "{entries}");
    }
}

/// Guards against limits that are exceeded many times as all entries of a fleet start at once
/// and know few others. Each uses 0.7 of its share.
#[test]
fn shares_of_entries_that_start_at_once_stay_within_the_limit() {
    for entries in SIZES {
        let fleet = start(entries);
        assert!(
            fleet.max_share_sum <= 1.0 / 0.7,
            "{entries}: {}",
            fleet.max_share_sum
        );
        assert!(
            fleet.max_share_sum > 0.9,
            "{entries}: {}",
            fleet.max_share_sum
        );
    }
}

/// Guards against requests of a dead entry that count as in flight for ten seconds.
#[test]
fn a_dead_entry_is_out_of_all_sums_within_three_seconds() {
    for entries in SIZES {
        let mut fleet = start(entries);
        fleet.kill(entries / 2);
        fleet.run_until(fleet.now + Duration::from_secs(3));
        assert!(!fleet.is_counted(entries / 2), "{entries}");
    }
}

/// Guards against bytes between zones that grow with the square of the fleet.
#[test]
fn bytes_between_zones_of_an_entry_dont_grow_with_the_fleet() {
    let bytes = |entries: usize| {
        let mut fleet = start(entries);
        fleet.take_traffic();
        fleet.run_until(fleet.now + Duration::from_secs(5));
        fleet.take_traffic().bytes[1] / entries as u64
    };
    let [few, many] = [60, 240].map(bytes);
    assert!(many < few, "{many} of 240 entries, {few} of 60");
}

/// Guards against subscriptions, and statuses of ranks, that grow with entries times ranks.
#[test]
fn an_entry_uses_a_bounded_number_of_upstreams() {
    for (upstreams, used) in [(60, 60), (192, 192), (768, 192), (12_000, 192)] {
        for entry in [0, 7, 230] {
            let [same_zone, other_zones] = subset_sizes(entry, upstreams);
            assert_eq!(same_zone + other_zones, used, "{upstreams}");
            assert!(other_zones >= used / 5, "{upstreams}: {other_zones}");
        }
    }
}
