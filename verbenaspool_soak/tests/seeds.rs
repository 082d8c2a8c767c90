//! Soak seeds that run with the tests.

use std::process::Command;

/// Runs the soak for a few seconds and checks that it reports no violation.
fn run_soak(options: &str) {
    let soak = env!("CARGO_BIN_EXE_verbenaspool-soak");
    let folder = std::env::temp_dir().join(format!("verbenaspool-soak-{}", std::process::id()));
    let run = Command::new(soak)
        .args(options.split_whitespace())
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
    run_soak("--seed 1 --seconds 6 --callers 12");
}

/// Guards against entries that send to an upstream which left as all entries were restarted one
/// after the other, with first listings of different ages.
#[test]
fn rolling_restarts_hide_no_departure() {
    run_soak(
        "--seed 3 --seconds 12 --faults 15 --pause-ms 4000 --processes 8 --callers 20 \
         --crashing 0 --sharing 0",
    );
}

/// Guards against lost changes and requests to upstreams that left, while the store comes back from
/// older copies and has entries that can't be read, beside changes, departures and kills.
#[test]
fn a_store_that_comes_back_from_copies_breaks_no_promise() {
    run_soak(
        "--seed 5 --seconds 12 --faults 6,8,10,14 --store-faults --pause-ms 500 --callers 12 \
         --crashing 0 --sharing 0",
    );
}

/// Guards against requests to upstreams that left, by entries that missed their leaving because some
/// watches outlived the loss of the store's history.
#[test]
fn copies_that_differ_hide_no_departure() {
    run_soak(
        "--seed 9301 --seconds 16 --faults 28 --pause-ms 3500 --processes 15 \
         --zones 3 --callers 60 --crashing 0 --sharing 0 --slow 0 --competing 0",
    );
}

/// Guards against configurations that come in force too late, and requests to upstreams that left, because
/// all connections to the store went silent or all entries started from outdated listings just before.
#[test]
fn silent_connections_delay_no_change() {
    run_soak(
        "--seed 9902 --seconds 16 --faults 30,31,32 --pause-ms 5000 --processes 4 --zones 3 \
         --callers 12 --crashing 0 --sharing 0 --slow 0 --competing 0",
    );
}
