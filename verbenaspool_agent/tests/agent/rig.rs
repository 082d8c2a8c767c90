//! Test setup: an upstream, its agent, and a client that acts as an entry.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use slog::{Discard, Logger, o};

use verbenaspool_agent::{
    agent::{Agent, Drained},
    settings::{self, Settings},
};
use verbenaspool_protocol::{
    attempt, header,
    load::Load,
    outcome::Outcome,
    problem::{Code, Problem},
    report,
    settle::{self, Answer},
};
use verbenaspool_standin::{
    engine::{Config, Engine, Parts, text},
    service::{Journal, Service},
};
use verbenaspool_state::upstream::Identity;
use verbenaspool_transport::{
    clock::{Clock, Monotonic},
    http::{
        body::Body,
        client::{Client, Error},
    },
    rpc, runtime, shutdown,
};

/// Timeout for control calls and connecting.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A running agent and the clients to reach it.
pub struct Rig {
    pub data: SocketAddr,
    pub control: SocketAddr,
    pub agent: u64,
    pub clock: Rc<dyn Clock>,
    pub client: Client,
    pub rpc: rpc::Client,
    pub stop: shutdown::Trigger,
    pub drained: Option<monoio::task::JoinHandle<Drained>>,
    counter: Cell<u64>,
}

/// The response that an entry received.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub outcome: Outcome,
    pub attempt: Option<attempt::Id>,
    pub load: Option<Load>,
    /// The number of tokens after which the response resumes, if the engine gave it.
    pub resumed_after: Option<u32>,
    /// The complete body; none if it was interrupted.
    pub body: Option<Bytes>,
}

impl Reply {
    pub fn code(&self) -> Option<Code> {
        let problem: Problem = serde_json::from_slice(self.body.as_ref()?).ok()?;
        Some(problem.code)
    }

    pub fn text(&self) -> Option<String> {
        text::parse(self.body.as_ref()?)
    }
}

/// Runs a test on a new event loop, with a timeout.
pub fn run<F: Future>(test: F) -> F::Output {
    let with_timeout = async {
        monoio::time::timeout(Duration::from_secs(30), test)
            .await
            .expect("the test ends in time")
    };
    runtime::run(with_timeout).expect("a loop")
}

pub fn parse(text: &str) -> Settings {
    settings::read(text).expect("valid settings")
}

/// Settings for an upstream of the given kind, with a short linger time.
pub fn settings(upstream: SocketAddr, kind: &str) -> Settings {
    parse(&format!(
        "firm: tidewater\ninstance: loft-1\n\
         listen: 127.0.0.1:0\n\
         control: 127.0.0.1:0\n\
         upstream: {{address: '{upstream}', kind: {kind}, poll_ms: 20}}\n\
         drain: {{deadline_seconds: 20, linger_ms: 100}}\n"
    ))
}

/// The request for a report that an entry sends to an instance's agent.
pub fn report_request(instance: &str, since: u64) -> report::Request {
    report::Request {
        instance: Identity {
            firm: "tidewater".parse().expect("a name"),
            instance: instance.parse().expect("a name"),
        },
        since,
    }
}

/// Starts an engine.
pub fn engine(config: Config) -> (SocketAddr, Rc<Parts>) {
    let engine = Engine::bind(config, Monotonic::start()).expect("an engine");
    let (address, parts) = (engine.address(), engine.parts());
    let (trigger, signal) = shutdown::channel();
    monoio::spawn(async move {
        engine.run(signal).await;
        drop(trigger);
    });
    (address, parts)
}

/// Starts a plain service.
pub fn service(delay: Duration) -> (SocketAddr, Rc<Journal>) {
    let journal = Journal::new(delay, Monotonic::start());
    let service = Service::bind(([127, 0, 0, 1], 0).into(), journal.clone()).expect("a service");
    let address = service.address();
    let (trigger, signal) = shutdown::channel();
    monoio::spawn(async move {
        service.run(signal).await;
        drop(trigger);
    });
    (address, journal)
}

