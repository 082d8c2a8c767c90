//! Measured deployment: platform, upstreams, agents and entry.

use std::{
    fs,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::Command,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use std::io::{Read, Write};

use verbenaspool_coordination::{apply::Request, piece};
use verbenaspool_standin::{
    address,
    engine::{Config, Engine},
    platform::Platform,
    service::{Journal, Service},
};
use verbenaspool_state::{
    credential::Digest,
    file::File,
    upstream::{State, Upstream},
};
use verbenaspool_transport::{
    clock::Monotonic, config, platform::client, runtime, settings, shutdown,
};

use super::child::Child;

/// The customer's credential.
pub const CREDENTIAL: &str = "a-long-random-token";

/// Instances of the service whose throughput is measured, enough that these and their
/// agents aren't the bottleneck.
const JOBS_INSTANCES: usize = 3;

/// Time in which the entry must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The running deployment.
pub struct Deployment {
    /// The entry.
    pub entry: Child,
    /// The agent beside the engine.
    pub engine: Child,
    /// One instance of the service that answers immediately.
    pub jobs: SocketAddr,
    /// The instance of the service that takes 1 ms per request.
    pub slow: SocketAddr,
    _agents: Vec<Child>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts everything and waits until the entry is ready.
    pub fn start() -> Self {
        let folder = std::env::temp_dir().join(format!("verbenaspool-path-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let mut upstreams = Vec::new();
        let mut start = |name: &str, service: &str, upstream_address: SocketAddr, kind: &str| {
            let (child, upstream) = start_agent(&folder, name, service, upstream_address, kind);
            upstreams.push(upstream);
            child
        };
        let mut agents = Vec::new();
        let mut jobs = Vec::new();
        for i in 0..JOBS_INSTANCES {
            let service = start_plain(Duration::ZERO);
            agents.push(start(&format!("jobs-{i}"), "jobs", service, "plain"));
            jobs.push(service);
        }
        let slow = start_plain(Duration::from_millis(1));
        agents.push(start("slow-1", "slow", slow, "plain"));
        let engine = start("loft-1", "assistant", start_engine(), "engine");
        let platform = start_platform(upstreams);
        let entry = start_entry(&folder, platform);
        Self {
            entry,
            engine,
            jobs: jobs[0],
            slow,
            _agents: agents,
            folder,
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The firm's file, with limits high enough that only the request path is measured.
fn file() -> File {
    let decisions = "{initial_limit: 2000, max_limit: 2000, queue: 4096, deadline_ms: 60000}";
    let text = format!(
        "firm: tidewater
places: [{{zone: bowen-a, region: queensland}}]
services:
- {{name: jobs, path: /jobs/, kind: !plain {{idempotent: [/search]}}, decisions: {decisions}}}
- {{name: slow, path: /slow/, kind: !plain {{idempotent: [/search]}}, decisions: {decisions}}}
- {{name: assistant, path: /loft/, kind: !model {{fences: checked, resume: true}}, decisions: {decisions}}}
customers:
- {{name: bowen-loft, credentials: ['{}']}}
",
        Digest::of(CREDENTIAL),
    );
    settings::parse("tidewater.yaml".as_ref(), &text).expect("a sound file")
}

/// Runs a stand-in on a new thread and returns its address.
fn spawn_standin<F>(serve: F) -> SocketAddr
where
    F: FnOnce(mpsc::Sender<SocketAddr>) + Send + 'static,
{
    let (sender, address) = mpsc::channel();
    thread::spawn(move || serve(sender));
    address.recv().expect("a stand-in starts")
}

/// Starts a plain service whose requests take `request_time`.
fn start_plain(request_time: Duration) -> SocketAddr {
    spawn_standin(move |address| {
        let served = runtime::run(async {
            let (_stop, signal) = shutdown::channel();
            let journal = Journal::new(request_time, Monotonic::start());
            let service = Service::bind(([127, 0, 0, 1], 0).into(), journal).expect("a free port");
            address.send(service.address()).expect("the bench waits");
            service.run(signal).await;
        });
        served.expect("the loop starts");
    })
}

/// Starts an engine that is slow enough for the streams to stay open during the measurement.
fn start_engine() -> SocketAddr {
    spawn_standin(|address| {
        let served = runtime::run(async {
            let (_stop, signal) = shutdown::channel();
            let config = Config {
                max_batch_size: 4_000,
                step_time: Duration::from_millis(200),
                step_time_per_request: Duration::ZERO,
                ..Config::default()
            };
            let engine = Engine::bind(config, Monotonic::start()).expect("a free port");
            address.send(engine.address()).expect("the bench waits");
            engine.run(signal).await;
        });
        served.expect("the loop starts");
    })
}

/// Starts the platform with an applied file and a list of upstreams.
fn start_platform(upstreams: Vec<Upstream>) -> SocketAddr {
    spawn_standin(move |address| {
        let served = runtime::run(async {
            let platform = Platform::start().expect("a free port");
            platform.allow("token", "tidewater");
            for upstream in upstreams {
                let key = format!("firms/tidewater/instances/{}", upstream.name);
                let value = serde_json::to_vec(&upstream).expect("plain data");
                platform.with(|objects| objects.put(&key, value.into()));
            }
            let store = client::Client::new(client::Settings {
                address: platform.address(),
                token: "token".to_owned().into(),
                timeout: Duration::from_secs(1),
            });
            let request = Request {
                firm: "tidewater".parse().expect("a name"),
                id: "apply-1".to_owned(),
                expected_version: None,
                split: piece::split(&file()).expect("a file that can be split"),
            };
            config::apply(&store, request, Duration::from_secs(5), 7).await;
            address.send(platform.address()).expect("the bench waits");
            std::future::pending::<()>().await;
        });
        served.expect("the loop starts");
    })
}

/// Starts the agent of an upstream.
fn start_agent(
    folder: &Path,
    name: &str,
    service: &str,
    upstream_address: SocketAddr,
    kind: &str,
) -> (Child, Upstream) {
    let (agent, control) = (address::fresh(), address::fresh());
    let text = format!(
        "firm: tidewater
instance: {name}
listen: {agent}
control: {control}
upstream: {{address: '{upstream_address}', kind: {kind}}}
log: {{level: error}}
"
    );
    let path = folder.join(format!("{name}.yaml"));
    fs::write(&path, text).expect("a written file");
    let upstream = Upstream {
        name: name.parse().expect("a name"),
        service: service.parse().expect("a name"),
        zone: "bowen-a".parse().expect("a name"),
        agent,
        control,
        state: State::Live,
        incarnation: 1,
        rank: None,
    };
    (Child::agent(&path, agent), upstream)
}

/// Starts the entry and waits until it is ready.
fn start_entry(folder: &Path, platform: SocketAddr) -> Child {
    let (listen, admin) = (address::fresh(), address::fresh());
    let text = format!(
        "firm: tidewater
name: entry-1
zone: bowen-a
listen: {listen}
admin: {admin}
platform: {{address: '{platform}', token: token}}
log: {{level: error}}
"
    );
    let path = folder.join("entry.yaml");
    fs::write(&path, text).expect("a written file");
    let binary = Path::new(env!("CARGO_BIN_EXE_verbenaspool"));
    let child = Child::start(Command::new(binary).arg("run"), &path, listen);
    let deadline = Instant::now() + READY_TIMEOUT;
    while !is_ready(admin) {
        assert!(Instant::now() < deadline, "the entry is ready in time");
        thread::sleep(Duration::from_millis(20));
    }
    child
}

/// Returns whether the entry is ready and knows its upstreams.
fn is_ready(admin: SocketAddr) -> bool {
    let get = |path: &str| {
        let mut stream = TcpStream::connect(admin).ok()?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        Some(response)
    };
    let expected_metric = format!("verbenaspool_upstreams{{service=\"jobs\"}} {JOBS_INSTANCES}\n");
    get("/readyz").is_some_and(|response| response.contains(" 200 "))
        && get("/metrics").is_some_and(|response| response.contains(&expected_metric))
}
