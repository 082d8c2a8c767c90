//! Measures the overhead of the agent: latency added to a request, processor time,
//! throughput, and memory when idle and with 1,000 open streams.
//!
//! `cargo bench -p verbenaspool_agent --bench agent -- --json` prints one JSON object per
//! line. The agent runs in a separate process, the upstream in a thread.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use http::{Request, header::HOST};
use http_body_util::BodyExt;
use serde_json::{Value, json};

use verbenaspool_protocol::{attempt, header, report};
use verbenaspool_standin::{
    engine::{Config, Engine},
    service::{Journal, Service},
};
use verbenaspool_state::upstream::Identity;
use verbenaspool_transport::{
    clock::Monotonic,
    http::{body::Body, client::Client},
    rpc, runtime, shutdown,
};

/// Number of sequential requests, which measure latency.
const SEQUENTIAL_REQUESTS: u64 = 5_000;
/// Number of concurrent requests, which measure throughput.
const CONCURRENT_REQUESTS: u64 = 40_000;
/// Number of concurrent requests in flight.
const CONCURRENCY: u64 = 32;
/// Number of report requests.
const REPORTS: u64 = 10_000;
/// Timeout for control calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of open streams while memory is measured.
const STREAMS: u64 = 1_000;
/// Clock ticks per second in the kernel's process statistics.
const TICKS_PER_SECOND: f64 = 100.0;

/// A running agent process.
struct Agent {
    child: Child,
    address: SocketAddr,
    control: SocketAddr,
    number: u64,
}

impl Agent {
    fn start(upstream: SocketAddr, kind: &str) -> Self {
        let text = format!(
            "{{firm: tidewater, instance: bench, listen: '127.0.0.1:0', control: '127.0.0.1:0', \
             upstream: {{address: '{upstream}', kind: {kind}}}, log: {{form: json}}}}"
        );
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bench.yaml");
        std::fs::write(&path, text).expect("a settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_verbenaspool-agent"))
            .args(["run", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the agent");
        let mut line = String::new();
        let log = child.stdout.as_mut().expect("its log");
        BufReader::new(log).read_line(&mut line).expect("a line");
        let started: Value = serde_json::from_str(&line).expect("a JSON line");
        let address = |key: &str| started[key].as_str().and_then(|text| text.parse().ok());
        Self {
            child,
            address: address("address").expect("an address"),
            control: address("control").expect("an address"),
            number: started["agent"].as_u64().expect("a number"),
        }
    }

    fn read(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).expect("statistics")
    }

    /// Processor time used so far, in seconds.
    fn cpu_seconds(&self) -> f64 {
        let stat = self.read("stat");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        let ticks = |i: usize| fields[i].parse::<f64>().expect("ticks");
        (ticks(12) + ticks(13)) / TICKS_PER_SECOND
    }

