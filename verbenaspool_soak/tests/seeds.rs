//! Seeds of the soak that run with the tests.

use std::process::Command;

/// Plays a seed for a few seconds.
fn play(seed: u64) {
    let soak = env!("CARGO_BIN_EXE_verbenaspool-soak");
    let folder = std::env::temp_dir().join(format!("verbenaspool-soak-{}", std::process::id()));
    let run = Command::new(soak)
        .args([
            "--seed",
            &seed.to_string(),
            "--seconds",
            "6",
            "--callers",
            "12",
        ])
        .arg("--folder")
        .arg(&folder)
        .output()
        .expect("the soak starts");
    let text = String::from_utf8_lossy(&run.stdout);
    assert!(
        run.status.success(),
        "{text}{}",
        String::from_utf8_lossy(&run.stderr)
    );
}

/// Processes are stopped, paused and killed, connections break, the store and
/// upstreams misbehave: nothing is lost that was promised.
#[test]
fn a_few_seconds_of_faults_break_no_promise() {
    play(1);
}
