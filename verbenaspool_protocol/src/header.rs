//! Names of the HTTP headers that verbenaspool reads and writes.

/// The id of the attempt, from entry to agent and echoed with the answer.
pub const ATTEMPT: &str = "x-verbenaspool-attempt";
/// The agent process that the entry means to reach; another refuses.
pub const AGENT: &str = "x-verbenaspool-agent";
/// The instance that the entry means to reach, as `firm/instance`; an agent
/// beside another refuses.
pub const INSTANCE: &str = "x-verbenaspool-instance";
/// What became of the request: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-verbenaspool-outcome";
/// The request's fingerprint, where the entry has its whole body.
pub const FINGERPRINT: &str = "x-verbenaspool-fingerprint";
/// How long the caller waits for the whole answer, in milliseconds.
pub const DEADLINE: &str = "x-verbenaspool-deadline-ms";
/// The caller's priority: `high`, `normal` or `low`.
pub const PRIORITY: &str = "x-verbenaspool-priority";
/// The agent's load with each of its answers, as JSON of [`crate::load::Load`].
pub const LOAD: &str = "x-verbenaspool-load";
/// The customer whose request it is, as the entry found by the credential.
pub const CUSTOMER: &str = "x-verbenaspool-customer";
/// The caller's key that makes a write run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// How many tokens of a broken stream the entry holds; the answer goes on
/// behind them. Without the engine's word for it in the answer's own copy of
/// this header, the answer starts at the first token.
pub const RESUME: &str = "x-verbenaspool-resume";
