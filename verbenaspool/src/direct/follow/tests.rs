use std::time::Duration;

use super::{
    BATCH_INTERVAL, MAX_BATCH_INTERVAL, MAX_WATCH_WAIT, WATCH_TIMEOUT, next_batch_interval,
    watch_wait,
};

/// Guards against costs that grow with the number of entries: with 18 entries that each renew
/// two watches every 3 s, calls to the store cost as much as all instances. Many entries
/// together renew watches as often as a few, and a single entry, which has no peers to learn
/// from, doesn't wait longer.
#[test]
fn watches_of_many_entries_are_renewed_as_often_as_those_of_few() {
    for draw in [0.0, 0.5, 1.0] {
        assert!(watch_wait(1, draw) <= WATCH_TIMEOUT);
        assert!(watch_wait(4, draw) <= WATCH_TIMEOUT);
        assert!(watch_wait(1_000, draw) <= MAX_WATCH_WAIT);
    }
    let renewals_per_second =
        |entries: u8| f64::from(entries) / watch_wait(entries.into(), 0.5).as_secs_f64();
    assert!(renewals_per_second(16) <= renewals_per_second(4) * 1.01);
}

/// Guards against entries that start at the same time and keep renewing their watches at the
/// same time. No entry would then detect a connection that dies after a renewal for long.
#[test]
fn watch_renewals_are_spread() {
    let (first, last) = (watch_wait(18, 0.0), watch_wait(18, 1.0));
    assert!(last > first + Duration::from_secs(2));
}

/// A change ends the watches of 60 entries at the same time, and directly after it all
/// connections to the store die. Guards against all entries detecting this only at the end
/// of the same long wait. One of them must detect it soon.
#[test]
fn watches_that_start_together_end_at_different_times() {
    let shortest = (0..60_u8)
        .map(|number| watch_wait(60, f32::from(number) / 59.0))
        .min();
    assert!(shortest < Some(WATCH_TIMEOUT));
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
