//! Tests of requests that crash upstreams, with real agents.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Collected};
use hyper::body::Incoming;
use monoio::net::TcpListener;
use slog::{Discard, Logger, o};
use verbenaspool_agent::{agent::Agent, settings};
use verbenaspool_protocol::prefix;
use verbenaspool_standin::{address, crash};
use verbenaspool_state::upstream::Upstream;
use verbenaspool_transport::{
    clock::Monotonic,
    http::{
        body::Body,
        server::{Handler, ResponseFuture},
    },
    shutdown::{self, Trigger},
};

use crate::deployment::{Deployment, problem_code, read_response, request, run_test, upstream};

/// The number of upstreams of the service.
const UPSTREAMS: usize = 4;

/// The time that an upstream takes to restart.
const DOWNTIME: Duration = Duration::from_millis(200);

/// The body of a request that crashes an upstream.
const CRASHING_BODY: &str = "crashes";

/// The path of requests with prompts.
const PROMPT_PATH: &str = "/loft/v1/completions";

/// A text that crashes an upstream wherever it is in a prompt.
const CRASHING_TEXT: &str = "crashing";

/// Crashes after which entries have some time to find what requests share, how much, and the
/// number of requests that may crash upstreams later than that.
const FIRST_CRASHES: usize = 5;
const RECOGNITION_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_CRASHES: usize = 3;

/// The number of crashes after which an entry rejects a request.
const CRASH_THRESHOLD: usize = 2;

/// One process of an upstream.
struct CrashableService {
    crash: Trigger,
}

impl CrashableService {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let body = request.into_body().collect().await;
        let body = body.map(Collected::to_bytes).unwrap_or_default();
        let has_text = String::from_utf8_lossy(&body).contains(CRASHING_TEXT);
        if body == CRASHING_BODY || has_text {
            self.crash.fire();
            std::future::pending::<()>().await;
        }
        Response::new(Body::full(body))
    }
}

impl Handler for CrashableService {
    fn handle(self: Rc<Self>, _: SocketAddr, request: Request<Incoming>) -> ResponseFuture {
        Box::pin(self.answer(request))
    }
}

/// The times of crashes.
type Crashes = Rc<RefCell<Vec<Instant>>>;

/// The upstreams, each with an agent.
struct Fleet {
    upstreams: Vec<Upstream>,
    crashes: Crashes,
    _agents: Vec<Trigger>,
}

impl Fleet {
    /// Starts upstreams of a service without an engine.
    fn start() -> Self {
        Self::start_service("jobs", "plain")
    }

    fn start_service(service: &str, kind: &str) -> Self {
        let crashes = Crashes::default();
        let (mut upstreams, mut agents) = (Vec::new(), Vec::new());
        for number in 0..UPSTREAMS {
            let address = address::fresh();
            monoio::spawn(run_upstream(address, crashes.clone()));
            let name = format!("{service}-{number}");
            let text = format!(
                "firm: tidewater\ninstance: {name}\nlisten: 127.0.0.1:0\ncontrol: 127.0.0.1:0\n\
                 upstream: {{address: '{address}', kind: {kind}}}\n"
            );
            let settings = settings::read(&text).expect("valid settings");
            let log = Logger::root(Discard, o!());
            let agent = Agent::bind(settings, log, Monotonic::start())
                .expect("the agent binds its addresses");
            let (data, control) = (agent.address(), agent.control());
            upstreams.push(upstream(&name, service, data, control));
            let (stop, signal) = shutdown::channel();
            monoio::spawn(agent.run(signal));
            agents.push(stop);
        }
        Self {
            upstreams,
            crashes,
            _agents: agents,
        }
    }
}

/// Runs an upstream, which restarts after each crash.
async fn run_upstream(address: SocketAddr, crashes: Crashes) {
    loop {
        let (trigger, signal) = shutdown::channel();
        let listener = TcpListener::bind(address).expect("the address is free");
        crash::serve(
            listener,
            Rc::new(CrashableService { crash: trigger }),
            signal,
        )
        .await;
        crashes.borrow_mut().push(Instant::now());
        monoio::time::sleep(DOWNTIME).await;
    }
}

/// Sends a search, which may be retried; returns the status and the body.
async fn send_search(deployment: &Deployment, body: impl Into<String>) -> (StatusCode, String) {
    send(deployment, "/jobs/search", body).await
}

