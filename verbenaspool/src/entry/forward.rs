//! Forwards one request: sends attempts until one of them answers.

use std::{rc::Rc, time::Duration};

use http::{
    HeaderMap, Method, Response, Uri, Version,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
};
use verbenaspool_policy::{
    attempt::Ending, quarantine::Subject, request::Request as PolicyRequest,
};
use verbenaspool_protocol::{
    header,
    outcome::Outcome,
    problem::{Code, Problem},
};
use verbenaspool_state::{
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

/// A checked request that is ready to be forwarded.
pub struct Forward {
    /// The entry.
    pub entry: Rc<Entry>,
    /// The service's queue.
    pub queue: Rc<Queue>,
    /// The service.
    pub service: Rc<Service>,
    /// The request's method.
    pub method: Method,
    /// The path and query relative to the service's path.
    pub uri: Uri,
    /// The caller's headers that are forwarded.
    pub headers: HeaderMap,
    /// The caller's body.
    pub upload: Upload,
    /// The customer.
    pub customer: Name,
    /// The priority; higher goes first.
    pub priority: u8,
    /// When the whole answer must have arrived.
    pub deadline: Duration,
    /// Whether the caller set the deadline, rather than the service's settings.
    pub deadline_from_caller: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The idempotency key, which makes a write run at most once.
    pub key: Option<String>,
    /// What the request is known by when upstreams crash under it, if its whole body has been
    /// read.
    pub subject: Option<Subject>,
    /// The estimate of the request's work.
    pub prompt: Prompt,
    /// The request's metrics and span.
    pub observation: Observation,
}

impl Forward {
    /// Sends attempts until one answers or no further one is allowed.
    pub async fn run(self: Rc<Self>) -> Response<Body> {
        match self.execute().await {
            Ok(response) => response,
            Err(problem) => {
                self.observation.end(Ended::Outcome(problem.outcome));
                reply::problem(&problem)
            }
        }
    }

    /// The request in the balancer's terms.
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

    /// The time left until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.entry.clock.now())
    }

    /// Waits for admission, claims the idempotency key if there is one, and sends attempts.
    async fn execute(self: &Rc<Self>) -> Result<Response<Body>, Problem> {
        if let Some(time_left) = self.quarantine_time_left() {
            let message = "Upstreams crash under the request.";
            return Err(Problem::not_run(Code::Quarantined, message).with_retry_after(time_left));
        }
        let attempt = self.wait_for_admission().await?;
        let mut claimed = self.claim_key(&attempt).await?;
        let result = self.send_attempts(attempt, &mut claimed).await;
        if let (Some(claimed), Err(problem)) = (claimed, &result)
            && problem.outcome == Outcome::NotRun
        {
            // The key must be free before the caller learns that it may retry.
            claimed.release().await;
        }
        result
    }

    /// Waits until the balancer starts an attempt.
    async fn wait_for_admission(&self) -> Result<Attempt, Problem> {
        let span = self.observation.child_span("queue", span::Kind::Internal);
        let queued_at = self.entry.clock.now();
        let admitted = self.queue.admit(&self.policy_request()).await;
        drop(span);
        let attempt = admitted.map_err(reply::rejection)?;
        self.observation.record_queue_time(queued_at);
        Ok(attempt)
    }

    /// Claims the idempotency key for the first attempt. This follows the admission, so that
    /// rejected requests cause no writes to the platform.
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

    /// Updates the claim to name the next attempt.
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

    /// Sends attempts, each started by the balancer.
    ///
    /// Once an attempt may have run, the request may have run too, and the rejection of a later
    /// attempt holds for that attempt only. Returned unchanged, it would tell the caller that
    /// nothing ran, and the caller would send the work again.
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

    /// How long the request stays quarantined, if it is.
    fn quarantine_time_left(&self) -> Option<Duration> {
        self.entry.quarantine_time_left(self.subject.as_ref()?)
    }

    /// Asks the agent of an upstream that broke the connection whether the upstream crashed.
    /// Returns whether the request may be sent again.
    async fn may_resend(&self, upstream: &Name) -> bool {
        if self.subject.is_some() {
            self.entry.request_report(upstream).await;
        }
        self.quarantine_time_left().is_none()
    }

    /// Returns the next attempt after a failure, if one is allowed.
    async fn next_attempt(&self, failure: Failure, tried: &[Name]) -> Result<Attempt, Problem> {
        if let Some(problem) = self.upload_problem() {
            return Err(problem);
        }
        if failure.ending == Ending::Unknown
            && let Some(upstream) = tried.last()
            && !self.may_resend(upstream).await
        {
            return Err(failure.problem);
        }
        // A request that may have run is retried only if it may run twice.
        let may_run_again = failure.ending == Ending::NotRun
            || failure.ending == Ending::Unknown && self.idempotent;
        if !may_run_again || !self.upload.is_replayable() {
            return Err(failure.problem);
        }
        let retried = self
            .queue
            .retry(&self.policy_request(), failure.ending, tried)
            .await;
        retried.map_err(|rejection| failure.problem.with_retry_after(rejection.retry_after))
    }

    /// The problem with the caller's own body, if the body caused the failure.
    fn upload_problem(&self) -> Option<Problem> {
        let problem = match self.upload.fault()? {
            // The upstream received part of the request and may have acted on it.
            Fault::TooLarge => Problem::unknown(Code::TooLarge, "The body is too large."),
            Fault::Slow => Problem::unknown(Code::SlowSender, "The body paused for too long."),
            Fault::Broken => Problem::unknown(Code::BadRequest, "The body broke off."),
            Fault::NotReplayable => return None,
        };
        Some(problem)
    }

    /// Returns the response whose body streams the answer as it arrives.
    fn relay_response(self: &Rc<Self>, exchange: Exchange, tried: Vec<Name>) -> Response<Body> {
        self.observation.record_first_byte();
        let (mut parts, body) = exchange.response.into_parts();
        let resumable = self.is_resumable(&parts.headers);
        self.upload.release_buffer(resumable);
        let length = parts.headers.remove(CONTENT_LENGTH);
        hop::strip(&mut parts.headers);
        // The response to HEAD has the length of a body that isn't sent.
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

    /// Whether a broken answer can be resumed by another upstream.
    fn is_resumable(&self, headers: &HeaderMap) -> bool {
        let Kind::Model(model) = &self.service.kind else {
            return false;
        };
        model.resume && is_event_stream(headers) && self.upload.is_replayable()
    }

    /// Resumes a broken stream after the tokens that the caller already has.
    pub async fn resume(
        self: Rc<Self>,
        tokens: u32,
        mut tried: Vec<Name>,
    ) -> Option<(Exchange, Vec<Name>)> {
        if !self.may_resend(tried.last()?).await {
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
                    // Only an engine that confirms the token count resumes after it. Any other
                    // would start from the beginning, and the caller would get tokens twice.
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
