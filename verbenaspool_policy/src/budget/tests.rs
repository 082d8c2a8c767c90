use super::{RetryBudget, try_spend};

#[test]
fn a_retry_needs_both_budgets() {
    let (mut customer, mut service) = (RetryBudget::new(10.0), RetryBudget::new(1.0));
    assert!(try_spend(&mut customer, &mut service));
    service.earn(0.25);
    assert!(!try_spend(&mut customer, &mut service));
    (0..3).for_each(|_| service.earn(0.25));
    assert!(try_spend(&mut customer, &mut service));
}
