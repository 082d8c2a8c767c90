//! Tests of the entry process, configured by the platform, with real agents.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{Method, Request, Response};
use http_body_util::BodyExt;
use verbenaspool::{
    run::{self, Drained},
    settings::Settings,
};
use verbenaspool_agent::{agent::Agent, settings as agent_settings};
use verbenaspool_coordination::{apply, claim, keys, piece};
use verbenaspool_protocol::{header, settle};
use verbenaspool_standin::{
    address,
    engine::{Config, Engine},
    platform::Platform,
    service::{Journal, Service},
};
use verbenaspool_transport::{
    clock::Monotonic,
    config,
    http::{body::Body, client::Client},
    platform::client,
    rpc, settings,
    shutdown::{self, Signal, Trigger},
};

use crate::deployment::{file, problem_code, read_response, request, run_test, upstream};

/// A firm's platform and upstreams.
struct Firm {
    platform: Platform,
    jobs_agent: Option<claim::Agent>,
    journal: Rc<Journal>,
    client: Client,
    signal: Signal,
    _stop: Trigger,
}

/// A running entry process.
struct Process {
    listen: SocketAddr,
    admin: SocketAddr,
    stop: Trigger,
    ended: monoio::task::JoinHandle<Drained>,
}

impl Firm {
    /// Starts a platform with an accepted file, one engine and one plain service.
    async fn start() -> Self {
        let platform = Platform::start().unwrap();
        platform.allow("token", "tidewater");
        let (stop, signal) = shutdown::channel();
        let clock = Monotonic::start();
        let journal = Journal::new(Duration::ZERO, clock.clone());
        let service = Service::bind(([127, 0, 0, 1], 0).into(), journal.clone()).unwrap();
        let engine = Engine::bind(Config::default(), clock).unwrap();
        let mut firm = Self {
            platform,
            jobs_agent: None,
            journal,
            client: Client::new(Duration::from_secs(1)),
            signal: signal.clone(),
            _stop: stop,
        };
        firm.jobs_agent = Some(firm.start_agent("jobs-1", "jobs", service.address(), "plain"));
        firm.start_agent("loft-1", "assistant", engine.address(), "engine");
        monoio::spawn(service.run(signal.clone()));
        monoio::spawn(engine.run(signal));
        firm.apply().await;
        firm
    }

    /// Starts an agent for an upstream and lists it in the platform.
    fn start_agent(
        &self,
        name: &str,
        service: &str,
        beside: SocketAddr,
        kind: &str,
    ) -> claim::Agent {
        let text = format!(
            "firm: tidewater
instance: {name}
listen: 127.0.0.1:0
control: 127.0.0.1:0
upstream: {{address: '{beside}', kind: {kind}}}
"
        );
        let settings = agent_settings::read(&text).unwrap();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let agent = Agent::bind(settings, log, Monotonic::start()).unwrap();
        let listed = upstream(name, service, agent.address(), agent.control());
        let (control, process) = (agent.control(), agent.number());
        monoio::spawn(agent.run(self.signal.clone()));
        let key = format!("firms/tidewater/instances/{name}");
        let value = serde_json::to_vec(&listed).unwrap();
        self.platform
            .with(|objects| objects.put(&key, value.into()));
        claim::Agent { control, process }
    }

    /// Applies the file to the platform.
    async fn apply(&self) {
        let store = client::Client::new(client::Settings {
            address: self.platform.address(),
            token: "token".to_owned().into(),
            timeout: Duration::from_secs(1),
        });
        let request = apply::Request {
            firm: "tidewater".parse().unwrap(),
            id: "apply-1".to_owned(),
            expected_version: None,
            split: piece::split(&file()).unwrap(),
        };
        config::apply(&store, request, Duration::from_secs(5), 7).await;
    }

