//! Tests of the program's commands as operators run them.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use serde_json::Value;
use verbenaspool::settings::Settings;
use verbenaspool_transport::settings;

/// Runs the program and waits until it exits.
pub fn run_program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_verbenaspool"));
    command.args(arguments).output().unwrap()
}

/// Path of an example file.
pub fn example_path(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    root.join("examples").join(name)
}

/// Writes a file for one test.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn check_reports_valid_and_invalid_files() {
    let valid = run_program(&[
        "check",
        "--json",
        example_path("quetzal.yaml").to_str().unwrap(),
    ]);
    let report: Value = serde_json::from_slice(&valid.stdout).unwrap();
    assert_eq!(
        (valid.status.code(), &report["sound"]),
        (Some(0), &true.into())
    );
    assert_eq!(report["firm"], "quetzal");
    let text = fs::read_to_string(example_path("quetzal.yaml")).unwrap();
    let invalid = text.replacen("share: ", "share: -", 2);
    let path = write_file("invalid.yaml", &invalid);
    let output = run_program(&["check", "--json", path.to_str().unwrap()]);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        (output.status.code(), &report["sound"]),
        (Some(4), &false.into())
    );
    assert_eq!(report["problems"].as_array().unwrap().len(), 2, "{report}");
    let output = run_program(&["check", path.to_str().unwrap()]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!((output.status.code(), text.lines().count()), (Some(4), 2));
}

#[test]
fn invalid_input_has_its_exit_code_and_message() {
    let path = write_file("entry.yaml", "firm: quetzal\nname: a\nlisen: 127.0.0.1:1\n");
    let output = run_program(&["run", "--settings", path.to_str().unwrap()]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(text.contains("entry.yaml:3: "), "{text}");
    assert!(text.contains("unknown field `lisen`"), "{text}");
    assert_eq!(run_program(&["run"]).status.code(), Some(2));
    assert_eq!(
        run_program(&["check", "/nonexistent.yaml"]).status.code(),
        Some(1)
    );
    let help = run_program(&["--help"]);
    let text = String::from_utf8(help.stdout).unwrap();
    assert!(text.contains("Examples:") && text.contains("Exit codes:"));
}

#[test]
fn the_example_settings_are_valid() {
    let settings: Settings = settings::load(&example_path("entry.yaml")).unwrap();
    assert_eq!(settings.options().firm.as_str(), "tidewater");
}
