//! `verbenaspool explain`: what became of one request, from the logs of several
//! processes.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde::Deserialize;

/// A line of a log, as far as it matters here.
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
    /// Whether the line is about a request, by its id, or by its fingerprint, which all
    /// attempts share.
    fn matches(&self, id: &str) -> bool {
        [&self.request, &self.fingerprint]
            .into_iter()
            .any(|name| name.as_deref() == Some(id))
    }
}

/// From which pace on an upstream is named as slow: what entries send nothing more to.
const SLOW_PACE: f64 = 2.0;

/// What was found of a request.
#[derive(Debug, Default)]
pub struct Report {
    /// One sentence a line of a log, in the order of their times.
    pub lines: Vec<String>,
    /// What caused the end, in a sentence; none where the request isn't found.
    pub cause: Option<String>,
    /// Lines that couldn't be read.
    pub unreadable_lines: usize,
}

/// Reads logs and finds a request in them; `-` is standard input.
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

/// Reads one log; returns how many of its lines make no sense.
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
        // Whoever collects logs may put words of its own before each line.
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

/// Tells what was found, in the order of the processes' own clocks.
fn summarize(mut found: Vec<(String, LogLine)>, unreadable_lines: usize) -> Report {
    found.sort_by(|a, b| a.1.ts.cmp(&b.1.ts));
    let lines = found.iter().map(|(name, line)| {
        if let (Some(upstream), 0) = (&line.upstream, line.status) {
            return format!("{} {name}: {} ({upstream})", line.ts, line.msg);
        }
        format!(
            "{} {name}: {} status {} ({}), route {:?} to {:?} by version {}, sent [{}], {} events, first after {:.1} ms, longest pause {:.1} ms, {:.1} ms in all",
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

/// The cause of a request's end, in a sentence.
fn cause(line: &LogLine) -> String {
    let sent = if line.sent.is_empty() {
        "it was sent to no upstream".to_owned()
    } else {
        format!("it was sent so: {}", line.sent)
    };
    let why = match line.why.as_str() {
        "whole" | "answered" => "The upstream's own answer was passed on",
        "full" => "It was refused: every upstream had as much as it can do in time",
        "closed" => "It was refused: no upstream of the service runs",
        "turned-away" => "It was refused: upstreams turned it away or couldn't be reached",
        "quarantined" => "It was refused: upstreams crashed under it before",
        "suspect" => {
            "It was refused: an upstream crashed under it, and the service can't lose another"
        }
        "unknown" => "It may have run, and its answer was lost",
        "timeout" => "Its time was over",
        "no-route" => "No route of the configuration in force fits it",
        "unknown-key" => "Nobody holds its API key in the configuration in force",
        "no-configuration" => "The entry had no configuration yet",
        "stopping" => "The entry was about to stop",
        "caller-left" => "Its caller left before the end",
        "large-body" | "broken-body" | "slow-body" => "Its body didn't come whole, or in time",
        _ => "The answer broke off",
    };
    let state = service_state(line);
    format!("{why}; {sent}{state}.")
}

/// What the entry knew of the service then, as the end of a sentence.
fn service_state(line: &LogLine) -> String {
    if line.slowest >= SLOW_PACE {
        return format!(
            "; {} was {:.1} times slow then and held back its whole group, as its agent had said {:.0} ms before, with passes of {:.0} ms",
            line.slowest_upstream, line.slowest, line.said_ms, line.pass_ms
        );
    }
    if line.closed > 0 {
        return format!("; the groups of {} upstreams ran nothing then", line.closed);
    }
    if line.pass_ms > 0.0 {
        return format!("; passes took up to {:.0} ms then", line.pass_ms);
    }
    String::new()
}

#[cfg(test)]
mod tests;
