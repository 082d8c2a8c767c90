//! The program's commands as operators run them.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use serde_json::Value;
use verbenaspool::settings::Settings;
use verbenaspool_transport::settings;

/// Runs the program and waits for its end.
pub fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_verbenaspool"));
    command.args(arguments).output().unwrap()
}

/// A file of the examples.
pub fn example(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    root.join("examples").join(name)
}

/// A file with this text, for one test.
pub fn written(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn check_tells_what_is_sound_and_what_is_not() {
    let sound = run(&["check", "--json", example("quetzal.yaml").to_str().unwrap()]);
    let told: Value = serde_json::from_slice(&sound.stdout).unwrap();
    assert_eq!(
        (sound.status.code(), &told["sound"]),
        (Some(0), &true.into())
    );
    assert_eq!(told["firm"], "quetzal");
    let text = fs::read_to_string(example("quetzal.yaml")).unwrap();
    let wrong = text.replacen("share: ", "share: -", 2);
    let path = written("wrong.yaml", &wrong);
    let wrong = run(&["check", "--json", path.to_str().unwrap()]);
    let told: Value = serde_json::from_slice(&wrong.stdout).unwrap();
    assert_eq!(
        (wrong.status.code(), &told["sound"]),
        (Some(4), &false.into())
    );
    assert_eq!(told["problems"].as_array().unwrap().len(), 2, "{told}");
    let wrong = run(&["check", path.to_str().unwrap()]);
    let words = String::from_utf8(wrong.stderr).unwrap();
    assert_eq!((wrong.status.code(), words.lines().count()), (Some(4), 2));
}

#[test]
fn wrong_settings_and_command_lines_are_told_apart() {
    let path = written("entry.yaml", "firm: quetzal\nname: a\nlisen: 127.0.0.1:1\n");
    let run_wrong = run(&["run", "--settings", path.to_str().unwrap()]);
    let words = String::from_utf8(run_wrong.stderr).unwrap();
    assert_eq!(run_wrong.status.code(), Some(2));
    assert!(words.contains("entry.yaml:3: "), "{words}");
    assert!(words.contains("unknown field `lisen`"), "{words}");
    assert_eq!(run(&["run"]).status.code(), Some(2));
    assert_eq!(run(&["check", "/nonexistent.yaml"]).status.code(), Some(1));
    let help = run(&["--help"]);
    let words = String::from_utf8(help.stdout).unwrap();
    assert!(words.contains("Examples:") && words.contains("Exit codes:"));
}

#[test]
fn the_example_settings_can_be_taken() {
    let settings: Settings = settings::load(&example("entry.yaml")).unwrap();
    assert_eq!(settings.options().firm.as_str(), "tidewater");
}
