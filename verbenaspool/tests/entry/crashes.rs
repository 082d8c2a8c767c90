//! Tests of requests that crash upstreams, with real agents.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Collected};
use hyper::body::Incoming;
use monoio::net::TcpListener;
use slog::{Discard, Logger, o};
use verbenaspool_agent::{agent::Agent, settings};
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
        if body == CRASHING_BODY {
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

/// The upstreams, each with an agent.
struct Fleet {
    upstreams: Vec<Upstream>,
    crashes: Rc<Cell<usize>>,
    _agents: Vec<Trigger>,
}

impl Fleet {
    fn start() -> Self {
        let crashes = Rc::new(Cell::new(0));
        let (mut upstreams, mut agents) = (Vec::new(), Vec::new());
        for number in 0..UPSTREAMS {
            let address = address::fresh();
            monoio::spawn(run_upstream(address, crashes.clone()));
            let name = format!("jobs-{number}");
            let text = format!(
                "firm: tidewater\ninstance: {name}\nlisten: 127.0.0.1:0\ncontrol: 127.0.0.1:0\n\
                 upstream: {{address: '{address}', kind: plain}}\n"
            );
            let settings = settings::read(&text).expect("valid settings");
            let log = Logger::root(Discard, o!());
            let agent = Agent::bind(settings, log, Monotonic::start())
                .expect("the agent binds its addresses");
            let (data, control) = (agent.address(), agent.control());
            upstreams.push(upstream(&name, "jobs", data, control));
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
async fn run_upstream(address: SocketAddr, crashes: Rc<Cell<usize>>) {
    loop {
        let (trigger, signal) = shutdown::channel();
        let listener = TcpListener::bind(address).expect("the address is free");
        crash::serve(
            listener,
            Rc::new(CrashableService { crash: trigger }),
            signal,
        )
        .await;
        crashes.set(crashes.get() + 1);
        monoio::time::sleep(DOWNTIME).await;
    }
}

/// Sends a search, which may be retried; returns the status and the body.
async fn send_search(deployment: &Deployment, body: &'static str) -> (StatusCode, String) {
    let request = request(Method::POST, "/jobs/search", body);
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
        let crashes = fleet.crashes.get();
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
        assert_eq!(fleet.crashes.get(), crashes);
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
        let crashes = fleet.crashes.get();
        let second = Deployment::start(&fleet.upstreams);
        // An entry requests reports from all its agents within one or two seconds.
        monoio::time::sleep(Duration::from_millis(2_500)).await;
        let (_, body) = send_search(&second, CRASHING_BODY).await;
        assert_eq!(problem_code(&body), "quarantined");
        assert_eq!(fleet.crashes.get(), crashes);
    });
}
