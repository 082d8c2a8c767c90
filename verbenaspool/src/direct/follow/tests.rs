use std::time::Duration;

use verbenaspool_platform::store::WATCH_TIMEOUT_MARGIN;

use super::wait::{BATCH_INTERVAL, MAX_BATCH_INTERVAL, next_batch_interval, watch_wait};

/// How long after a disturbance an entry must have what the store accepted 2 s before.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// How long it takes until others have what an entry has read: a digest, the delay before a fetch from
/// another zone, and the fetch.
const PEER_TIME: Duration = Duration::from_millis(500);

/// The limit of the store.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The waits of all watches of a fleet.
fn waits(watchers: usize, random: f32) -> impl Iterator<Item = Duration> {
    (0..watchers).map(move |rank| watch_wait(rank, watchers, random))
}

/// Guards against costs that grow with the number of entries: with 18 entries that each renew
/// two watches every 3 s, calls to the store cost as much as all instances. Many entries
/// together renew watches hardly more often than a few.
#[test]
fn watches_of_many_entries_are_renewed_as_often_as_those_of_few() {
    let renewals_per_second = |watchers| -> f64 {
        let waits = waits(watchers, 0.5);
        waits.map(|wait| 1.0 / wait.as_secs_f64()).sum()
    };
    assert!(renewals_per_second(4) <= 1.6);
    assert!(renewals_per_second(11) <= renewals_per_second(4) * 1.01);
    assert!(renewals_per_second(22) <= 2.0);
    for draw in [0.0, 0.5, 1.0] {
        assert!(waits(22, draw).all(|wait| wait <= MAX_WAIT));
    }
}

/// Guards against entries that start at the same time and keep renewing their watches at the
/// same time.
#[test]
fn watch_renewals_are_spread() {
    let (first, last) = (watch_wait(5, 18, 0.0), watch_wait(5, 18, 1.0));
    assert!(last > first + Duration::from_secs(2));
}

/// A change ends the watches of all entries at the same time, and directly after it all
/// connections to the store go silent. Guards against entries that notice only when the change after
/// that should be in force, also if the entry that comes first is lost.
#[test]
fn two_entries_give_up_silent_watches_in_time_for_all() {
    for watchers in [1, 2, 4, 6, 22] {
        for draw in [0.0, 0.5, 1.0] {
            for wait in waits(watchers, draw).take(2) {
                assert!(wait + WATCH_TIMEOUT_MARGIN + PEER_TIME < STABLE_TIME);
            }
        }
    }
}

/// 200 upstreams register within 3 s while 60 entries watch. Guards against a watch per
/// change, each of which costs 60 calls. A change after a quiet time isn't delayed more.
#[test]
fn bursts_of_changes_are_batched() {
    let (mut interval, mut elapsed, mut watches) = (BATCH_INTERVAL, Duration::ZERO, 0);
    while elapsed < Duration::from_secs(3) {
        watches += 1;
        interval = next_batch_interval(interval, Duration::from_millis(5), 60);
        elapsed += interval;
    }
    assert!(watches <= 8, "{watches}");
    assert!(interval <= MAX_BATCH_INTERVAL);
    assert_eq!(
        next_batch_interval(interval, Duration::from_secs(1), 60),
        BATCH_INTERVAL
    );
    assert_eq!(
        next_batch_interval(BATCH_INTERVAL, Duration::ZERO, 1),
        BATCH_INTERVAL,
        "a single entry makes few calls"
    );
}