/// Sends a request; returns the status and the body.
async fn send(
    deployment: &Deployment,
    path: &str,
    body: impl Into<String>,
) -> (StatusCode, String) {
    let request = request(Method::POST, path, "").map(|_| Body::full(body.into()));
    let (status, _, body) = read_response(deployment.send(request).await).await;
    (status, body)
}

/// Guards against a request that crashes one upstream after the other, at each retry of its
/// caller and through each entry.
#[test]
fn a_request_that_crashes_upstreams_is_quarantined() {
    run_test(async {
        let fleet = Fleet::start();
        let entries = [
            Deployment::start(&fleet.upstreams),
            Deployment::start(&fleet.upstreams),
        ];
        for attempt in 0..12 {
            send_search(&entries[attempt % 2], CRASHING_BODY).await;
            monoio::time::sleep(DOWNTIME).await;
        }
        let crashes = fleet.crashes.borrow().len();
        assert!(crashes >= CRASH_THRESHOLD);
        assert!(
            crashes <= CRASH_THRESHOLD * entries.len(),
            "{crashes} crashes"
        );
        for entry in &entries {
            let (status, body) = send_search(entry, CRASHING_BODY).await;
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(problem_code(&body), "quarantined");
            assert_eq!(send_search(entry, "sound").await.0, StatusCode::OK);
        }
        assert_eq!(fleet.crashes.borrow().len(), crashes);
    });
}

/// Guards against an entry that starts later and learns of the request only by further crashes.
#[test]
fn an_entry_learns_from_agents_what_crashed_upstreams_before() {
    run_test(async {
        let fleet = Fleet::start();
        let first = Deployment::start(&fleet.upstreams);
        for _ in 0..3 {
            send_search(&first, CRASHING_BODY).await;
            monoio::time::sleep(DOWNTIME).await;
        }
        let crashes = fleet.crashes.borrow().len();
        let second = Deployment::start(&fleet.upstreams);
        // An entry requests reports from all its agents within one or two seconds.
        monoio::time::sleep(Duration::from_millis(2_500)).await;
        let (_, body) = send_search(&second, CRASHING_BODY).await;
        assert_eq!(problem_code(&body), "quarantined");
        assert_eq!(fleet.crashes.borrow().len(), crashes);
    });
}

/// The body of a request whose prompt has these blocks, and a text of its own.
fn prompt(number: usize, blocks: &[&str]) -> String {
    let block = |text: &&str| format!("{text:.<width$}", width = prefix::BLOCK_BYTES);
    let blocks: String = blocks.iter().map(block).collect();
    format!(r#"{{"prompt":"{blocks}own {number}"}}"#)
}

/// Guards against requests that crash one upstream after the other because they are different in
/// everything but one block of their prompts, and against rejecting those that share the others.
#[test]
fn requests_that_share_a_crashing_block_are_quarantined() {
    run_test(async {
        let fleet = Fleet::start_service("assistant", "engine");
        let entries = [
            Deployment::start(&fleet.upstreams),
            Deployment::start(&fleet.upstreams),
        ];
        let topics = ["mesh", "rope", "float", "lead"];
        let mut failed = 0;
        for number in 0..24 {
            let (entry, topic) = (&entries[number % 2], topics[number % 4]);
            let harmful = prompt(number, &["common", topic, CRASHING_TEXT]);
            send(entry, PROMPT_PATH, harmful).await;
            for sound in 0..6 {
                let entry = &entries[sound % 2];
                let body = prompt(1_000 + 10 * number + sound, &["common", topics[sound % 4]]);
                let served = send(entry, PROMPT_PATH, body).await.0 == StatusCode::OK;
                failed += usize::from(!served && number >= 12);
            }
            monoio::time::sleep(DOWNTIME).await;
        }
        let crashes = fleet.crashes.borrow().clone();
        let recognized_at = crashes[FIRST_CRASHES - 1] + RECOGNITION_TIME;
        let late = crashes.iter().filter(|at| **at > recognized_at).count();
        assert!(late <= MAX_LATE_CRASHES, "{late} of {} late", crashes.len());
        assert!(failed < 36, "{failed} of 72 sound requests failed");
        let harmful = prompt(0, &["another", CRASHING_TEXT]);
        for entry in &entries {
            let (_, body) = send(entry, PROMPT_PATH, harmful.clone()).await;
            assert_eq!(problem_code(&body), "quarantined");
        }
    });
}