impl Rig {
    /// Starts an agent.
    pub fn start(settings: Settings) -> Self {
        let clock = Monotonic::start();
        let log = Logger::root(Discard, o!());
        let agent = Agent::bind(settings, log, clock.clone()).expect("an agent");
        let (stop, signal) = shutdown::channel();
        let (data, control, number) = (agent.address(), agent.control(), agent.number());
        let drained = Some(monoio::spawn(agent.run(signal)));
        let mut rig = Self::attach(data, control, number);
        (rig.stop, rig.drained) = (stop, drained);
        rig
    }

    /// Uses an agent that is already running.
    pub fn attach(data: SocketAddr, control: SocketAddr, agent: u64) -> Self {
        Self {
            data,
            control,
            agent,
            clock: Monotonic::start(),
            client: Client::new(CALL_TIMEOUT),
            rpc: rpc::Client::default(),
            stop: shutdown::channel().0,
            drained: None,
            counter: Cell::new(0),
        }
    }

    pub fn next_id(&self) -> attempt::Id {
        self.counter.set(self.counter.get() + 1);
        attempt::Id {
            incarnation: 0xa,
            counter: self.counter.get(),
        }
    }

    /// A request with the headers that an entry sets.
    pub fn request(&self, id: attempt::Id, path: &str, body: &str) -> Request<Body> {
        Request::post(path)
            .header(http::header::HOST, "verbenaspool")
            .header(header::ATTEMPT, id.to_string())
            .header(header::AGENT, self.agent)
            .header(header::INSTANCE, "tidewater/loft-1")
            .body(Body::full(body.to_owned()))
            .expect("a request")
    }

    pub async fn post(&self, id: attempt::Id, path: &str, body: &str) -> Result<Reply, Error> {
        self.send(self.request(id, path, body)).await
    }

    pub async fn send(&self, request: Request<Body>) -> Result<Reply, Error> {
        let response = self.client.send(self.data, request).await?;
        let (parts, body) = response.into_parts();
        let header = |name| parts.headers.get(name)?.to_str().ok();
        Ok(Reply {
            status: parts.status,
            outcome: Outcome::from_header(header(header::OUTCOME)),
            attempt: header(header::ATTEMPT).and_then(|text| text.parse().ok()),
            load: header(header::LOAD).and_then(|text| serde_json::from_str(text).ok()),
            resumed_after: header(header::RESUME).and_then(|text| text.parse().ok()),
            body: body
                .collect()
                .await
                .ok()
                .map(http_body_util::Collected::to_bytes),
        })
    }

    /// A request for a streamed completion.
    pub async fn complete(&self, prompt: &str, tokens: u32) -> Result<Reply, Error> {
        let body = completion(prompt, tokens);
        self.post(self.next_id(), "/v1/completions", &body).await
    }

    pub async fn settle(&self, attempt: attempt::Id) -> Answer {
        let request = settle::Request {
            attempt,
            agent: self.agent,
        };
        self.call(settle::METHOD, &request).await
    }

    pub async fn report(&self, since: u64) -> report::Report {
        self.request_report(&report_request("loft-1", since))
            .await
            .expect("a report")
    }

    /// Requests a report; the agent may reject the call.
    pub async fn request_report(
        &self,
        report_request: &report::Request,
    ) -> Result<report::Report, rpc::Error> {
        self.rpc
            .call(self.control, report::METHOD, report_request, CALL_TIMEOUT)
            .await
    }

    pub async fn leave(&self) {
        self.call::<(), ()>(report::LEAVE_METHOD, &()).await;
    }

    async fn call<P: serde::Serialize, R: serde::de::DeserializeOwned>(
        &self,
        method: &str,
        params: &P,
    ) -> R {
        let answer = self
            .rpc
            .call(self.control, method, params, CALL_TIMEOUT)
            .await;
        answer.expect("the control call is answered")
    }

    /// Waits until a condition holds.
    pub async fn wait_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            self.clock.sleep(Duration::from_millis(1)).await;
        }
    }
}

/// The body of a request for a streamed completion.
pub fn completion(prompt: &str, tokens: u32) -> String {
    serde_json::json!({"prompt": prompt, "max_tokens": tokens, "stream": true}).to_string()
}
