//! Callers that send requests continuously and check the responses.

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use http_body_util::BodyExt;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};
use rand::{Rng, rngs::SmallRng};
use verbenaspool_platform_standin::{
    text,
    upstream::{CRASHING_BODY, CRASHING_PART, Upstream},
};
use verbenaspool_transport::http::{body::Body, client::Client};

use crate::deployment::{
    COMPETING_CUSTOMERS, CONTESTED_PATH, Deployment, ENDLESS_PATH, FRAGILE_PATHS, KEY,
    customer_key, version_path,
};

/// How long a caller waits for a response: longer than the deadline of any route, so
/// that an entry that answers too late is detected.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Responses that take longer are counted as late; a busy machine may delay them beyond
/// the deadline of the route.
const LATE_AFTER: Duration = Duration::from_millis(3_500);

/// Statuses that guarantee that a request didn't run and won't run.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
];

/// Number of parts of prompts besides the one that all requests have.
const PROMPT_TOPICS: usize = 4;

/// Bytes that a slow caller reads at a time, and the pause after each read.
const SLOW_READ_BYTES: usize = 250;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(250);

/// Name in the ids of requests that share a crashing part.
pub const SHARING_CALLERS: &str = "shared";

/// Sends requests to the entries of a deployment.
pub struct Caller {
    /// The deployment under test.
    pub deployment: Rc<Deployment>,
    /// Number of the caller, part of its request ids.
    pub number: usize,
    /// Determines the requests.
    pub rng: SmallRng,
    /// Client with the caller's keep-alive connections.
    pub client: Client,
}