    /// Starts an entry and waits until it is ready.
    async fn start_entry(&self, name: &str) -> Process {
        let (listen, admin) = (address::fresh(), address::fresh());
        let text = format!(
            "firm: tidewater
name: {name}
zone: bowen-a
listen: {listen}
admin: {admin}
platform: {{address: '{}', token: token, timeout_ms: 300}}
drain: {{linger_ms: 50, deadline_ms: 5000}}
",
            self.platform.address()
        );
        let settings: Settings = settings::parse("entry.yaml".as_ref(), &text).unwrap();
        let (stop, signal) = shutdown::channel();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let served = run::serve(settings, log, Monotonic::start(), signal);
        let ended = monoio::spawn(async { served.await.unwrap() });
        let process = Process {
            listen,
            admin,
            stop,
            ended,
        };
        while !self.is_ready(&process).await {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        process
    }

    /// Whether an entry is ready and knows its upstreams.
    async fn is_ready(&self, process: &Process) -> bool {
        let metrics = self.get_admin(process, "/metrics").await;
        self.get_admin(process, "/readyz").await == "ready\n"
            && metrics.contains("verbenaspool_upstreams{service=\"jobs\"} 1\n")
            && metrics.contains("verbenaspool_upstreams{service=\"assistant\"} 1\n")
    }

    /// Gets a path from an entry's admin listener; empty before the entry listens.
    async fn get_admin(&self, process: &Process, path: &str) -> String {
        let mut get = Request::new(Body::empty());
        *get.uri_mut() = path.parse().unwrap();
        get.headers_mut().insert("host", "entry".parse().unwrap());
        let Ok(response) = self.client.send(process.admin, get).await else {
            return String::new();
        };
        let body = response.into_body().collect().await.unwrap().to_bytes();
        String::from_utf8(body.to_vec()).unwrap()
    }

    /// Sends a booking with a key; returns the status, the outcome, and the body or the
    /// problem's code.
    async fn send_booking(
        &self,
        process: &Process,
        key: &str,
        body: &'static str,
    ) -> (u16, String, String) {
        let mut sent = request(Method::POST, "/jobs/bookings", body);
        let headers = sent.headers_mut();
        headers.insert(header::IDEMPOTENCY_KEY, key.parse().unwrap());
        let (status, outcome, body) = read_response(self.send(process, sent).await).await;
        let body_or_code = if status == 200 {
            body
        } else {
            problem_code(&body)
        };
        (status.as_u16(), outcome, body_or_code)
    }

    async fn send(&self, process: &Process, request: Request<Body>) -> Response<Body> {
        self.client.send(process.listen, request).await.unwrap()
    }
}

/// The expected result of a booking.
fn expected(status: u16, outcome: &str, body_or_code: &str) -> (u16, String, String) {
    (status, outcome.to_owned(), body_or_code.to_owned())
}

#[test]
fn a_key_runs_a_write_at_most_once() {
    // Guards against a write that runs twice: the answer to a booking was lost, and the caller
    // sent it again with the same key through another entry.
    run_test(async {
        let firm = Firm::start().await;
        let (first_entry, second_entry) = (
            firm.start_entry("entry-1").await,
            firm.start_entry("entry-2").await,
        );
        let first = firm
            .send_booking(&first_entry, "key-1", "one booking")
            .await;
        assert_eq!(first, expected(200, "ran", "/bookings one booking"));
        let retry = firm
            .send_booking(&second_entry, "key-1", "one booking")
            .await;
        assert_eq!(retry, expected(409, "unknown", "key-conflict"));
        let another = firm
            .send_booking(&second_entry, "key-1", "another booking")
            .await;
        assert_eq!(another, expected(409, "not-run", "key-conflict"));
        firm.journal.lose_next_answer();
        let lost = firm
            .send_booking(&first_entry, "key-2", "lost booking")
            .await;
        assert_eq!(lost.1, "unknown");
        let retry = firm
            .send_booking(&second_entry, "key-2", "lost booking")
            .await;
        assert_eq!(retry, expected(409, "unknown", "key-conflict"));
        assert_eq!(firm.journal.writes.borrow().len(), 2);
    });
}

#[test]
fn a_crashed_entrys_claim_does_not_block_the_key() {
    // Guards against a key that is blocked for ever: an entry claimed it and crashed before it
    // sent the booking, and every retry is told that it may have run.
    run_test(async {
        let firm = Firm::start().await;
        let entry = firm.start_entry("entry-1").await;
        let customer = "bowen-loft".parse().unwrap();
        let key = keys::claim(&"tidewater".parse().unwrap(), &customer, "key-1");
        let record = claim::Record {
            attempt: "00000000000000aa-1".to_owned(),
            agent: firm.jobs_agent.unwrap(),
            request: piece::Hash::of(b"POST /bookings\none booking"),
        };
        let value = serde_json::to_vec(&record).unwrap();
        firm.platform
            .with(|objects| objects.put(&key, value.into()));
        let retry = firm.send_booking(&entry, "key-1", "one booking").await;
        assert_eq!(retry, expected(200, "ran", "/bookings one booking"));
        // The crashed entry's attempt arrives late.
        let agent = firm.jobs_agent.unwrap();
        let request = settle::Request {
            attempt: record.attempt.parse().unwrap(),
            agent: agent.process,
        };
        let rpc = rpc::Client::default();
        let call = rpc.call(
            agent.control,
            settle::METHOD,
            &request,
            Duration::from_secs(1),
        );
        let answer: settle::Answer = call.await.unwrap();
        assert_eq!(answer, settle::Answer::Refused);
        assert_eq!(firm.journal.writes.borrow().len(), 1);
    });
}

#[test]
fn a_claim_whose_answer_is_lost_is_read_back() {
    // Guards against an entry that takes its own claim for another's and rejects the booking:
    // the claim was stored, but the platform's answer was lost.
    run_test(async {
        let firm = Firm::start().await;
        let entry = firm.start_entry("entry-1").await;
        firm.platform.set(|faults| faults.lost_answers = 1);
        let first = firm.send_booking(&entry, "key-1", "one booking").await;
        assert_eq!(first, expected(200, "ran", "/bookings one booking"));
        assert_eq!(firm.journal.writes.borrow().len(), 1);
    });
}

#[test]
fn a_write_whose_claim_the_store_lost_is_not_run_again() {
    // Guards against a write that runs twice: the store came back from an older copy, without the
    // claim of a booking that ran, and the caller sends it again through another entry.
    run_test(async {
        let firm = Firm::start().await;
        let (first_entry, second_entry) = (
            firm.start_entry("entry-1").await,
            firm.start_entry("entry-2").await,
        );
        let copy = firm.platform.with(|objects| objects.clone());
        let first = firm.send_booking(&first_entry, "key-1", "booking").await;
        assert_eq!(first, expected(200, "ran", "/bookings booking"));
        // Its first answer from the store tells the second entry the era.
        let other = firm.send_booking(&second_entry, "key-2", "other").await;
        assert_eq!(other, expected(200, "ran", "/bookings other"));
        firm.platform.with(|objects| objects.restore(copy));
        let restored_at = Instant::now();
        let rejected = expected(503, "not-run", "platform");
        loop {
            let retry = firm.send_booking(&second_entry, "key-1", "booking").await;
            if retry != rejected {
                assert_eq!(retry, expected(409, "unknown", "key-conflict"));
                break;
            }
            assert!(restored_at.elapsed() < Duration::from_secs(15));
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
        let retry = firm.send_booking(&first_entry, "key-2", "other").await;
        assert_ne!(retry.0, 200);
        assert_eq!(firm.journal.writes.borrow().len(), 2);
    });
}

#[test]
fn without_the_platform_only_keyed_writes_are_rejected() {
    run_test(async {
        let firm = Firm::start().await;
        let entry = firm.start_entry("entry-1").await;
        firm.platform.set(|faults| faults.down = true);
        let keyed = firm.send_booking(&entry, "key-1", "one booking").await;
        assert_eq!(keyed, expected(503, "not-run", "platform"));
        let plain = request(Method::GET, "/jobs/bookings", "");
        assert_eq!(read_response(firm.send(&entry, plain).await).await.0, 200);
        assert!(firm.journal.writes.borrow().is_empty());
        firm.platform.set(|faults| faults.down = false);
        let keyed = firm.send_booking(&entry, "key-2", "one booking").await;
        assert_eq!(keyed, expected(200, "ran", "/bookings one booking"));
    });
}

#[test]
fn a_stopping_process_completes_its_streams() {
    run_test(async {
        let firm = Firm::start().await;
        let entry = firm.start_entry("entry-1").await;
        let body = r#"{"prompt":"Mend the net.","max_tokens":100,"stream":true}"#;
        let sent = request(Method::POST, "/loft/v1/completions", body);
        let mut stream = firm.send(&entry, sent).await.into_body();
        stream.frame().await.unwrap().unwrap();
        entry.stop.fire();
        monoio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(firm.get_admin(&entry, "/readyz").await, "not ready\n");
        let rest = stream.collect().await.unwrap().to_bytes();
        assert!(rest.ends_with(b"data: [DONE]\n\n"));
        assert_eq!(entry.ended.await, Drained { cut: 0 });
    });
}

#[test]
fn metrics_count_requests_by_outcome() {
    run_test(async {
        let firm = Firm::start().await;
        let entry = firm.start_entry("entry-1").await;
        firm.send_booking(&entry, "key-1", "one booking").await;
        firm.send_booking(&entry, "key-1", "one booking").await;
        let metrics = firm.get_admin(&entry, "/metrics").await;
        for line in [
            "verbenaspool_requests_total{service=\"jobs\",outcome=\"ran\"} 1\n",
            "verbenaspool_requests_total{service=\"jobs\",outcome=\"unknown\"} 1\n",
            "verbenaspool_request_seconds_count{service=\"jobs\"} 1\n",
            "verbenaspool_config_version 1\n",
        ] {
            assert!(metrics.contains(line), "{line} in {metrics}");
        }
        assert_eq!(firm.get_admin(&entry, "/healthz").await, "ok\n");
    });
}
