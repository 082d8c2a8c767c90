//! Applying files and reading status as operators do, before a platform that
//! the test plays.

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

use crate::commands::{example, run, written};

/// A platform on a thread of its own, since commands are waited for.
struct Server {
    address: SocketAddr,
    down: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

impl Server {
    fn start() -> Self {
        let (tell, told) = mpsc::channel();
        let (down, stop) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let (is_down, stopped) = (Arc::clone(&down), Arc::clone(&stop));
        thread::spawn(move || {
            runtime::run(async move {
                let platform = Platform::start().unwrap();
                platform.allow("token", "quetzal");
                tell.send(platform.address()).unwrap();
                while !AtomicBool::load(&stopped, Ordering::Relaxed) {
                    let down = is_down.load(Ordering::Relaxed);
                    platform.set(|faults| faults.down = down);
                    monoio::time::sleep(Duration::from_millis(5)).await;
                }
            })
        });
        let address = told.recv().unwrap();
        Self {
            address,
            down,
            stop,
        }
    }

    /// Runs a command with this server's settings and tells its exit code and JSON.
    fn command(&self, firm: &str, arguments: &[&str]) -> (Option<i32>, Value) {
        // Tests run side by side, each before a server of its own.
        let settings = written(
            &format!("operator-{firm}-{}.yaml", self.address.port()),
            &format!(
                "firm: {firm}\nplatform: {{address: '{}', token: token, timeout_ms: 300}}\n",
                self.address
            ),
        );
        let settings = settings.to_str().unwrap();
        let (name, rest) = arguments.split_first().unwrap();
        let head = [*name, "--json", "--settings", settings];
        let output: Output = run(&[&head, rest].concat());
        let told = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
        (output.status.code(), told)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

#[test]
fn operators_apply_race_and_read_back() {
    let server = Server::start();
    let file = example("quetzal.yaml");
    let file = file.to_str().unwrap();
    let text = fs::read_to_string(file).unwrap();
    let other = written("other.yaml", &text.replacen("share: 1", "share: 2", 1));
    let other = other.to_str().unwrap();
    let table: [(&str, &[&str], i32); 7] = [
        ("the first file", &["apply", "--expect", "0", file], 0),
        ("the same again", &["apply", file], 0),
        ("a lost race", &["apply", "--expect", "7", other], 5),
        ("the right version", &["apply", "--expect", "1", other], 0),
        ("the other's turn", &["apply", "--expect", "1", file], 5),
        ("a file of the other firm", &["apply", "FIRM"], 4),
        (
            "an apply settled by its id",
            &["apply", "--id", "a", file],
            0,
        ),
    ];
    let stranger = example("tidewater.yaml");
    for (case, arguments, code) in table {
        let arguments: Vec<&str> = arguments
            .iter()
            .map(|word| match *word {
                "FIRM" => stranger.to_str().unwrap(),
                word => word,
            })
            .collect();
        let (ended, told) = server.command("quetzal", &arguments);
        assert_eq!(ended, Some(code), "{case}: {told}");
    }
    let (ended, told) = server.command("quetzal", &["status"]);
    assert_eq!((ended, &told["accepted"]), (Some(0), &3.into()), "{told}");
    assert_eq!(told["apply"], "a");
    // No instance runs, so nothing is in force, and status must say so.
    assert_eq!(told["in_force"], false);
}

#[test]
fn an_apply_in_an_outage_is_refused_whole() {
    // An operator's file is half in force after an outage: the apply gave up in
    // the middle, and what it had written counted.
    let server = Server::start();
    let file = example("quetzal.yaml");
    let file = file.to_str().unwrap();
    server.down.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(100));
    let (ended, told) = server.command("quetzal", &["apply", "--timeout-ms", "600", file]);
    assert_eq!(ended, Some(1), "{told}");
    server.down.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(100));
    let (ended, told) = server.command("quetzal", &["status"]);
    assert_eq!((ended, &told["accepted"]), (Some(0), &0.into()), "{told}");
}
