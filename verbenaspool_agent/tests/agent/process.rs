//! Tests of the program: start, kill, graceful shutdown and restart.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use serde_json::Value;

use verbenaspool_protocol::{outcome::Outcome, problem::Code, settle::Answer};
use verbenaspool_standin::engine::Config;
use verbenaspool_transport::http::client::Error;

use crate::rig::{Rig, completion, engine, run, service};

/// A running agent process, killed on drop.
struct Process {
    child: Child,
    rig: Rig,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{name}-{}.yaml", std::process::id()));
    std::fs::write(&path, text).expect("a settings file");
    path
}

fn command(action: &str, settings: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_verbenaspool-agent"));
    command.arg(action).arg("--settings").arg(settings);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

impl Process {
    /// Starts the program and reads its addresses from its log.
    fn start(name: &str, upstream: SocketAddr, kind: &str, deadline: u64) -> Self {
        let text = format!(
            "firm: tidewater\ninstance: loft-1\n\
             listen: 127.0.0.1:0\n\
             control: 127.0.0.1:0\n\
             upstream: {{address: '{upstream}', kind: {kind}}}\n\
             drain: {{deadline_seconds: {deadline}, linger_ms: 50}}\n\
             log: {{form: json}}\n"
        );
        let mut child = command("run", &settings_file(name, &text))
            .spawn()
            .expect("a process");
        let log = child.stdout.take().expect("its log");
        let started = BufReader::new(log)
            .lines()
            .map_while(Result::ok)
            .filter_map(|line| serde_json::from_str::<Value>(&line).ok())
            .find(|line| line["msg"] == "agent started")
            .expect("the log message of the start");
        let address = |key: &str| started[key].as_str().and_then(|text| text.parse().ok());
        let rig = Rig::attach(
            address("address").expect("an address"),
            address("control").expect("an address"),
            started["agent"].as_u64().expect("a number"),
        );
        Self { child, rig }
    }

    fn terminate(&self) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits until the process exits, without blocking the event loop.
    async fn wait(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().expect("the status") {
                return status;
            }
            self.rig.clock.sleep(Duration::from_millis(5)).await;
        }
    }
}

#[test]
fn killed_before_the_engine_started() {
    // Guards against an unknown outcome if the agent was killed before a request reached
    // it: the entry must see that the request was not sent, and can retry elsewhere.
    run(async {
        let (address, parts) = engine(Config::default());
        let mut process = Process::start("before", address, "engine", 5);
        process.child.kill().unwrap();
        process.wait().await;
        let sent = process.rig.complete("Net", 3).await;
        assert!(matches!(sent, Err(Error::NotSent(_))), "{sent:?}");
        assert_eq!(parts.batch.running(), 0);
    });
}

#[test]
fn killed_after_the_engine_started() {
    // The agent is killed between two tokens. Guards against a stream that looks complete,
    // an engine that keeps running, and a new agent process that reports a status for an
    // attempt of its predecessor.
    run(async {
        let (address, parts) = engine(Config::default());
        let mut process = Process::start("after", address, "engine", 5);
        let rig = &process.rig;
        let id = rig.next_id();
        let request = rig.request(id, "/v1/completions", &completion("Net", 10_000));
        let mut body = rig
            .client
            .send(rig.data, request)
            .await
            .unwrap()
            .into_body();
        body.frame().await.unwrap().unwrap();
        process.child.kill().unwrap();
        assert!(body.collect().await.is_err(), "the stream broke");
        process.wait().await;
        process
            .rig
            .wait_until(|| parts.batch.cancelled() == 1)
            .await;
        let mut next = Process::start("after-next", address, "engine", 5);
        let number = std::mem::replace(&mut next.rig.agent, process.rig.agent);
        assert_ne!(number, process.rig.agent);
        assert_eq!(next.rig.settle(id).await, Answer::Unknown);
        let late = next.rig.complete("Net", 1).await.unwrap();
        assert_eq!(late.code(), Some(Code::StaleAttempt));
        next.rig.agent = number;
        assert!(next.rig.complete("Net", 1).await.unwrap().text().is_some());
    });
}

