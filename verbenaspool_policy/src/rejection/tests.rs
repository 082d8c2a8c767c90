use std::time::Duration;

use super::retry_after;
use crate::decision::Reason;

#[test]
fn retry_times_are_bounded() {
    let table = [
        (Reason::Late, 4.0, 0.0, 4_000),
        (Reason::Late, 4.0, 1.0, 6_000),
        (Reason::Displaced, 0.0, 1.0, 100),
        (Reason::QueueFull, f64::INFINITY, 0.0, 60_000),
        (Reason::Expired, f64::NAN, 0.0, 60_000),
        (Reason::NoUpstream, 50.0, 0.0, 2_000),
        (Reason::NoRetry, 0.0, 0.5, 2_500),
    ];
    for (reason, wait_seconds, random, ms) in table {
        let actual = retry_after(reason, wait_seconds, random);
        assert_eq!(
            actual,
            Duration::from_millis(ms),
            "{reason:?} {wait_seconds}"
        );
    }
}
