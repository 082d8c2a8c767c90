use super::{Budget, try_spend};

#[test]
fn a_retry_needs_both_budgets() {
    let (mut customer, mut service) = (Budget::new(10.0), Budget::new(1.0));
    assert!(try_spend(&mut customer, &mut service));
    service.earn(0.25);
    assert!(!try_spend(&mut customer, &mut service));
    (0..3).for_each(|_| service.earn(0.25));
    assert!(try_spend(&mut customer, &mut service));
}
