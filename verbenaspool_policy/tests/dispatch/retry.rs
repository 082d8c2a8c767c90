//! Requests that are sent to a second upstream.

use std::time::Duration;

use verbenaspool_policy::dispatch::retry_budget::{RetryBudget, RetryLimits};

const BOUND: RetryLimits = RetryLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 92.0,
};

/// All upstreams fail. Four entries that each send what they may once more stay
/// together within what the operator allows, though none hears of the others.
#[test]
fn entries_stay_within_the_bound_together() {
    let mut budgets: Vec<RetryBudget> = (0..4).map(|_| RetryBudget::default()).collect();
    let mut repeats = 0;
    for request in 0..800_u64 {
        let now = Duration::from_millis(10 * request);
        let number = usize::from(request % 3 == 0);
        let budget = &mut budgets[number];
        budget.record_request(now, &BOUND);
        repeats += u32::from(budget.try_retry(now, &BOUND, 4));
    }
    assert!(
        f64::from(repeats) <= 0.2 * 800.0 + 92.0,
        "{repeats} repeats"
    );
    assert!(repeats > 100, "{repeats} repeats");
}

/// What was sent once more is forgotten with its window.
#[test]
fn a_budget_comes_back() {
    let mut budget = RetryBudget::default();
    let none = RetryLimits {
        ratio: 0.0,
        ..BOUND
    };
    let spend = |budget: &mut RetryBudget, now| {
        (0..200).filter(|_| budget.try_retry(now, &none, 1)).count()
    };
    let first = spend(&mut budget, Duration::ZERO);
    assert_eq!(spend(&mut budget, Duration::from_secs(5)), 0);
    assert_eq!(spend(&mut budget, Duration::from_secs(11)), first);
}
