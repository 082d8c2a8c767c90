use super::{Profile, Size};

/// A customer that always asks for 1,000 tokens and needs 10, with half of its
/// prompts cached.
#[test]
fn habits_are_learned() {
    let asked = Size {
        prompt_tokens: 100,
        tokens: 1_000,
    };
    let done = Size {
        prompt_tokens: 50,
        tokens: 10,
    };
    let mut habit = Profile::default();
    let before = habit.work(&habit, asked, 0.1);
    (0..64).for_each(|_| habit.learn(done, asked));
    let after = habit.work(&habit, asked, 0.1);
    assert!((before - 510.0).abs() < 0.1, "{before}");
    assert!((after - 15.0).abs() < 0.1, "{after}");
}
