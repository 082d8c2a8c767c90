//! Soak seeds that run with the tests.

use std::process::Command;

/// Runs a seed for a few seconds and checks that it reports no violation.
fn run_seed(seed: u64) {
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

/// Guards against lost or repeated requests and wrong responses while processes are
/// stopped, paused and killed, connections break and the store and upstreams fail.
#[test]
fn a_few_seconds_of_faults_break_no_promise() {
    run_seed(1);
}