impl Caller {
    /// Sends requests of all kinds until the deadline.
    pub async fn run(mut self, deadline: std::time::Instant) {
        let mut sent = 0;
        while std::time::Instant::now() < deadline {
            sent += 1;
            let id = format!("c{}-{sent}", self.number);
            match self.rng.random_range(0..12) {
                0..4 => self.send_stream("/stream/", &id).await,
                4 => {
                    self.send_stream(&format!("/{}/", FRAGILE_PATHS[0]), &id)
                        .await;
                }
                5..8 => self.send_booking("/book/slot", &id).await,
                8 => {
                    self.send_booking(&format!("/{}/", FRAGILE_PATHS[1]), &id)
                        .await;
                }
                9..11 => self.send_lookup(&id).await,
                _ => self.check_version(&id).await,
            }
            let pause = self.rng.random_range(1..40);
            monoio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Repeats a request that crashes the upstreams that run it until the deadline, each
    /// time at a random entry.
    pub async fn run_crashing(mut self, deadline: std::time::Instant) {
        let path = FRAGILE_PATHS[self.number % FRAGILE_PATHS.len()];
        let path = format!("/{path}/{}", self.number);
        let mut sent = 0;
        while std::time::Instant::now() < deadline {
            sent += 1;
            let id = format!("x{}-{sent}", self.number);
            if let Some(response) = self.request(&path, &id, CRASHING_BODY, None).await {
                self.check_status(&id, &response);
                let _ = Self::read_body(response).await;
            }
            let pause = self.rng.random_range(50..400);
            monoio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends requests that are different but for a part of their prompts, which crashes the
    /// upstreams that run them, until the deadline.
    pub async fn run_sharing(mut self, deadline: std::time::Instant) {
        let mut sent = 0;
        while std::time::Instant::now() < deadline {
            sent += 1;
            let id = format!("{SHARING_CALLERS}-{}-{sent}", self.number);
            let path = FRAGILE_PATHS[sent % FRAGILE_PATHS.len()];
            let path = format!("/{path}/{id}");
            if let Some(response) = self.request(&path, &id, &id, Some(CRASHING_PART)).await {
                self.check_status(&id, &response);
                let _ = Self::read_body(response).await;
            }
            let pause = self.rng.random_range(50..400);
            monoio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Requests streams without end from random entries, and reads 1 kB/s of them or nothing, until
    /// the deadline.
    pub async fn run_slow(mut self, deadline: std::time::Instant) {
        let mut sent = 0;
        while std::time::Instant::now() < deadline {
            sent += 1;
            let reads = self.rng.random();
            let duration = Duration::from_millis(self.rng.random_range(1_000..14_000));
            let until = deadline.min(std::time::Instant::now() + duration);
            let id = format!("z{}-{sent}", self.number);
            if self.read_slowly(&id, reads, until).await.is_err() {
                self.deployment.checks.count("closed slow readers");
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Requests a stream without end and reads it slowly, or not at all. Fails if the connection is
    /// closed.
    async fn read_slowly(
        &mut self,
        id: &str,
        reads: bool,
        until: std::time::Instant,
    ) -> std::io::Result<()> {
        let entry = {
            let entries = self.deployment.entries.borrow();
            let entry = self.rng.random_range(0..entries.len());
            entries[entry].listen
        };
        let mut stream = TcpStream::connect(entry).await?;
        let request = format!(
            "POST /{ENDLESS_PATH}/ HTTP/1.1\r\nhost: {}\r\nx-request-id: {id}\r\n\
             x-api-key: {KEY}\r\nx-deadline-milliseconds: 60000\r\ncontent-length: 0\r\n\r\n",
            text::HOST
        );
        stream.write_all(request.into_bytes()).await.0?;
        while std::time::Instant::now() < until {
            if reads {
                let read = stream.read(vec![0_u8; SLOW_READ_BYTES]);
                // A stream that is late is read again after the pause.
                if let Ok((read, _)) = monoio::time::timeout(SLOW_READ_PAUSE, read).await
                    && read? == 0
                {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
            }
            monoio::time::sleep(SLOW_READ_PAUSE).await;
        }
        Ok(())
    }

    /// Sends requests of a competing customer until the deadline.
    pub async fn run_competing(mut self, customer: usize, deadline: std::time::Instant) {
        let customer = customer % COMPETING_CUSTOMERS;
        let key = customer_key(customer);
        let mut sent = 0;
        while std::time::Instant::now() < deadline {
            sent += 1;
            let id = format!("k{}-{sent}", self.number);
            let path = format!("/{CONTESTED_PATH}/");
            let response = self.request_as(&key, &path, &id, "body", None).await;
            // A connection that is closed has nothing to do with the customer.
            if let Some(response) = response {
                let answered = self.check_status(&id, &response);
                let answered = answered && Self::read_body(response).await.is_some();
                self.deployment.checks.record_customer(customer, answered);
            }
            let pause = self.rng.random_range(1..20);
            monoio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// The parts of a request's prompt: one that all have, one of a few, `part` if given, and its
    /// own.
    fn prompt(&mut self, id: &str, part: Option<&str>) -> String {
        let topic = self.rng.random_range(0..PROMPT_TOPICS);
        let part = part.map_or_else(String::new, |part| format!("{part}:40,"));
        format!("a0:40,b{topic}:40,{part}{id}:400")
    }

    /// Sends a request with the default body.
    async fn send(&mut self, path: &str, id: &str) -> Option<http::Response<Body>> {
        self.request(path, id, "body", None).await
    }

    /// Sends a request, whose prompt has `part` if given, to a random entry; `None` if no response
    /// head was received.
    async fn request(
        &mut self,
        path: &str,
        id: &str,
        body: &str,
        part: Option<&str>,
    ) -> Option<http::Response<Body>> {
        self.request_as(KEY, path, id, body, part).await
    }

    /// Sends a [`request`](Self::request) with an API key.
    async fn request_as(
        &mut self,
        key: &str,
        path: &str,
        id: &str,
        body: &str,
        part: Option<&str>,
    ) -> Option<http::Response<Body>> {
        let prompt = self.prompt(id, part);
        let entries = self.deployment.entries.borrow().len();
        let entry = self.rng.random_range(0..entries);
        let listen = self.deployment.entries.borrow()[entry].listen;
        let request = text::request(path, id, key)
            .header("x-prompt-prefix", prompt)
            .body(Body::full(body.to_owned()))
            .ok()?;
        let started_at = std::time::Instant::now();
        self.deployment.checks.record_sent(id, entry, started_at);
        let sent = monoio::time::timeout(ANSWER_TIMEOUT, self.client.send(listen, request)).await;
        if started_at.elapsed() > LATE_AFTER && matches!(sent, Ok(Ok(_))) {
            let details = format!("{id} after {:?}", started_at.elapsed());
            self.deployment.checks.count("late");
            if started_at.elapsed() > ANSWER_TIMEOUT {
                self.deployment
                    .checks
                    .record_violation("an answer in time", details);
            }
        }
        let response = sent.ok()?.ok();
        if response.is_none() {
            self.deployment.checks.count("closed");
        }
        response
    }

    /// Reads the whole body of a response; `None` if it was cut off.
    pub async fn read_body(response: http::Response<Body>) -> Option<String> {
        let body = monoio::time::timeout(ANSWER_TIMEOUT, response.into_body().collect()).await;
        let body = body.ok()?.ok()?.to_bytes();
        String::from_utf8(body.to_vec()).ok()
    }

    /// Records what the status guarantees and returns whether it is a success.
    fn check_status(&self, id: &str, response: &http::Response<Body>) -> bool {
        let status = response.status();
        if NOT_RUN_STATUSES.contains(&status) {
            self.deployment.checks.record_not_run(id);
            self.deployment.checks.count("refused");
        } else if status.is_success() {
            if !text::is_signed(response.headers()) {
                let details = format!("{id} has no signature");
                self.deployment
                    .checks
                    .record_violation("the upstream's own answer", details);
            }
            return true;
        } else {
            self.deployment.checks.count("failed");
        }
        false
    }

    /// Sends a request that may run at most once.
    async fn send_booking(&mut self, path: &str, id: &str) {
        self.deployment.checks.record_at_most_once(id);
        self.send_plain(path, id).await;
    }

    /// Sends a request that may run any number of times.
    async fn send_lookup(&mut self, id: &str) {
        self.send_plain("/look/up", id).await;
    }

    /// Sends a request without streaming and checks that the response is complete and its own.
    async fn send_plain(&mut self, path: &str, id: &str) {
        let Some(response) = self.send(path, id).await else {
            return;
        };
        if !self.check_status(id, &response) {
            return;
        }
        match Self::read_body(response).await {
            Some(body) if body == Upstream::expected_answer(path, "body") => {
                self.deployment.checks.count("whole");
            }
            Some(body) => {
                let details = format!("{id} got {body:?}");
                self.deployment
                    .checks
                    .record_violation("the whole answer to its own request", details);
            }
            None => self.deployment.checks.count("broken off"),
        }
    }

    /// Requests a stream and checks that each event arrives once and in order, and that a
    /// stream that ends without an error lacks none.
    async fn send_stream(&mut self, path: &str, id: &str) {
        let Some(response) = self.send(path, id).await else {
            return;
        };
        if !self.check_status(id, &response) {
            return;
        }
        let mut body = response.into_body();
        let mut text = String::new();
        let mut complete = false;
        while let Ok(frame) = monoio::time::timeout(ANSWER_TIMEOUT, body.frame()).await {
            match frame {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    text.push_str(&String::from_utf8_lossy(&data));
                }
                Some(Err(_)) => break,
                None => {
                    complete = true;
                    break;
                }
            }
        }
        let events = Upstream::expected_events(0);
        if complete && text != events || !events.starts_with(&text) {
            let details = format!("{id} got {text:?}, whole: {complete}");
            self.deployment
                .checks
                .record_violation("each event once and in order", details);
        }
        self.deployment
            .checks
            .count(if complete { "whole" } else { "broken off" });
    }

    /// Checks whether an entry serves the route that only the newest version has.
    async fn check_version(&mut self, id: &str) {
        let version = self.deployment.version.get();
        let entry = {
            let entries = self.deployment.entries.borrow().len();
            self.rng.random_range(0..entries)
        };
        let (listen, incarnation) = {
            let entries = self.deployment.entries.borrow();
            (entries[entry].listen, entries[entry].process.incarnation)
        };
        let path = format!("/{}/", version_path(version));
        let Ok(request) = text::request(&path, id, KEY).body(Body::empty()) else {
            return;
        };
        let sent = monoio::time::timeout(
            ANSWER_TIMEOUT,
            self.client.send_on_new_connection(listen, request),
        )
        .await;
        let Ok(Ok(response)) = sent else {
            return;
        };
        let (now, process) = {
            let entries = self.deployment.entries.borrow();
            (
                self.deployment.version.get(),
                entries[entry].process.incarnation,
            )
        };
        // After a change of the configuration or a restart in the meantime, the response
        // shows nothing.
        if now != version || process != incarnation {
            return;
        }
        let found = response.status() != StatusCode::NOT_FOUND;
        if !found || response.status().is_success() {
            self.deployment
                .checks
                .record_version(entry, incarnation, version, found);
        }
    }
}
