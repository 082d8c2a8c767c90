//! Callers that send requests without pause and check their answers.

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use http_body_util::BodyExt;
use rand::{Rng, rngs::SmallRng};
use verbenaspool_platform_standin::{
    text,
    upstream::{CRASHING_BODY, Upstream},
};
use verbenaspool_transport::http::{body::Body, client::Client};

use crate::site::{FRAGILE_PATHS, KEY, Site, version_path};

/// How long a caller waits for an answer: longer than any route allows, so that
/// an entry that holds one back is found.
const WAIT: Duration = Duration::from_secs(6);

/// How long after a route's time a final answer may come, on a busy machine.
const LATE: Duration = Duration::from_millis(3_500);

/// The statuses that promise that a request didn't run and won't.
const PROMISES: [StatusCode; 4] = [
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
];

/// One caller.
pub struct Caller {
    /// The site that it calls.
    pub site: Rc<Site>,
    /// Its number, for its requests' ids.
    pub number: usize,
    /// What decides its requests.
    pub rng: SmallRng,
    /// Its connections, which it keeps open.
    pub client: Client,
}

impl Caller {
    /// Sends requests until the deadline on the loop's clock.
    pub async fn run(mut self, until: std::time::Instant) {
        let mut sent = 0;
        while std::time::Instant::now() < until {
            sent += 1;
            let id = format!("c{}-{sent}", self.number);
            match self.rng.random_range(0..12) {
                0..4 => self.stream("/stream/", &id).await,
                4 => self.stream(&format!("/{}/", FRAGILE_PATHS[0]), &id).await,
                5..8 => self.book("/book/slot", &id).await,
                8 => self.book(&format!("/{}/", FRAGILE_PATHS[1]), &id).await,
                9..11 => self.look(&id).await,
                _ => self.version(&id).await,
            }
            let pause = self.rng.random_range(1..40);
            monoio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends the same request again and again until the deadline, each time to some entry,
    /// though it crashes the upstreams that run it.
    pub async fn insist(mut self, until: std::time::Instant) {
        let path = FRAGILE_PATHS[self.number % FRAGILE_PATHS.len()];
        let path = format!("/{path}/{}", self.number);
        let mut sent = 0;
        while std::time::Instant::now() < until {
            sent += 1;
            let id = format!("x{}-{sent}", self.number);
            if let Some(response) = self.request(&path, &id, CRASHING_BODY).await {
                self.judge(&id, &response);
                let _ = Self::body(response).await;
            }
            let pause = self.rng.random_range(50..400);
            monoio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends a request with the usual body.
    async fn send(&mut self, path: &str, id: &str) -> Option<http::Response<Body>> {
        self.request(path, id, "body").await
    }

    /// Sends a request to some entry; nothing where no head came back.
    async fn request(&mut self, path: &str, id: &str, body: &str) -> Option<http::Response<Body>> {
        let entries = self.site.entries.borrow().len();
        let entry = self.rng.random_range(0..entries);
        let listen = self.site.entries.borrow()[entry].listen;
        let request = text::request(path, id, KEY)
            .body(Body::full(body.to_owned()))
            .ok()?;
        let began = std::time::Instant::now();
        let sent = monoio::time::timeout(WAIT, self.client.send(listen, request)).await;
        if began.elapsed() > LATE && matches!(sent, Ok(Ok(_))) {
            let what = format!("{id} after {:?}", began.elapsed());
            self.site.checks.count("late");
            if began.elapsed() > WAIT {
                self.site.checks.broke("an answer in time", what);
            }
        }
        let response = sent.ok()?.ok();
        if response.is_none() {
            self.site.checks.count("closed");
        }
        response
    }

    /// The whole body of an answer, or nothing where it broke off.
    async fn body(response: http::Response<Body>) -> Option<String> {
        let body = monoio::time::timeout(WAIT, response.into_body().collect()).await;
        let body = body.ok()?.ok()?.to_bytes();
        String::from_utf8(body.to_vec()).ok()
    }

    /// Notes what a status promises; tells whether it is a success.
    fn judge(&self, id: &str, response: &http::Response<Body>) -> bool {
        let status = response.status();
        if PROMISES.contains(&status) {
            self.site.checks.refused(id);
            self.site.checks.count("refused");
        } else if status.is_success() {
            if !text::is_signed(response.headers()) {
                let what = format!("{id} has no signature");
                self.site.checks.broke("the upstream's own answer", what);
            }
            return true;
        } else {
            self.site.checks.count("failed");
        }
        false
    }

    /// A booking, which may run once.
    async fn book(&mut self, path: &str, id: &str) {
        self.site.checks.once(id);
        self.whole(path, id).await;
    }

    /// A look-up, which may run any number of times.
    async fn look(&mut self, id: &str) {
        self.whole("/look/up", id).await;
    }

    /// A plain request, whose answer must be its own and whole.
    async fn whole(&mut self, path: &str, id: &str) {
        let Some(response) = self.send(path, id).await else {
            return;
        };
        if !self.judge(id, &response) {
            return;
        }
        match Self::body(response).await {
            Some(body) if body == Upstream::expected_answer(path, "body") => {
                self.site.checks.count("whole");
            }
            Some(body) => {
                let what = format!("{id} got {body:?}");
                self.site
                    .checks
                    .broke("the whole answer to its own request", what);
            }
            None => self.site.checks.count("broken off"),
        }
    }

    /// A stream: each event once and in order, and none missing where it ends whole.
    async fn stream(&mut self, path: &str, id: &str) {
        let Some(response) = self.send(path, id).await else {
            return;
        };
        if !self.judge(id, &response) {
            return;
        }
        let mut body = response.into_body();
        let mut text = String::new();
        let mut whole = false;
        while let Ok(frame) = monoio::time::timeout(WAIT, body.frame()).await {
            match frame {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    text.push_str(&String::from_utf8_lossy(&data));
                }
                Some(Err(_)) => break,
                None => {
                    whole = true;
                    break;
                }
            }
        }
        let events = Upstream::expected_events(0);
        if whole && text != events || !events.starts_with(&text) {
            let what = format!("{id} got {text:?}, whole: {whole}");
            self.site.checks.broke("each event once and in order", what);
        }
        self.site
            .checks
            .count(if whole { "whole" } else { "broken off" });
    }

    /// Asks an entry for what only the newest version has.
    async fn version(&mut self, id: &str) {
        let version = self.site.version.get();
        let entry = {
            let entries = self.site.entries.borrow().len();
            self.rng.random_range(0..entries)
        };
        let (listen, incarnation) = {
            let entries = self.site.entries.borrow();
            (entries[entry].listen, entries[entry].process.incarnation)
        };
        let path = format!("/{}/", version_path(version));
        let Ok(request) = text::request(&path, id, KEY).body(Body::empty()) else {
            return;
        };
        let sent =
            monoio::time::timeout(WAIT, self.client.send_on_new_connection(listen, request)).await;
        let Ok(Ok(response)) = sent else {
            return;
        };
        let (now, process) = {
            let entries = self.site.entries.borrow();
            (self.site.version.get(), entries[entry].process.incarnation)
        };
        // A change or a new process meanwhile makes the answer say nothing.
        if now != version || process != incarnation {
            return;
        }
        let serves = response.status() != StatusCode::NOT_FOUND;
        if !serves || response.status().is_success() {
            self.site
                .checks
                .version(entry, incarnation, version, serves);
        }
    }
}