    /// A value of the memory statistics, in kilobytes.
    fn memory_kb(&self, name: &str) -> u64 {
        let status = self.read("status");
        let line = status.lines().find(|line| line.starts_with(name));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|text| text.parse().ok()).expect("memory")
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Serves an upstream on a separate thread until the program ends.
fn upstream(engine: bool) -> SocketAddr {
    let (address_sender, address_receiver) = mpsc::channel();
    thread::spawn(move || {
        runtime::run(async move {
            let (_trigger, signal) = shutdown::channel();
            let clock = Monotonic::start();
            if engine {
                let config = Config {
                    max_batch_size: 2_000,
                    step_time: Duration::from_millis(200),
                    ..Config::default()
                };
                let engine = Engine::bind(config, clock).expect("an engine");
                address_sender
                    .send(engine.address())
                    .expect("the bench listens");
                engine.run(signal).await;
            } else {
                let journal = Journal::new(Duration::ZERO, clock);
                let service = Service::bind(([127, 0, 0, 1], 0).into(), journal);
                let service = service.expect("a service");
                address_sender
                    .send(service.address())
                    .expect("the bench listens");
                service.run(signal).await;
            }
        })
    });
    address_receiver.recv().expect("an address")
}

fn request(agent: u64, counter: u64, path: &str, body: &'static str) -> Request<Body> {
    let id = attempt::Id {
        incarnation: 0xb,
        counter,
    };
    Request::get(path)
        .method(if body.is_empty() { "GET" } else { "POST" })
        .header(HOST, "bench")
        .header(header::ATTEMPT, id.to_string())
        .header(header::AGENT, agent)
        .header(header::INSTANCE, "tidewater/bench")
        .body(Body::full(body))
        .expect("a request")
}

/// Sends requests with the given concurrency; returns their times and the total time.
async fn load(
    address: SocketAddr,
    agent: u64,
    first: u64,
    count: u64,
    concurrency: u64,
) -> (Histogram<u64>, Duration) {
    let client = Client::new(Duration::from_secs(5));
    let started = Instant::now();
    let workers: Vec<_> = (0..concurrency)
        .map(|worker| {
            let client = client.clone();
            monoio::spawn(async move {
                let mut times = Histogram::<u64>::new(3).expect("a histogram");
                for i in 0..count / concurrency {
                    let sent = Instant::now();
                    let request = request(agent, first + i * concurrency + worker, "/", "");
                    let response = client.send(address, request).await.expect("an answer");
                    let body = response.into_body().collect().await;
                    body.expect("a complete response");
                    let ns = u64::try_from(sent.elapsed().as_nanos()).expect("a short time");
                    times.record(ns).expect("a time");
                }
                times
            })
        })
        .collect();
    let mut times = Histogram::<u64>::new(3).expect("a histogram");
    for worker in workers {
        times
            .add(worker.await)
            .expect("histograms of the same precision");
    }
    (times, started.elapsed())
}

#[allow(clippy::cast_precision_loss)] // Times and counts are far below 2^53.
fn main() {
    let json_only = std::env::args().any(|arg| arg == "--json");
    let service = upstream(false);
    let agent = Agent::start(service, "plain");
    let idle = agent.memory_kb("VmRSS");
    let us = |times: &Histogram<u64>, part| times.value_at_quantile(part) as f64 / 1e3;
    let mut lines = Vec::new();
    for (way, address) in [("direct", service), ("agent", agent.address)] {
        let (number, cpu) = (agent.number, agent.cpu_seconds());
        let (single, _) =
            runtime::run(load(address, number, 1, SEQUENTIAL_REQUESTS, 1)).expect("a loop");
        let from = SEQUENTIAL_REQUESTS + 1;
        let before = agent.cpu_seconds();
        let (_, took) = runtime::run(load(
            address,
            number,
            from,
            CONCURRENT_REQUESTS,
            CONCURRENCY,
        ))
        .expect("a loop");
        lines.push(json!({
            "way": way,
            "p50_us": us(&single, 0.5),
            "p99_us": us(&single, 0.99),
            "requests_s": (CONCURRENT_REQUESTS as f64 / took.as_secs_f64()).round(),
            "agent_cpu_us_single": (before - cpu) * 1e6 / SEQUENTIAL_REQUESTS as f64,
            "agent_cpu_us": (agent.cpu_seconds() - before) * 1e6 / CONCURRENT_REQUESTS as f64,
        }));
    }
    lines.push(runtime::run(reports(&agent)).expect("a loop"));
    let loaded = agent.memory_kb("VmRSS");
    drop(agent);
    let streams = runtime::run(streams()).expect("a loop");
    lines.push(json!({
        "idle_kb": idle,
        "after_load_kb": loaded,
        "streams": STREAMS,
        "streams_kb": streams.0,
        "after_streams_kb": streams.1,
    }));
    for line in lines {
        println!("{line}");
    }
    if !json_only {
        println!("Times are in microseconds, processor time per request; memory is resident.");
    }
}

/// Sends sequential report requests, as entries do between responses.
#[allow(clippy::cast_precision_loss)] // Counts are far below 2^53.
async fn reports(agent: &Agent) -> Value {
    let client = rpc::Client::default();
    let request = report::Request {
        instance: Identity {
            firm: "tidewater".parse().expect("a name"),
            instance: "bench".parse().expect("a name"),
        },
        since: 0,
    };
    let (cpu, started) = (agent.cpu_seconds(), Instant::now());
    let mut bytes = 0;
    for _ in 0..REPORTS {
        let answer: Value = client
            .call(agent.control, report::METHOD, &request, CALL_TIMEOUT)
            .await
            .expect("a report");
        bytes = answer.to_string().len();
    }
    json!({
        "report_us": started.elapsed().as_secs_f64() * 1e6 / REPORTS as f64,
        "report_cpu_us": (agent.cpu_seconds() - cpu) * 1e6 / REPORTS as f64,
        "report_bytes": bytes,
    })
}

/// Opens streams, reads a token of each, and returns the agent's memory at that point and
/// after they are closed.
async fn streams() -> (u64, u64) {
    const BODY: &str = r#"{"prompt": "Net", "max_tokens": 1000, "stream": true}"#;
    let agent = Agent::start(upstream(true), "engine");
    let client = Client::new(Duration::from_secs(5));
    let mut open = Vec::new();
    for counter in 1..=STREAMS {
        let request = request(agent.number, counter, "/v1/completions", BODY);
        let response = client.send(agent.address, request).await;
        open.push(response.expect("an answer").into_body());
    }
    for body in &mut open {
        body.frame().await.expect("a token").expect("a token");
    }
    let during = agent.memory_kb("VmRSS");
    drop(open);
    monoio::time::sleep(Duration::from_secs(1)).await;
    (during, agent.memory_kb("VmRSS"))
}
