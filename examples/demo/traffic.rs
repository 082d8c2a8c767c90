//! Callers that send requests sequentially and check each answer.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use http::{Method, Request};
use http_body_util::BodyExt;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use verbenaspool_protocol::{header, outcome::Outcome};
use verbenaspool_standin::engine::text;
use verbenaspool_state::{file::File, service::Kind};
use verbenaspool_transport::{
    clock::Clock,
    http::{body::Body, client::Client},
};

use crate::deployment::Deployment;

/// Number of callers of each firm.
const CALLERS_PER_FIRM: usize = 24;
/// Share of requests to the plain service.
const PLAIN_SHARE: f64 = 0.3;
/// Pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(5);
/// Pause of a caller after a rejection.
const REJECTION_PAUSE: Duration = Duration::from_millis(50);

/// Result of one request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Outcome reported to the caller.
    pub outcome: Outcome,
    /// Whether the answer differs from the expected one.
    pub wrong_answer: bool,
    /// Body of a write, which identifies it.
    pub write: Option<String>,
    /// Time until the answer was complete or the request failed.
    pub duration: Duration,
}

/// The running callers.
pub struct Callers {
    stop: Rc<Cell<bool>>,
    running: Rc<Cell<usize>>,
    calls: Rc<RefCell<Vec<Call>>>,
}

/// A caller and what it sends its requests with.
struct Caller {
    name: String,
    entry: SocketAddr,
    token: String,
    model_path: String,
    plain_path: String,
    client: Client,
    clock: Rc<dyn Clock>,
    random: SmallRng,
    sent: u64,
}

/// Starts the callers of all firms.
pub fn start(deployment: &Deployment) -> Callers {
    let callers = Callers {
        stop: Rc::default(),
        running: Rc::default(),
        calls: Rc::default(),
    };
    for firm in &deployment.firms {
        let client = Client::new(Duration::from_secs(1));
        for number in 0..CALLERS_PER_FIRM {
            let entry = firm.entries[number % firm.entries.len()].listen;
            let caller = Caller::new(deployment, &firm.file, number, entry, client.clone());
            callers.running.set(callers.running.get() + 1);
            monoio::spawn(caller.run(
                callers.stop.clone(),
                callers.running.clone(),
                callers.calls.clone(),
            ));
        }
    }
    callers
}

impl Callers {
    /// Waits for the last request of each caller, and returns the results of all requests.
    pub async fn stop(self) -> Vec<Call> {
        self.stop.set(true);
        while self.running.get() > 0 {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        self.calls.take()
    }
}

impl Caller {
    fn new(
        deployment: &Deployment,
        file: &File,
        number: usize,
        entry: SocketAddr,
        client: Client,
    ) -> Self {
        let customers: Vec<_> = file
            .customers
            .iter()
            .filter(|customer| customer.services.is_empty())
            .collect();
        let customer = &customers[number % customers.len()].name;
        let path = |model: bool| {
            let service = file
                .services
                .iter()
                .find(|service| matches!(service.kind, Kind::Model(_)) == model);
            service.expect("the examples have both kinds").path.clone()
        };
        Self {
            name: format!("{}-{number}", file.firm),
            entry,
            token: format!("demo-{}-{customer}", file.firm),
            model_path: path(true),
            plain_path: path(false),
            client,
            clock: deployment.clock.clone(),
            random: SmallRng::seed_from_u64(number as u64),
            sent: 0,
        }
    }

    async fn run(
        mut self,
        stop: Rc<Cell<bool>>,
        running: Rc<Cell<usize>>,
        calls: Rc<RefCell<Vec<Call>>>,
    ) {
        while !stop.get() {
            self.sent += 1;
            let call = if self.random.random_bool(PLAIN_SHARE) {
                self.send_write().await
            } else {
                self.send_completion().await
            };
            let pause = if call.outcome == Outcome::NotRun {
                REJECTION_PAUSE
            } else {
                REQUEST_PAUSE
            };
            calls.borrow_mut().push(call);
            self.clock.sleep(pause).await;
        }
        running.set(running.get() - 1);
    }

    /// Starts a POST request with the caller's credential.
    fn request(&self, path: &str) -> http::request::Builder {
        Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("host", "entry")
            .header("authorization", format!("Bearer {}", self.token))
    }

    /// Requests a completion and checks that it belongs to the prompt.
    async fn send_completion(&mut self) -> Call {
        let prompt = format!("{} asks for the {}th time", self.name, self.sent);
        let tokens = self.random.random_range(4..32);
        let body = serde_json::json!({
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": self.random.random_bool(0.5),
        });
        let request = self
            .request(&format!("{}v1/completions", self.model_path))
            .header("content-type", "application/json")
            .body(Body::full(body.to_string()))
            .expect("a plain request");
        let expected = text::answer(&prompt, tokens);
        self.send(
            request,
            |body| text::parse(body).as_deref() == Some(&expected),
            None,
        )
        .await
    }

    /// Sends a write that must run at most once.
    async fn send_write(&mut self) -> Call {
        let body = format!("{} writes {}", self.name, self.sent);
        let request = self
            .request(&format!("{}records", self.plain_path))
            .header(header::IDEMPOTENCY_KEY, body.replace(' ', "-"))
            .body(Body::full(body.clone()))
            .expect("a plain request");
        let expected = format!("/records {body}");
        self.send(request, |answer| answer == expected.as_bytes(), Some(body))
            .await
    }

    /// Sends a request, reads the complete answer and checks it.
    async fn send(
        &self,
        request: Request<Body>,
        is_expected: impl Fn(&[u8]) -> bool,
        write: Option<String>,
    ) -> Call {
        let started_at = self.clock.now();
        let (outcome, wrong_answer) = match self.client.send(self.entry, request).await {
            Err(_) => (Outcome::Unknown, false),
            Ok(response) => {
                let outcome_header = response.headers().get(header::OUTCOME);
                let outcome =
                    Outcome::from_header(outcome_header.and_then(|value| value.to_str().ok()));
                match response.into_body().collect().await {
                    Err(_) => (Outcome::Unknown, false),
                    Ok(body) => (
                        outcome,
                        outcome == Outcome::Ran && !is_expected(&body.to_bytes()),
                    ),
                }
            }
        };
        Call {
            outcome,
            wrong_answer,
            write,
            duration: self.clock.now().saturating_sub(started_at),
        }
    }
}
