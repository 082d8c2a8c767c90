use super::{Budget, spend};

#[test]
fn a_retry_needs_both_budgets() {
    let (mut own, mut common) = (Budget::new(10.0), Budget::new(1.0));
    assert!(spend(&mut own, &mut common));
    common.earn(0.25);
    assert!(!spend(&mut own, &mut common));
    (0..3).for_each(|_| common.earn(0.25));
    assert!(spend(&mut own, &mut common));
}
