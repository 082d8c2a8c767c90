use std::time::Duration;

use super::Progress;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Progress after the given number of consecutive passes.
fn progress_after(count: u64, pass_ms: u64) -> (Progress, Duration) {
    let mut progress = Progress::default();
    for step in 1..=count {
        progress.observe(ms(step * pass_ms), step, true);
    }
    (progress, ms(count * pass_ms))
}

/// Guards against requests being sent to a stalled group that reports itself complete.
#[test]
fn a_group_without_passes_is_stalled_until_one_begins() {
    let (mut progress, mut now) = progress_after(50, 60);
    for _ in 0..7 {
        now += ms(50);
        progress.observe(now, 50, true);
        assert!(!progress.is_stalled(now));
    }
    now += ms(60);
    assert!(progress.is_stalled(now));
    progress.observe(now, 51, true);
    assert!(!progress.is_stalled(now));
}

/// Guards against an idle service being mistaken for a stalled one.
#[test]
fn an_idle_group_is_never_stalled() {
    let (mut progress, now) = progress_after(50, 60);
    progress.observe(now + ms(10), 50, false);
    progress.observe(now + ms(60_000), 50, false);
    progress.observe(now + ms(60_050), 50, true);
    assert!(!progress.is_stalled(now + ms(60_060)));
}

/// Guards against a group with a slow rank being excluded from requests between its
/// passes.
#[test]
fn a_group_with_long_passes_is_not_stalled() {
    let (mut progress, mut now) = progress_after(50, 60);
    let mut stalls = 0;
    for step in 51..80 {
        for _ in 0..14 {
            now += ms(50);
            progress.observe(now, step, true);
            stalls += u32::from(progress.is_stalled(now));
        }
    }
    assert!(stalls <= 16, "{stalls} of 406 readings");
    assert!(!progress.is_stalled(now + ms(700)));
}

/// A restarted rank counts its passes from the beginning.
#[test]
fn a_restarted_rank_is_not_stalled() {
    let (mut progress, now) = progress_after(50, 60);
    progress.observe(now + ms(5_000), 1, true);
    assert!(!progress.is_stalled(now + ms(5_100)));
}
