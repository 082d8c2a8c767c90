//! `verbenaspool explain`: the outcome of a request, from the logs of several processes.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde::Deserialize;

/// The fields of a log line that are used here.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct LogLine {
    ts: String,
    msg: String,
    request: Option<String>,
    fingerprint: Option<String>,
    upstream: Option<String>,
    status: u16,
    why: String,
    route: String,
    service: String,
    version: u64,
    sent: String,
    events: u64,
    first_ms: f64,
    pause_ms: f64,
    took_ms: f64,
    pass_ms: f64,
    slowest: f64,
    slowest_upstream: String,
    said_ms: f64,
    closed: u32,
}

impl LogLine {
    /// Whether the line belongs to the request with this id or fingerprint. All attempts of
    /// a request share its fingerprint.
    fn matches(&self, id: &str) -> bool {
        [&self.request, &self.fingerprint]
            .into_iter()
            .any(|name| name.as_deref() == Some(id))
    }
}

/// An upstream with at least this pace is reported as slow. Entries send no requests to
/// upstreams that are slower than the fastest one by the same factor.
const SLOW_PACE: f64 = 2.0;

/// The log lines and the outcome of a request.
#[derive(Debug, Default)]
pub struct Report {
    /// One sentence per log line, ordered by time.
    pub lines: Vec<String>,
    /// The reason for the request's outcome, as a sentence; `None` if the request wasn't found.
    pub cause: Option<String>,
    /// Number of lines that aren't valid JSON log lines.
    pub unreadable_lines: usize,
}

/// Reads logs and searches them for a request; `-` is standard input.
///
/// # Errors
/// A file can't be read.
pub fn main(id: &str, files: &[PathBuf]) -> io::Result<Report> {
    let mut found = Vec::new();
    let mut unreadable_lines = 0;
    for file in files {
        let name = file.display().to_string();
        if file == Path::new("-") {
            unreadable_lines += read_log(id, &name, io::stdin().lock(), &mut found)?;
        } else {
            unreadable_lines += read_log(id, &name, BufReader::new(File::open(file)?), &mut found)?;
        }
    }
    Ok(summarize(found, unreadable_lines))
}

/// Reads one log and collects the lines of the request. Returns the number of lines that
/// can't be parsed.
///
/// # Errors
/// The log can't be read.
fn read_log(
    id: &str,
    name: &str,
    mut log: impl BufRead,
    found: &mut Vec<(String, LogLine)>,
) -> io::Result<usize> {
    let mut unreadable_lines = 0;
    let mut bytes = Vec::new();
    while log.read_until(b'\n', &mut bytes)? > 0 {
        // Log collectors may add a prefix to each line.
        let start = bytes.iter().position(|byte| *byte == b'{').unwrap_or(0);
        match serde_json::from_slice::<LogLine>(&bytes[start..]) {
            Ok(line) if line.matches(id) => {
                found.push((name.to_owned(), line));
            }
            Ok(_) => {}
            Err(_) => unreadable_lines += 1,
        }
        bytes.clear();
    }
    Ok(unreadable_lines)
}

/// Summarizes the lines, ordered by the time stamps that the processes wrote.
fn summarize(mut found: Vec<(String, LogLine)>, unreadable_lines: usize) -> Report {
    found.sort_by(|a, b| a.1.ts.cmp(&b.1.ts));
    let lines = found.iter().map(|(name, line)| {
        if let (Some(upstream), 0) = (&line.upstream, line.status) {
            return format!("{} {name}: {} ({upstream})", line.ts, line.msg);
        }
        format!(
            "{} {name}: {}, status {} ({}), route {:?} to service {:?}, configuration version {}, attempts [{}], {} events, first byte after {:.1} ms, longest pause {:.1} ms, {:.1} ms in total",
            line.ts, line.msg, line.status, line.why, line.route, line.service, line.version,
            line.sent, line.events, line.first_ms, line.pause_ms, line.took_ms
        )
    });
    Report {
        cause: found.last().map(|(_, line)| cause(line)),
        lines: lines.collect(),
        unreadable_lines,
    }
}

/// The reason for a request's outcome, as a sentence.
fn cause(line: &LogLine) -> String {
    let sent = if line.sent.is_empty() {
        "it was sent to no upstream".to_owned()
    } else {
        format!("attempts: {}", line.sent)
    };
    let why = match line.why.as_str() {
        "whole" | "answered" => "The upstream's answer was forwarded",
        "full" => "It was rejected: all upstreams were at capacity",
        "limited" => "It was rejected: all upstreams limited their requests",
        "closed" => "It was rejected: no upstream of the service was running",
        "turned-away" => "It was rejected: upstreams rejected it or couldn't be reached",
        "quarantined" => "It was rejected: upstreams had crashed while processing it",
        "suspect" => {
            "It was rejected: an upstream had crashed while processing it, and the service can't lose another one"
        }
        "unknown" => "It may have run, but its answer was lost",
        "timeout" => "Its deadline passed",
        "no-route" => "No route of the active configuration matches it",
        "unknown-key" => "No customer of the active configuration has its API key",
        "no-configuration" => "The entry had no configuration yet",
        "stopping" => "The entry was shutting down",
        "caller-left" => "Its caller disconnected before the end",
        "large-body" | "broken-body" | "slow-body" => {
            "Its body was too large, incomplete or too slow"
        }
        _ => "The answer ended early",
    };
    let state = service_state(line);
    format!("{why}; {sent}{state}.")
}

/// The state of the service at that time as known to the entry, as the end of a sentence.
fn service_state(line: &LogLine) -> String {
    if line.slowest >= SLOW_PACE {
        return format!(
            "; {} had a pace of {:.1} according to its agent's report {:.0} ms earlier and slowed its whole group, with passes of {:.0} ms",
            line.slowest_upstream, line.slowest, line.said_ms, line.pass_ms
        );
    }
    if line.closed > 0 {
        return format!("; the groups of {} upstreams were down", line.closed);
    }
    if line.pass_ms > 0.0 {
        return format!("; passes took up to {:.0} ms", line.pass_ms);
    }
    String::new()
}

#[cfg(test)]
mod tests;
