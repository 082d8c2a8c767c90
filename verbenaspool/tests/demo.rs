//! Runs the demo as the README describes it. None of the system's guarantees may be
//! violated in it.

use std::{path::Path, process::Command};

use serde_json::Value;

/// Path of the demo program, which cargo builds with the tests.
fn demo_program() -> std::path::PathBuf {
    let bin = Path::new(env!("CARGO_BIN_EXE_verbenaspool"));
    let path = bin.with_file_name("examples").join("demo");
    assert!(path.exists(), "build the examples first");
    path
}

#[test]
fn the_demo_violates_no_guarantee() {
    let output = Command::new(demo_program()).arg("--json").output();
    let output = output.expect("the demo starts");
    let text = String::from_utf8(output.stdout).expect("the report is text");
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{log}");
    let line = text.lines().last().expect("a last line");
    let report: Value = serde_json::from_str(line).expect("the last line is JSON");
    let count = |key: &str| report[key].as_u64().unwrap_or_else(|| panic!("no {key}"));
    for violation in [
        "wrong_answers",
        "duplicate_writes",
        "false_not_run",
        "steps_on_mixed_maps",
    ] {
        assert_eq!(count(violation), 0, "{violation} in {line}");
    }
    let sum = count("whole") + count("not_run") + count("unknown");
    assert_eq!(count("requests"), sum);
    assert!(count("whole") > 0, "{line}");
}
