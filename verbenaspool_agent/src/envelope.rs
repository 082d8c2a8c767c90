//! Parses and checks the headers that an entry sets on a request.

use std::time::Duration;

use http::HeaderMap;

use verbenaspool_protocol::{
    attempt, digest, header,
    problem::{Code, Problem},
};
use verbenaspool_state::fingerprint::Fingerprint;

/// The headers that an entry sets on a request.
#[derive(Debug)]
pub(crate) struct Envelope {
    pub(crate) attempt: attempt::Id,
    /// How long the caller still waits, if given.
    pub(crate) deadline: Option<Duration>,
    /// Fingerprint of the request, if the entry had its whole body.
    pub(crate) fingerprint: Option<Fingerprint>,
    /// The parts of the request's prompt that other requests may share.
    pub(crate) parts: Vec<Fingerprint>,
    /// Hash of the customer's name.
    pub(crate) customer: u32,
}

/// Reads the headers of a request and checks that it is addressed to this agent process.
pub(crate) fn read(headers: &HeaderMap, number: u64, identity: &str) -> Result<Envelope, Problem> {
    let attempt = attempt_id(headers)
        .ok_or_else(|| bad_request("The attempt header is missing or no attempt id."))?;
    // Instances are replaced frequently and their addresses are reused, also by another
    // firm, before all entries have the new list. An entry with an outdated list would
    // send its firm's request to another firm and relay that firm's response.
    if header_text(headers, header::INSTANCE) != Some(identity) {
        let message = "The request was meant for another instance.";
        return Err(Problem::not_run(Code::StaleAttempt, message));
    }
    // A process that took over an address must not run a request for its predecessor: the
    // entry may have settled the attempt with that one. An entry that sends no number
    // learns it from the load header of this rejection.
    let addressed = header_text(headers, header::AGENT).map(str::parse);
    if addressed != Some(Ok(number)) {
        let message = "The request was meant for another agent process.";
        return Err(Problem::not_run(Code::StaleAttempt, message));
    }
    Ok(Envelope {
        attempt,
        deadline: deadline(headers)?,
        fingerprint: header_text(headers, header::FINGERPRINT).and_then(|text| text.parse().ok()),
        parts: parts(headers),
        customer: header_text(headers, header::CUSTOMER).map_or(0, digest::hash),
    })
}

/// The attempt id of a request, also if its other headers are invalid.
pub(crate) fn attempt_id(headers: &HeaderMap) -> Option<attempt::Id> {
    header_text(headers, header::ATTEMPT)?.parse().ok()
}

/// The fingerprints of the prompt's parts. Invalid ones are left out.
fn parts(headers: &HeaderMap) -> Vec<Fingerprint> {
    let parts = header_text(headers, header::PROMPT_PARTS).unwrap_or_default();
    let parts = parts.split(',').filter_map(|part| part.parse().ok());
    parts.collect()
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let Some(value) = headers.get(header::DEADLINE_MS) else {
        return Ok(None);
    };
    let time_left_ms = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| bad_request("The deadline header is no number of milliseconds."))?;
    if time_left_ms == 0 {
        let message = "The deadline was over when the request arrived.";
        return Err(Problem::not_run(Code::Deadline, message));
    }
    Ok(Some(Duration::from_millis(time_left_ms)))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn bad_request(message: &str) -> Problem {
    Problem::not_run(Code::BadRequest, message)
}
