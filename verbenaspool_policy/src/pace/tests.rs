use super::Pace;

#[test]
fn long_attempts_weigh_more() {
    let mut pace = Pace::default();
    assert_eq!(pace.mean(), None);
    pace.record(1.0, 10.0);
    pace.record(10.0, 1_000.0);
    let mean = pace.mean().expect("two attempts are known");
    assert!((0.01..0.012).contains(&mean), "{mean}");
    pace.reset();
    assert_eq!(pace.mean(), None);
}
