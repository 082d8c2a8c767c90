use std::time::Duration;

use super::{LONGEST_WAIT, WAIT, wait};

/// With 18 entries calls to the store cost as much as all instances: each renewed its
/// two watches every 3 s. Together they need no more than a few did; one alone, which
/// hears from nobody, waits no longer than it did.
#[test]
fn watches_of_many_entries_are_renewed_as_often_as_those_of_few() {
    for draw in [0.0, 0.5, 1.0] {
        assert!(wait(1, draw) <= WAIT);
        assert!(wait(4, draw) <= WAIT);
        assert!(wait(1_000, draw) <= LONGEST_WAIT);
    }
    let a_second = |entries: u8| f64::from(entries) / wait(entries.into(), 0.5).as_secs_f64();
    assert!(a_second(16) <= a_second(4) * 1.01);
}

/// Entries that start together don't go on renewing their watches together, or a
/// connection that fell silent right behind that would be found by none for long.
#[test]
fn watches_are_spread() {
    let (first, last) = (wait(18, 0.0), wait(18, 1.0));
    assert!(last > first + Duration::from_secs(2));
}
