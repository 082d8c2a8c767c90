//! Callers that send requests continuously, and the answers that they got.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use http::Request;
use http_body_util::BodyExt;
use serde_json::json;
use verbenaspool_protocol::{header, outcome::Outcome};
use verbenaspool_standin::{
    engine::text,
    history::{answers, outcomes},
};
use verbenaspool_transport::http::{
    body::Body,
    client::{Client, Error},
};

use crate::deployment::{CREDENTIAL, Deployment};

/// Number of callers.
const CALLER_COUNT: u64 = 10;
/// How often a caller sends a write with the same key, to alternating entries.
const MAX_ATTEMPTS: usize = 3;
/// Timeout for the head of a response. Without it, callers of a paused entry would never
/// try another one.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause of a caller after each request.
const REQUEST_PAUSE: Duration = Duration::from_millis(4);

/// The answers that callers got.
#[derive(Debug, Default)]
pub struct History {
    /// Answers to completions.
    pub answers: Vec<answers::Entry>,
    /// The final outcome of each write.
    pub writes: Vec<outcomes::Entry>,
}

/// An answer as it was received.
struct Reply {
    outcome: Outcome,
    body: Vec<u8>,
    ended: bool,
    /// Why it is incomplete.
    error: Option<String>,
}

/// A caller.
struct Caller {
    number: u64,
    addresses: Vec<SocketAddr>,
    client: Client,
    sent: u64,
}

/// The running callers.
pub struct Callers {
    stop: Rc<Cell<bool>>,
    active: Rc<Cell<u64>>,
    history: Rc<RefCell<History>>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(deployment: &Deployment) -> Self {
        let callers = Self {
            stop: Rc::default(),
            active: Rc::new(Cell::new(CALLER_COUNT)),
            history: Rc::default(),
        };
        for number in 0..CALLER_COUNT {
            let mut caller = Caller {
                number,
                addresses: deployment.addresses.clone(),
                client: Client::new(Duration::from_secs(1)),
                sent: 0,
            };
            let (stop, active) = (callers.stop.clone(), callers.active.clone());
            let history = callers.history.clone();
            monoio::spawn(async move {
                while !stop.get() {
                    caller.send_next(&history).await;
                    monoio::time::sleep(REQUEST_PAUSE).await;
                }
                active.set(active.get() - 1);
            });
        }
        callers
    }

    /// Number of complete answers so far.
    pub fn whole_answers(&self) -> usize {
        let history = self.history.borrow();
        history.answers.iter().filter(|answer| answer.ended).count()
    }

    /// Waits for the last requests and returns the history.
    pub async fn stop(self) -> History {
        self.stop.set(true);
        while self.active.get() > 0 {
            monoio::time::sleep(REQUEST_PAUSE).await;
        }
        self.history.take()
    }
}

impl Caller {
    /// Sends a write or a completion request, alternately.
    async fn send_next(&mut self, history: &RefCell<History>) {
        self.sent += 1;
        if (self.sent + self.number).is_multiple_of(2) {
            let entry = self.write().await;
            history.borrow_mut().writes.push(entry);
        } else {
            let entry = self.complete().await;
            history.borrow_mut().answers.push(entry);
        }
    }

    /// Sends a write, up to [`MAX_ATTEMPTS`] times with the same key, until an answer says
    /// that it ran. After an unknown outcome, a later "not run" still counts as unknown.
    async fn write(&self) -> outcomes::Entry {
        let name = format!("write-{}-{}", self.number, self.sent);
        let mut outcome = Outcome::NotRun;
        for attempt in 0..MAX_ATTEMPTS {
            let sent = request("/jobs/bookings")
                .header(header::IDEMPOTENCY_KEY, &name)
                .body(Body::full(name.clone()))
                .expect("a request");
            outcome = match (outcome, self.send(attempt, sent).await.outcome) {
                (_, Outcome::Ran) => Outcome::Ran,
                (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
                _ => Outcome::NotRun,
            };
            if outcome == Outcome::Ran {
                break;
            }
            monoio::time::sleep(REQUEST_PAUSE).await;
        }
        outcomes::Entry {
            request: name,
            outcome,
        }
    }

    /// Requests a streamed completion.
    async fn complete(&self) -> answers::Entry {
        let prompt = format!("prompt-{}-{}", self.number, self.sent);
        let tokens = 3 + u32::try_from(self.sent % 20).expect("a small number");
        let body = json!({"prompt": prompt, "max_tokens": tokens, "stream": true});
        let sent = request("/loft/v1/completions")
            .body(Body::full(body.to_string()))
            .expect("a request");
        let sent_at = time_of_day();
        let reply = self.send(0, sent).await;
        if let (Outcome::Unknown, Some(error)) = (reply.outcome, &reply.error) {
            let (number, lost_at) = (self.number, time_of_day());
            eprintln!("caller {number}, {prompt}, sent at {sent_at}, lost at {lost_at}: {error}");
        }
        let received = if reply.outcome == Outcome::Ran && reply.ended {
            text::parse(&reply.body).unwrap_or_else(|| {
                let body = String::from_utf8_lossy(&reply.body);
                eprintln!("{prompt}: unreadable answer: {body:?}");
                "no answer".to_owned()
            })
        } else {
            String::new()
        };
        answers::Entry {
            request: self.number * 1_000_000 + self.sent,
            expected: text::answer(&prompt, tokens),
            outcome: reply.outcome,
            received,
            ended: reply.ended,
        }
    }

    /// Sends a request to one of the entries and reads the answer.
    async fn send(&self, attempt: usize, request: Request<Body>) -> Reply {
        let index = usize::try_from(self.number).expect("a small number") + attempt;
        let entry = self.addresses[index % self.addresses.len()];
        let incomplete = |outcome, error: String| Reply {
            outcome,
            body: Vec::new(),
            ended: false,
            error: Some(error),
        };
        let sent = monoio::time::timeout(RESPONSE_TIMEOUT, self.client.send(entry, request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error @ Error::NotSent(_))) => {
                return incomplete(Outcome::NotRun, error.to_string());
            }
            Ok(Err(error)) => return incomplete(Outcome::Unknown, error.to_string()),
            Err(_) => return incomplete(Outcome::Unknown, "no response in time".to_owned()),
        };
        let value = response.headers().get(header::OUTCOME);
        let outcome = Outcome::from_header(value.and_then(|value| value.to_str().ok()));
        match response.into_body().collect().await {
            Ok(body) => Reply {
                outcome,
                body: body.to_bytes().to_vec(),
                ended: true,
                error: None,
            },
            Err(error) => {
                let outcome = match outcome {
                    Outcome::NotRun => Outcome::NotRun,
                    _ => Outcome::Unknown,
                };
                incomplete(outcome, format!("the body broke off: {error}"))
            }
        }
    }
}

/// The time of day in UTC, as in the processes' logs.
fn time_of_day() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.expect("a time after 1970");
    let (seconds, millis) = (now.as_secs(), now.subsec_millis());
    let (hours, minutes) = (seconds / 3_600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{millis:03}", seconds % 60)
}

/// Builds the head of a request.
fn request(path: &str) -> http::request::Builder {
    Request::post(path)
        .header("host", "entry")
        .header("authorization", format!("Bearer {CREDENTIAL}"))
}
