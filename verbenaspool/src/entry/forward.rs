//! One request's way to an upstream: attempts, until one of them answers.

use std::{rc::Rc, time::Duration};

use http::{
    HeaderMap, Method, Response, Uri, Version,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
};
use verbenaspool_policy::{attempt::Ending, request::Request as PolicyRequest};
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
    answer::{self, Answer, Deadline},
    claim::{self, Claimed},
    exchange::{self, Exchange, Failure, header_text},
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
    pub deadline_from_caller: bool,
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
        match self.execute().await {
            Ok(response) => response,
            Err(problem) => {
                self.observation.end(Ended::Outcome(problem.outcome));
                reply::problem(&problem)
            }
        }
    }

    /// The request as the balancer sees it.
    #[must_use]
    pub fn policy_request(&self) -> PolicyRequest<'_> {
        PolicyRequest {
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
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.entry.clock.now())
    }

    /// Gets a place, claims the key where there is one, and makes attempts.
    async fn execute(self: &Rc<Self>) -> Result<Response<Body>, Problem> {
        if let Some(time_left) = self.quarantine_time_left() {
            let message = "Upstreams crash under the request.";
            return Err(Problem::not_run(Code::Quarantined, message).after(time_left));
        }
        let attempt = self.wait_for_admission().await?;
        let mut claimed = self.claim_key(&attempt).await?;
        let result = self.send_attempts(attempt, &mut claimed).await;
        if let (Some(claimed), Err(problem)) = (claimed, &result)
            && problem.outcome == Outcome::NotRun
        {
            // Before the caller hears that it may repeat, its key must be free.
            claimed.release().await;
        }
        result
    }

    /// Waits for a place.
    async fn wait_for_admission(&self) -> Result<Attempt, Problem> {
        let span = self.observation.child_span("queue", span::Kind::Internal);
        let queued_at = self.entry.clock.now();
        let admitted = self.queue.admit(&self.policy_request()).await;
        drop(span);
        let attempt = admitted.map_err(reply::rejection)?;
        self.observation.record_queue_time(queued_at);
        Ok(attempt)
    }

    /// Claims the caller's key for the first attempt. That comes after the
    /// place, so that a crowd that is turned away costs the platform no writes.
    async fn claim_key(&self, attempt: &Attempt) -> Result<Option<Claimed>, Problem> {
        let Some(key) = self.key.as_ref().filter(|_| !self.idempotent) else {
            return Ok(None);
        };
        let span = self
            .observation
            .child_span("platform call", span::Kind::Client);
        let claimed = match exchange::resolve_target(self, attempt).await {
            Ok(target) => claim::acquire(self, key, target).await,
            Err(failure) => Err(failure.problem),
        };
        drop(span);
        if claimed.is_err() {
            attempt.finish(Ending::Cancelled, 0, 0);
        }
        claimed.map(Some)
    }

    /// Has the claim name the next attempt.
    async fn renew_claim(&self, attempt: &Attempt, claimed: &mut Claimed) -> Result<(), Problem> {
        let span = self
            .observation
            .child_span("platform call", span::Kind::Client);
        let renewed = match exchange::resolve_target(self, attempt).await {
            Ok(target) => claimed.renew(self, target).await,
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
    async fn send_attempts(
        self: &Rc<Self>,
        first: Attempt,
        claimed: &mut Option<Claimed>,
    ) -> Result<Response<Body>, Problem> {
        let mut attempt = first;
        let mut may_have_run = false;
        let mut tried = Vec::new();
        loop {
            tried.push(attempt.upstream().clone());
            let result = match claimed {
                Some(claimed) => {
                    let target = claimed.target.clone();
                    exchange::send_to(self, attempt, target, None).await
                }
                None => exchange::send(self, attempt, None).await,
            };
            let mut failure = match result {
                Ok(exchange) => return Ok(self.relay_response(exchange, tried)),
                Err(failure) => failure,
            };
            may_have_run |= failure.ending != Ending::NotRun;
            if may_have_run && failure.problem.outcome == Outcome::NotRun {
                failure.problem = exchange::answer_lost().problem;
            }
            attempt = self.next_attempt(failure, &tried).await?;
            if let Some(claimed) = claimed {
                self.renew_claim(&attempt, claimed).await?;
            }
        }
    }

    /// How much longer the request is rejected, if it is.
    fn quarantine_time_left(&self) -> Option<Duration> {
        self.entry.quarantine_time_left(self.fingerprint?)
    }

    /// Learns from the agent beside an upstream that broke off whether that crashed. Tells
    /// whether the request may be sent again.
    async fn check_quarantine(&self, upstream: &Name) -> bool {
        if self.fingerprint.is_some() {
            self.entry.request_report(upstream).await;
        }
        self.quarantine_time_left().is_none()
    }

    /// The next attempt after a failure, if one is allowed.
    async fn next_attempt(&self, failure: Failure, tried: &[Name]) -> Result<Attempt, Problem> {
        if let Some(problem) = self.upload_problem() {
            return Err(problem);
        }
        if failure.ending == Ending::Unknown
            && let Some(upstream) = tried.last()
            && !self.check_quarantine(upstream).await
        {
            return Err(failure.problem);
        }
        // Work that may have run is repeated only where it may run twice.
        let may_run_again = failure.ending == Ending::NotRun
            || failure.ending == Ending::Unknown && self.idempotent;
        if !may_run_again || !self.upload.is_replayable() {
            return Err(failure.problem);
        }
        let retried = self
            .queue
            .retry(&self.policy_request(), failure.ending, tried)
            .await;
        retried.map_err(|rejection| failure.problem.after(rejection.retry_after))
    }

    /// What the caller's own body did wrong; it was the cause of the failure then.
    fn upload_problem(&self) -> Option<Problem> {
        let problem = match self.upload.fault()? {
            // The upstream got a broken request, and may have acted on its start.
            Fault::TooLarge => Problem::unknown(Code::TooLarge, "The body is too large."),
            Fault::Slow => Problem::unknown(Code::SlowSender, "The body paused for too long."),
            Fault::Broken => Problem::unknown(Code::BadRequest, "The body broke off."),
            Fault::NotReplayable => return None,
        };
        Some(problem)
    }

    /// Passes an answer on as it comes.
    fn relay_response(self: &Rc<Self>, exchange: Exchange, tried: Vec<Name>) -> Response<Body> {
        self.observation.record_first_byte();
        let (mut parts, body) = exchange.response.into_parts();
        let resumable = self.is_resumable(&parts.headers);
        self.upload.release_buffer(resumable);
        let length = parts.headers.remove(CONTENT_LENGTH);
        hop::strip(&mut parts.headers);
        // A HEAD's answer names the length of a body that isn't there.
        if let Some(length) = length.filter(|_| self.method == Method::HEAD) {
            parts.headers.insert(CONTENT_LENGTH, length);
        }
        parts.headers.remove(header::LOAD);
        parts.version = Version::HTTP_11;
        let deadline = self
            .deadline_from_caller
            .then(|| Deadline(self.entry.clock.sleep(self.time_left())));
        let source = answer::Source {
            body,
            attempt: exchange.attempt,
            span: exchange.span,
        };
        let events = is_event_stream(&parts.headers);
        let answer = Answer::new(
            self.clone(),
            source,
            deadline,
            events,
            resumable.then_some(tried),
        );
        Response::from_parts(parts, answer.into_body())
    }

    /// Whether a broken answer can go on at another upstream.
    fn is_resumable(&self, headers: &HeaderMap) -> bool {
        let Kind::Model(model) = &self.service.kind else {
            return false;
        };
        model.resume && is_event_stream(headers) && self.upload.is_replayable()
    }

    /// Goes on with a broken stream after the tokens that the caller has.
    pub async fn resume(
        self: Rc<Self>,
        tokens: u32,
        mut tried: Vec<Name>,
    ) -> Option<(Exchange, Vec<Name>)> {
        if !self.check_quarantine(tried.last()?).await {
            return None;
        }
        let retried = self
            .queue
            .retry(&self.policy_request(), Ending::Unknown, &tried)
            .await;
        let mut attempt = retried.ok()?;
        loop {
            tried.push(attempt.upstream().clone());
            match exchange::send(&self, attempt, Some(tokens)).await {
                Ok(exchange) => {
                    // Only an engine that says so goes on behind them; any other
                    // would begin anew, and the caller would read tokens twice.
                    let resumed_after = header_text(exchange.response.headers(), header::RESUME);
                    let resumes = resumed_after.and_then(|text| text.parse().ok()) == Some(tokens);
                    return resumes.then_some((exchange, tried));
                }
                Err(failure) => attempt = self.next_attempt(failure, &tried).await.ok()?,
            }
        }
    }
}

/// Whether an answer is a stream of server-sent events.
fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}
