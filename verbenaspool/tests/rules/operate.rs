//! Tests of applying files and reading status with a simulated platform.

use std::{
    fs,
    net::SocketAddr,
    process::Output,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use serde_json::Value;
use verbenaspool_standin::platform::Platform;
use verbenaspool_transport::runtime;

use crate::commands::{example_path, run_program, write_file};

/// A platform on its own thread, as the test blocks while a command runs.
struct PlatformServer {
    address: SocketAddr,
    down: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

impl PlatformServer {
    fn start() -> Self {
        let (sender, receiver) = mpsc::channel();
        let (down, stop) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let (is_down, stop_requested) = (Arc::clone(&down), Arc::clone(&stop));
        thread::spawn(move || {
            runtime::run(async move {
                let platform = Platform::start().unwrap();
                platform.allow("token", "quetzal");
                sender.send(platform.address()).unwrap();
                while !AtomicBool::load(&stop_requested, Ordering::Relaxed) {
                    let down = is_down.load(Ordering::Relaxed);
                    platform.set(|faults| faults.down = down);
                    monoio::time::sleep(Duration::from_millis(5)).await;
                }
            })
        });
        let address = receiver.recv().unwrap();
        Self {
            address,
            down,
            stop,
        }
    }

    /// Runs a command with settings for this platform; returns its exit code and JSON output.
    fn run_json(&self, firm: &str, arguments: &[&str]) -> (Option<i32>, Value) {
        // Tests run in parallel, each with its own platform.
        let settings = write_file(
            &format!("operator-{firm}-{}.yaml", self.address.port()),
            &format!(
                "firm: {firm}\nplatform: {{address: '{}', token: token, timeout_ms: 300}}\n",
                self.address
            ),
        );
        let settings = settings.to_str().unwrap();
        let (name, rest) = arguments.split_first().unwrap();
        let command = [*name, "--json", "--settings", settings];
        let output: Output = run_program(&[&command, rest].concat());
        let report = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
        (output.status.code(), report)
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

#[test]
fn an_apply_requires_the_expected_version() {
    let server = PlatformServer::start();
    let file = example_path("quetzal.yaml");
    let file = file.to_str().unwrap();
    let text = fs::read_to_string(file).unwrap();
    let changed = write_file("changed.yaml", &text.replacen("share: 1", "share: 2", 1));
    let changed = changed.to_str().unwrap();
    let table: [(&str, &[&str], i32); 7] = [
        ("the first file", &["apply", "--expect", "0", file], 0),
        ("the same file again", &["apply", file], 0),
        (
            "an unexpected version",
            &["apply", "--expect", "7", changed],
            5,
        ),
        (
            "the expected version",
            &["apply", "--expect", "1", changed],
            0,
        ),
        ("an outdated version", &["apply", "--expect", "1", file], 5),
        ("a file of another firm", &["apply", "FIRM"], 4),
        ("an apply with a given id", &["apply", "--id", "a", file], 0),
    ];
    let other_firm = example_path("tidewater.yaml");
    for (case, arguments, code) in table {
        let arguments: Vec<&str> = arguments
            .iter()
            .map(|word| match *word {
                "FIRM" => other_firm.to_str().unwrap(),
                word => word,
            })
            .collect();
        let (exit_code, report) = server.run_json("quetzal", &arguments);
        assert_eq!(exit_code, Some(code), "{case}: {report}");
    }
    let (exit_code, report) = server.run_json("quetzal", &["status"]);
    assert_eq!(
        (exit_code, &report["accepted"]),
        (Some(0), &3.into()),
        "{report}"
    );
    assert_eq!(report["apply"], "a");
    // No instance runs, so the file must not be reported as active.
    assert_eq!(report["in_force"], false);
}

#[test]
fn an_apply_during_an_outage_changes_nothing() {
    // Guards against a partly applied file: an apply gave up during an outage, and what it
    // had already written took effect.
    let server = PlatformServer::start();
    let file = example_path("quetzal.yaml");
    let file = file.to_str().unwrap();
    server.down.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(100));
    let (exit_code, report) = server.run_json("quetzal", &["apply", "--timeout-ms", "600", file]);
    assert_eq!(exit_code, Some(1), "{report}");
    server.down.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(100));
    let (exit_code, report) = server.run_json("quetzal", &["status"]);
    assert_eq!(
        (exit_code, &report["accepted"]),
        (Some(0), &0.into()),
        "{report}"
    );
}
