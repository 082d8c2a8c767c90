//! A small deployment: one entry, its upstreams and a caller.

use std::{future::Future, net::SocketAddr, rc::Rc, time::Duration};

use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use verbenaspool::{
    entry::{Dependencies, Entry},
    settings::{Limits, Settings},
};
use verbenaspool_protocol::{header, problem::Problem};
use verbenaspool_state::{
    credential::Digest,
    file::File,
    upstream::{State, Upstream},
    version::Version,
};
use verbenaspool_transport::{
    clock::Monotonic,
    http::{body::Body, client::Client},
    runtime, settings,
    shutdown::{self, Signal},
};

use crate::agent::FakeAgent;

/// The credential of the customer that may use all services.
pub const CREDENTIAL: &str = "a-long-random-token";

/// A running entry and a client for it.
pub struct Deployment {
    pub entry: Rc<Entry>,
    pub address: SocketAddr,
    pub client: Client,
    pub stop: shutdown::Trigger,
}

/// A firm's file with a model and a plain service.
pub fn file() -> File {
    let text = format!(
        "firm: tidewater
places: [{{zone: bowen-a, region: queensland}}]
services:
- name: assistant
  path: /loft/
  kind: !model {{fences: checked, resume: true}}
- name: jobs
  path: /jobs/
  kind: !plain {{idempotent: [/search]}}
customers:
- name: bowen-loft
  credentials: ['{}']
- name: tweed-loft
  credentials: ['{}']
  services: [jobs]
",
        Digest::of(CREDENTIAL),
        Digest::of("tweed"),
    );
    settings::parse("tidewater.yaml".as_ref(), &text).unwrap()
}

/// An upstream of a service with a fake agent, which is started.
pub fn fake_upstream(
    name: &str,
    service: &str,
    agent: &Rc<FakeAgent>,
    signal: &Signal,
) -> Upstream {
    let control = agent.start_control(signal.clone());
    upstream(name, service, agent.start(signal.clone()), control)
}

/// An upstream of a service whose agent has the given addresses.
pub fn upstream(name: &str, service: &str, agent: SocketAddr, control: SocketAddr) -> Upstream {
    Upstream {
        name: name.parse().unwrap(),
        service: service.parse().unwrap(),
        zone: "bowen-a".parse().unwrap(),
        agent,
        control,
        state: State::Live,
        incarnation: 1,
        rank: None,
    }
}

/// The settings of the entry.
fn entry_settings(limits: Limits) -> Settings {
    let text = "firm: tidewater
name: entry-1
zone: bowen-a
listen: 127.0.0.1:0
platform: {address: '127.0.0.1:1', token: none}
";
    let settings: Settings = settings::parse("entry.yaml".as_ref(), text).unwrap();
    Settings { limits, ..settings }
}

impl Deployment {
    /// Starts an entry without a configuration.
    pub fn unconfigured(limits: Limits) -> Self {
        Self::with_dependencies(limits, Dependencies::minimal(Monotonic::start()))
    }

    /// Starts an entry without a configuration, with the given dependencies.
    pub fn with_dependencies(limits: Limits, dependencies: Dependencies) -> Self {
        let entry = Entry::with_dependencies(entry_settings(limits).options(), dependencies);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, signal) = shutdown::channel();
        monoio::spawn(entry.clone().serve(listener, signal));
        Self {
            entry,
            address,
            client: Client::new(Duration::from_secs(1)),
            stop,
        }
    }

    /// Starts an entry with the file and the given upstreams.
    pub fn start(upstreams: &[Upstream]) -> Self {
        Self::with_limits(Limits::default(), upstreams)
    }

    /// Starts an entry with the file, the given upstreams and limits.
    pub fn with_limits(limits: Limits, upstreams: &[Upstream]) -> Self {
        let deployment = Self::unconfigured(limits);
        deployment.entry.apply_configuration(Version(1), &file());
        deployment.entry.set_upstreams(upstreams);
        deployment
    }

    /// Sends a request.
    pub async fn send(&self, request: Request<Body>) -> Response<Body> {
        self.client.send(self.address, request).await.unwrap()
    }

    /// Sends bytes on a new connection and reads until the entry closes it or is idle.
    pub async fn send_raw(&self, bytes: impl Into<Vec<u8>>) -> String {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let _ = stream.write_all(bytes.into()).await;
        read_until_idle(&mut stream, Duration::from_millis(400)).await
    }
}

/// Reads until the end of the stream, or until nothing arrives for `pause`.
pub async fn read_until_idle(stream: &mut TcpStream, pause: Duration) -> String {
    let mut text = Vec::new();
    loop {
        match monoio::time::timeout(pause, stream.read(vec![0; 4096])).await {
            Ok((Ok(count), chunk)) if count > 0 => text.extend_from_slice(&chunk[..count]),
            _ => return String::from_utf8_lossy(&text).into_owned(),
        }
    }
}

/// A request with the customer's credential.
pub fn request(method: Method, path: &str, body: &'static str) -> Request<Body> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "entry")
        .header("authorization", format!("Bearer {CREDENTIAL}"))
        .body(Body::full(body))
        .unwrap()
}

/// Reads a whole response; returns its status, outcome and body.
pub async fn read_response(response: Response<Body>) -> (StatusCode, String, String) {
    let status = response.status();
    let outcome = response.headers()[header::OUTCOME]
        .to_str()
        .unwrap()
        .to_owned();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, outcome, String::from_utf8(body.to_vec()).unwrap())
}

/// The code of a problem as callers read it.
pub fn problem_code(body: &str) -> String {
    let problem: Problem = serde_json::from_str(body).unwrap();
    serde_json::to_value(problem.code)
        .unwrap()
        .as_str()
        .unwrap()
        .to_owned()
}

/// Runs a test with a time limit.
pub fn run_test<F: Future<Output = ()>>(test: F) {
    let bounded = async { monoio::time::timeout(Duration::from_secs(20), test).await };
    runtime::run(bounded)
        .unwrap()
        .expect("the test ends in time");
}
