//! Names of HTTP headers.

/// The id of the attempt, sent by the entry and repeated in the agent's answer.
pub const ATTEMPT: &str = "x-verbenaspool-attempt";
/// The intended agent process; any other rejects the request.
pub const AGENT: &str = "x-verbenaspool-agent";
/// The intended instance, as `firm/instance`; the agent of any other rejects the
/// request.
pub const INSTANCE: &str = "x-verbenaspool-instance";
/// Whether the request was executed: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-verbenaspool-outcome";
/// The request's fingerprint, if the entry has received the whole body.
pub const FINGERPRINT: &str = "x-verbenaspool-fingerprint";
/// The fingerprints of the parts of the prompt that other requests may share, separated by
/// commas, if the request has a fingerprint.
pub const PROMPT_PARTS: &str = "x-verbenaspool-prompt-parts";
/// How long the caller waits for the complete answer, in milliseconds.
pub const DEADLINE_MS: &str = "x-verbenaspool-deadline-ms";
/// The caller's priority: `high`, `normal` or `low`.
pub const PRIORITY: &str = "x-verbenaspool-priority";
/// The load of the agent's upstream in each answer, as JSON of [`crate::load::Load`].
pub const LOAD: &str = "x-verbenaspool-load";
/// The customer that sent the request, as identified by its credential.
pub const CUSTOMER: &str = "x-verbenaspool-customer";
/// A key chosen by the caller; requests with the same key are executed at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Number of tokens of an interrupted stream that the entry has received. An engine
/// that resumes after them repeats this header in its answer; without it, the answer
/// starts at the first token.
pub const RESUME: &str = "x-verbenaspool-resume";
