//! One request's way to an upstream: attempts, until one of them answers.

use std::{rc::Rc, time::Duration};

use http::{
    HeaderMap, Method, Response, Uri, Version,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
};
use verbenaspool_policy::{attempt::Ending, request::Request as Work};
use verbenaspool_protocol::{
    header,
    outcome::Outcome,
    problem::{Code, Problem},
};
use verbenaspool_state::{
    fingerprint::Fingerprint,
    name::Name,
    service::{Kind, Service},
};
use verbenaspool_transport::{
    http::{body::Body, hop},
    trace::span,
};

use super::{
    Entry,
    answer::{self, Answer, Limit},
    claim::{self, Claimed},
    exchange::{self, Exchange, Failure, read},
    observe::{Ended, Observation},
    prompt::Prompt,
    queue::{Attempt, Queue},
    reply,
    upload::{Fault, Upload},
};

/// A request that was let in, ready to be sent.
pub struct Forward {
    /// The entry.
    pub entry: Rc<Entry>,
    /// The service's queue.
    pub queue: Rc<Queue>,
    /// The service.
    pub service: Rc<Service>,
    /// The request's method.
    pub method: Method,
    /// The path and query below the service's own path.
    pub uri: Uri,
    /// The caller's headers, without those that aren't passed on.
    pub headers: HeaderMap,
    /// The caller's body.
    pub upload: Upload,
    /// The customer.
    pub customer: Name,
    /// How urgent it is.
    pub priority: u8,
    /// When the whole answer must be there.
    pub deadline: Duration,
    /// Whether the caller itself named the deadline.
    pub named: bool,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The key that makes a write run at most once.
    pub key: Option<String>,
    /// What identifies it, where its whole body is here.
    pub fingerprint: Option<Fingerprint>,
    /// The estimate of its work.
    pub prompt: Prompt,
    /// What is measured of it.
    pub observation: Observation,
}

impl Forward {
    /// Sends the request until an attempt answers or no other is allowed.
    pub async fn run(self: Rc<Self>) -> Response<Body> {
        match self.attempts().await {
            Ok(response) => response,
            Err(problem) => {
                self.observation.end(Ended::Outcome(problem.outcome));
                reply::problem(&problem)
            }
        }
    }

