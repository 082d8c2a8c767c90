use std::time::Duration;

use super::{
    BATCH_INTERVAL, MAX_BATCH_INTERVAL, MAX_WATCH_WAIT, WATCH_TIMEOUT, next_batch_interval,
    watch_wait,
};

/// With 18 entries calls to the store cost as much as all instances: each renewed its
/// two watches every 3 s. Together they need no more than a few did; one alone, which
/// hears from nobody, waits no longer than it did.
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

/// Entries that start together don't go on renewing their watches together, or a
/// connection that fell silent right after that would be found by none for long.
#[test]
fn watches_are_spread() {
    let (first, last) = (watch_wait(18, 0.0), watch_wait(18, 1.0));
    assert!(last > first + Duration::from_secs(2));
}

/// A change ends the watches of all entries in one moment, and right behind it every
/// connection to the store falls silent. Sixty entries that had begun to wait together
/// found that together, at the end of their waits; one of them should soon.
#[test]
fn watches_that_begin_together_do_not_end_together() {
    let soonest = (0..60_u8)
        .map(|number| watch_wait(60, f32::from(number) / 59.0))
        .min();
    assert!(soonest < Some(WATCH_TIMEOUT));
}

/// Two hundred upstreams register within 3 s, and sixty entries watch. Each change that
/// is taken by itself is paid for sixty times; one that comes alone isn't delayed more.
#[test]
fn changes_in_a_row_are_taken_together() {
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
        "one pays for few"
    );
}