#[test]
fn killed_while_a_write_runs() {
    // Guards against a write that runs twice: the agent is killed while the write runs, and
    // its successor must not report the attempt as "refused".
    run(async {
        let (address, journal) = service(Duration::from_millis(200));
        let mut process = Process::start("write", address, "plain", 5);
        let rig = &process.rig;
        let id = rig.next_id();
        let sent = Box::pin(rig.post(id, "/bookings", "net 7"));
        let started = Box::pin(rig.wait_until(|| journal.writes.borrow().len() == 1));
        let Either::Right(((), sent)) = select(sent, started).await else {
            panic!("the write was answered");
        };
        process.child.kill().unwrap();
        assert!(matches!(sent.await, Err(Error::Broken(_))));
        process.wait().await;
        let mut next = Process::start("write-next", address, "plain", 5);
        next.rig.agent = process.rig.agent;
        assert_eq!(next.rig.settle(id).await, Answer::Unknown);
        assert_eq!(journal.writes.borrow().len(), 1);
    });
}

#[test]
fn stopped_while_a_stream_runs() {
    // Guards against a stream that is cut off by a graceful shutdown: it must complete,
    // while new requests are rejected with the reason.
    run(async {
        let (address, _) = engine(Config::default());
        let mut process = Process::start("drain", address, "engine", 20);
        let rig = &process.rig;
        let request = rig.request(rig.next_id(), "/v1/completions", &completion("Net", 200));
        let mut body = rig
            .client
            .send(rig.data, request)
            .await
            .unwrap()
            .into_body();
        body.frame().await.unwrap().unwrap();
        process.terminate();
        while !rig.report(0).await.load.leaving {}
        // After the linger time new connections are refused, which counts as "not sent".
        if let Ok(refused) = rig.complete("Net", 1).await {
            assert_eq!(refused.outcome, Outcome::NotRun);
        }
        let rest = body
            .collect()
            .await
            .expect("the rest of the stream")
            .to_bytes();
        assert!(rest.ends_with(b"data: [DONE]\n\n"));
        assert_eq!(process.wait().await.code(), Some(0));
    });
}

#[test]
fn stopped_while_an_endless_stream_runs() {
    run(async {
        let (address, _) = engine(Config::default());
        let mut process = Process::start("cut", address, "engine", 1);
        let rig = &process.rig;
        let request = rig.request(
            rig.next_id(),
            "/v1/completions",
            &completion("Net", 1_000_000),
        );
        let body = rig
            .client
            .send(rig.data, request)
            .await
            .unwrap()
            .into_body();
        process.terminate();
        assert!(body.collect().await.is_err(), "cut off visibly");
        assert_eq!(process.wait().await.code(), Some(3));
    });
}

#[test]
fn two_agents_never_share_a_port() {
    run(async {
        let (address, _) = engine(Config::default());
        let process = Process::start("first", address, "engine", 5);
        let (data, control) = (process.rig.data, process.rig.control);
        let text = format!(
            "firm: tidewater\ninstance: loft-1\nlisten: {data}\ncontrol: {control}\n\
             upstream: {{address: '{address}', kind: engine}}\n"
        );
        let second = command("run", &settings_file("second", &text)).status();
        assert_eq!(second.expect("it ran").code(), Some(1));
    });
}

#[test]
fn the_command_line() {
    let valid = "firm: tidewater\ninstance: loft-1\nlisten: 127.0.0.1:1\ncontrol: 127.0.0.1:2\n\
                 upstream: {address: '127.0.0.1:3', kind: plain}\n";
    let table = [
        ("check", valid, Some(0), ""),
        ("check", "more: 1\n", Some(2), "unknown field `more`"),
        ("run", "listen: [\n", Some(2), ".yaml"),
        ("walk", valid, Some(2), "unrecognized subcommand"),
    ];
    for (i, (action, text, code, expected)) in table.into_iter().enumerate() {
        let output = command(action, &settings_file(&format!("line-{i}"), text)).output();
        let output = output.expect("it ran");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), code, "{action}: {stderr}");
        assert!(stderr.contains(expected), "{action}: {stderr}");
    }
}
