use super::{Profile, Size};

/// A customer asks for 1,000 tokens and uses 10, with half of its prompts cached.
/// Without the learned ratios the estimate stays at 34 times the real work.
#[test]
fn usage_ratios_are_learned() {
    let requested = Size {
        prompt_tokens: 100,
        tokens: 1_000,
    };
    let used = Size {
        prompt_tokens: 50,
        tokens: 10,
    };
    let mut usage = Profile::default();
    let before = usage.work(&usage, requested, 0.1);
    (0..64).for_each(|_| usage.record(used, requested));
    let after = usage.work(&usage, requested, 0.1);
    assert!((before - 510.0).abs() < 0.1, "{before}");
    assert!((after - 15.0).abs() < 0.1, "{after}");
}
