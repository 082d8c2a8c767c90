//! Reads the options, the credential and the path of a caller's request.

use std::time::Duration;

use http::{HeaderMap, Method, header::AUTHORIZATION};
use verbenaspool_protocol::{
    header,
    problem::{Code, Problem},
};
use verbenaspool_state::service::{Kind, Service};

/// The maximum deadline of a request; it limits how long anything is kept for a request.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// The maximum length of an idempotency key; the key is part of an object's name.
const MAX_KEY_BYTES: usize = 128;

/// The authorization scheme, in lower case.
const BEARER: &str = "bearer ";

/// The priorities of [`header::PRIORITY`], lowest first.
const PRIORITIES: [&str; 3] = ["low", "normal", "high"];

/// The priority of a request without the header.
const DEFAULT_PRIORITY: u8 = 1;

/// The options in a request's headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The time that the caller waits for the whole answer, if given.
    pub deadline: Option<Duration>,
    /// The priority; higher goes first.
    pub priority: u8,
    /// The idempotency key, which makes a write run at most once.
    pub key: Option<String>,
}

/// Reads a header that may occur only once, as text.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(&format!(
            "The header {name} is there more than once."
        )));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(bad_request(&format!("The header {name} is no plain text."))),
    }
}

/// The problem for a malformed request.
fn bad_request(message: &str) -> Problem {
    Problem::not_run(Code::BadRequest, message)
}

/// Reads the options from a request's headers.
///
/// # Errors
/// A header is invalid. With a guessed deadline or key, a request might run that the caller has
/// given up.
///
/// ```
/// use http::HeaderMap;
/// use verbenaspool::entry::caller;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("x-verbenaspool-deadline-ms", "250".parse().unwrap());
/// assert_eq!(caller::read_options(&headers).unwrap().deadline.unwrap().as_millis(), 250);
/// headers.insert("x-verbenaspool-deadline-ms", "soon".parse().unwrap());
/// assert!(caller::read_options(&headers).is_err());
/// ```
pub fn read_options(headers: &HeaderMap) -> Result<Options, Problem> {
    Ok(Options {
        deadline: deadline(headers)?,
        priority: priority(headers)?,
        key: key(headers)?,
    })
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let Some(text) = single_header(headers, header::DEADLINE_MS)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(0) | Err(_) => Err(bad_request(
            "The deadline is not a whole number of milliseconds above zero.",
        )),
        Ok(ms) => Ok(Some(Duration::from_millis(ms).min(MAX_DEADLINE))),
    }
}

fn priority(headers: &HeaderMap) -> Result<u8, Problem> {
    let Some(text) = single_header(headers, header::PRIORITY)? else {
        return Ok(DEFAULT_PRIORITY);
    };
    (0..)
        .zip(PRIORITIES)
        .find(|(_, name)| *name == text)
        .map(|(priority, _)| priority)
        .ok_or_else(|| bad_request("The priority is none of high, normal and low."))
}

/// The name of a priority in its header.
///
/// ```
/// assert_eq!(verbenaspool::entry::caller::priority_name(2), "high");
/// ```
#[must_use]
pub fn priority_name(priority: u8) -> &'static str {
    PRIORITIES[usize::from(priority).min(PRIORITIES.len() - 1)]
}

fn key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(text) = single_header(headers, header::IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(bad_request(
            "The idempotency key is empty or over 128 bytes.",
        ));
    }
    Ok(Some(text.to_owned()))
}

/// Reads the caller's bearer credential.
///
/// # Errors
/// The credential is missing or isn't a bearer credential.
///
/// ```
/// use http::HeaderMap;
/// use verbenaspool::entry::caller;
///
/// let mut headers = HeaderMap::new();
/// assert!(caller::credential(&headers).is_err());
/// headers.insert("authorization", "Bearer abc".parse().unwrap());
/// assert_eq!(caller::credential(&headers).unwrap(), "abc");
/// ```
pub fn credential(headers: &HeaderMap) -> Result<&str, Problem> {
    let missing = || {
        Problem::not_run(
            Code::Unauthorized,
            "The request carries no bearer credential.",
        )
    };
    let text = single_header(headers, AUTHORIZATION.as_str())?.ok_or_else(missing)?;
    match text.get(..BEARER.len()) {
        Some(scheme) if scheme.eq_ignore_ascii_case(BEARER) => Ok(text[BEARER.len()..].trim()),
        _ => Err(missing()),
    }
}

/// Whether a request may run twice. `path` is relative to the service's path.
///
/// ```
/// use http::Method;
/// use verbenaspool::entry::caller;
/// use verbenaspool_state::service::{Kind, Plain, Service};
///
/// let jobs = Service {
///     name: "jobs".parse().unwrap(),
///     kind: Kind::Plain(Plain { idempotent: vec!["/search".into()] }),
///     path: "/jobs/".into(),
///     zones: Vec::new(),
///     decisions: Default::default(),
/// };
/// assert!(caller::is_idempotent(&jobs, &Method::GET, "/bookings/1"));
/// assert!(caller::is_idempotent(&jobs, &Method::POST, "/search"));
/// assert!(!caller::is_idempotent(&jobs, &Method::POST, "/bookings"));
/// ```
#[must_use]
pub fn is_idempotent(service: &Service, method: &Method, path: &str) -> bool {
    match &service.kind {
        Kind::Model(_) => true,
        Kind::Plain(plain) => {
            matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
                || plain
                    .idempotent
                    .iter()
                    .any(|prefix| has_path_prefix(path, prefix))
        }
    }
}

/// Whether a path equals a prefix or is below it, compared by whole segments.
///
/// ```
/// use verbenaspool::entry::caller::has_path_prefix;
///
/// assert!(has_path_prefix("/loft/quotes", "/loft/"));
/// assert!(has_path_prefix("/loft", "/loft/"));
/// assert!(!has_path_prefix("/lofts", "/loft"));
/// ```
#[must_use]
pub fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