    /// The request as the balancer sees it.
    #[must_use]
    pub fn work(&self) -> Work<'_> {
        Work {
            customer: &self.customer,
            priority: self.priority,
            deadline: self.deadline,
            idempotent: self.idempotent,
            prompt_tokens: self.prompt.tokens,
            max_tokens: self.prompt.max_tokens,
            prefixes: &self.prompt.prefixes,
        }
    }

    /// The time left before the deadline.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.entry.clock.now())
    }

    /// Gets a place, claims the key where there is one, and makes attempts.
    async fn attempts(self: &Rc<Self>) -> Result<Response<Body>, Problem> {
        if let Some(left) = self.quarantined() {
            let message = "Upstreams crash under the request.";
            return Err(Problem::not_run(Code::Quarantined, message).with_retry_after(left));
        }
        let attempt = self.admit().await?;
        let mut claimed = self.claim(&attempt).await?;
        let result = self.send(attempt, &mut claimed).await;
        if let (Some(claimed), Err(problem)) = (claimed, &result)
            && problem.outcome == Outcome::NotRun
        {
            // Before the caller hears that it may repeat, its key must be free.
            claimed.release().await;
        }
        result
    }

    /// Waits for a place.
    async fn admit(&self) -> Result<Attempt, Problem> {
        let span = self.observation.step("queue", span::Kind::Internal);
        let since = self.entry.clock.now();
        let admitted = self.queue.admit(&self.work()).await;
        drop(span);
        let attempt = admitted.map_err(reply::refusal)?;
        self.observation.queued(since);
        Ok(attempt)
    }

    /// Claims the caller's key for the first attempt. That comes after the
    /// place, so that a crowd that is turned away costs the platform no writes.
    async fn claim(&self, attempt: &Attempt) -> Result<Option<Claimed>, Problem> {
        let Some(key) = self.key.as_ref().filter(|_| !self.idempotent) else {
            return Ok(None);
        };
        let span = self.observation.step("platform call", span::Kind::Client);
        let claimed = match exchange::ticket(self, attempt).await {
            Ok(ticket) => claim::take(self, key, ticket).await,
            Err(failure) => Err(failure.problem),
        };
        drop(span);
        if claimed.is_err() {
            attempt.finish(Ending::Cancelled, 0, 0);
        }
        claimed.map(Some)
    }

    /// Has the claim name the next attempt.
    async fn renew(&self, attempt: &Attempt, claimed: &mut Claimed) -> Result<(), Problem> {
        let span = self.observation.step("platform call", span::Kind::Client);
        let renewed = match exchange::ticket(self, attempt).await {
            Ok(ticket) => claimed.renew(self, ticket).await,
            Err(failure) => Err(failure.problem),
        };
        drop(span);
        if renewed.is_err() {
            attempt.finish(Ending::Cancelled, 0, 0);
        }
        renewed
    }

    /// Makes attempts, each decided by the balancer.
    ///
    /// Once an attempt may have run, so may the request: a later attempt's
    /// refusal is true of that attempt only. Passed on as it is, it would tell
    /// the caller that nothing ran, and the caller would send the work again.
    async fn send(
        self: &Rc<Self>,
        first: Attempt,
        claimed: &mut Option<Claimed>,
    ) -> Result<Response<Body>, Problem> {
        let mut attempt = first;
        let mut perhaps = false;
        let mut tried = Vec::new();
        loop {
            tried.push(attempt.upstream().clone());
            let made = match claimed {
                Some(claimed) => {
                    let ticket = claimed.ticket.clone();
                    exchange::make_under(self, attempt, ticket, None).await
                }
                None => exchange::make(self, attempt, None).await,
            };
            let mut failure = match made {
                Ok(exchange) => return Ok(self.pass(exchange, tried)),
                Err(failure) => failure,
            };
            perhaps |= failure.ending != Ending::NotRun;
            if perhaps && failure.problem.outcome == Outcome::NotRun {
                failure.problem = exchange::lost().problem;
            }
            attempt = self.again(failure, &tried).await?;
            if let Some(claimed) = claimed {
                self.renew(&attempt, claimed).await?;
            }
        }
    }

    /// How much longer the request is rejected, if it is.
    fn quarantined(&self) -> Option<Duration> {
        self.entry.quarantined(self.fingerprint?)
    }

    /// Learns from the agent beside an upstream that broke off whether that crashed. Tells
    /// whether the request may be sent again.
    async fn learn_crash(&self, upstream: &Name) -> bool {
        if self.fingerprint.is_some() {
            self.entry.ask(upstream).await;
        }
        self.quarantined().is_none()
    }

    /// The next attempt after a failure, if one is allowed.
    async fn again(&self, failure: Failure, tried: &[Name]) -> Result<Attempt, Problem> {
        if let Some(problem) = self.fault() {
            return Err(problem);
        }
        if failure.ending == Ending::Unknown
            && let Some(upstream) = tried.last()
            && !self.learn_crash(upstream).await
        {
            return Err(failure.problem);
        }
        // Work that may have run is repeated only where it may run twice.
        let safe = failure.ending == Ending::NotRun
            || failure.ending == Ending::Unknown && self.idempotent;
        if !safe || !self.upload.replayable() {
            return Err(failure.problem);
        }
        let retried = self.queue.retry(&self.work(), failure.ending, tried).await;
        retried.map_err(|refusal| failure.problem.with_retry_after(refusal.retry_after))
    }

    /// What the caller's own body did wrong; it was the cause of the failure then.
    fn fault(&self) -> Option<Problem> {
        let problem = match self.upload.fault()? {
            // The upstream got a broken request, and may have acted on its start.
            Fault::TooLarge => Problem::unknown(Code::TooLarge, "The body is too large."),
            Fault::Slow => Problem::unknown(Code::SlowSender, "The body paused for too long."),
            Fault::Broken => Problem::unknown(Code::BadRequest, "The body broke off."),
            Fault::Gone => return None,
        };
        Some(problem)
    }

    /// Passes an answer on as it comes.
    fn pass(self: &Rc<Self>, exchange: Exchange, tried: Vec<Name>) -> Response<Body> {
        self.observation.answered();
        let (mut parts, body) = exchange.response.into_parts();
        let resumes = self.resumes(&parts.headers);
        self.upload.settle(resumes);
        let length = parts.headers.remove(CONTENT_LENGTH);
        hop::strip(&mut parts.headers);
        // A HEAD's answer names the length of a body that isn't there.
        if let Some(length) = length.filter(|_| self.method == Method::HEAD) {
            parts.headers.insert(CONTENT_LENGTH, length);
        }
        parts.headers.remove(header::LOAD);
        parts.version = Version::HTTP_11;
        let limit = self
            .named
            .then(|| Limit(self.entry.clock.sleep(self.left())));
        let source = answer::Source {
            body,
            attempt: exchange.attempt,
            span: exchange.span,
        };
        let events = streams(&parts.headers);
        let answer = Answer::new(
            self.clone(),
            source,
            limit,
            events,
            resumes.then_some(tried),
        );
        Response::from_parts(parts, answer.into_body())
    }

    /// Whether a broken answer can go on at another upstream.
    fn resumes(&self, headers: &HeaderMap) -> bool {
        let Kind::Model(model) = &self.service.kind else {
            return false;
        };
        model.resume && streams(headers) && self.upload.replayable()
    }

    /// Goes on with a broken stream after the tokens that the caller has.
    pub async fn resume(
        self: Rc<Self>,
        tokens: u32,
        mut tried: Vec<Name>,
    ) -> Option<(Exchange, Vec<Name>)> {
        if !self.learn_crash(tried.last()?).await {
            return None;
        }
        let retried = self
            .queue
            .retry(&self.work(), Ending::Unknown, &tried)
            .await;
        let mut attempt = retried.ok()?;
        loop {
            tried.push(attempt.upstream().clone());
            match exchange::make(&self, attempt, Some(tokens)).await {
                Ok(exchange) => {
                    // Only an engine that says so goes on behind them; any other
                    // would begin anew, and the caller would read tokens twice.
                    let behind = read(exchange.response.headers(), header::RESUME);
                    let goes_on = behind.and_then(|text| text.parse().ok()) == Some(tokens);
                    return goes_on.then_some((exchange, tried));
                }
                Err(failure) => attempt = self.again(failure, &tried).await.ok()?,
            }
        }
    }
}

/// Whether an answer is a stream of server-sent events.
fn streams(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}
