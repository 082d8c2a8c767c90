//! The budget for sending requests to a second upstream.

use std::time::Duration;

use verbenaspool_policy::dispatch::retry_budget::{Budget, Limits};

use crate::simulation::ms;

const LIMITS: Limits = Limits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 92.0,
};

/// Guards against entries that together exceed the operator's limits while all upstreams
/// fail. They don't know of each other's retries.
#[test]
fn entries_together_stay_within_the_limits() {
    let mut budgets: Vec<Budget> = (0..4).map(|_| Budget::default()).collect();
    let mut retries = 0;
    for request in 0..800_u64 {
        let now = Duration::from_millis(10 * request);
        let entry = usize::from(request % 3 == 0);
        let budget = &mut budgets[entry];
        budget.record_request(now, &LIMITS);
        retries += u32::from(budget.try_retry(now, &LIMITS, Some(4)));
    }
    assert!(
        f64::from(retries) <= 0.2 * 800.0 + 92.0,
        "{retries} retries"
    );
    assert!(retries > 100, "{retries} retries");
}

/// Retries no longer count once they are older than the window.
#[test]
fn retries_expire_with_their_window() {
    let mut budget = Budget::default();
    let slack_only = Limits {
        ratio: 0.0,
        ..LIMITS
    };
    let count_retries = |budget: &mut Budget, now| {
        (0..200)
            .filter(|_| budget.try_retry(now, &slack_only, Some(1)))
            .count()
    };
    let first = count_retries(&mut budget, Duration::ZERO);
    assert_eq!(count_retries(&mut budget, Duration::from_secs(5)), 0);
    assert_eq!(count_retries(&mut budget, Duration::from_secs(11)), first);
}

/// Guards against entries of a large fleet that start at the same time and each use almost
/// the whole slack, since they know few others. Retries in proportion to their own requests
/// remain.
#[test]
fn without_knowing_the_others_no_slack_is_used() {
    let (mut budget, mut retries) = (Budget::default(), 0);
    for number in 0..100 {
        budget.record_request(ms(number), &LIMITS);
        retries += u32::from(budget.try_retry(ms(number), &LIMITS, None));
    }
    assert!(f64::from(retries) <= LIMITS.ratio * 100.0, "{retries}");
    assert!(retries > 0);
}
