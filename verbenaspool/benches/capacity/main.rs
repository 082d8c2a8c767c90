//! What control costs each role as customers, members, instances and changes
//! grow, at three or more sizes each, so that a slope can be read.
//!
//! `cargo bench --bench capacity`, with `-- --json` for one JSON object a line
//! with `role`, `quantity`, `n`, `value` and `unit`, and `--only=change`,
//! `--only=members`, `--only=instances`, `--only=agent` or `--only=processes`
//! for a part. Where a time to be in force is measured, the entries are
//! processes of their own. It takes about a minute.

mod agent;
mod change;
mod instances;
mod members;
mod processes;

use std::fmt::Display;

/// Bytes that the network adds to a packet: Ethernet, IP and TCP with timestamps.
const PACKET_OVERHEAD_BYTES: usize = 66;
/// Packets of an exchange on a kept connection: question, answer, and an
/// acknowledgement of each.
const PACKETS_PER_EXCHANGE: usize = 4;
/// Bytes of a frame's length and of the JSON-RPC envelopes around a question and
/// its answer.
const ENVELOPE_BYTES: usize = 4 + 57 + 4 + 36;

/// Where figures go.
pub struct Output {
    json: bool,
}

impl Output {
    /// Tells one figure.
    pub fn print(&self, role: &str, quantity: &str, n: impl Display, value: f64, unit: &str) {
        if self.json {
            let line = serde_json::json!({
                "role": role,
                "quantity": quantity,
                "n": n.to_string(),
                "value": (value * 1000.0).round() / 1000.0,
                "unit": unit,
            });
            println!("{line}");
        } else {
            println!("{role:<8} {quantity:<48} {n:>8} {value:>14.3} {unit}");
        }
    }
}

/// The bytes on the wire of a question and its answer.
pub fn exchange_bytes<P: serde::Serialize, R: serde::Serialize>(request: &P, answer: &R) -> usize {
    let length = |text: Result<Vec<u8>, _>| text.map_or(0, |text| text.len());
    let request = length(serde_json::to_vec(request));
    let answer = length(serde_json::to_vec(answer));
    request + answer + ENVELOPE_BYTES + PACKET_OVERHEAD_BYTES * PACKETS_PER_EXCHANGE
}

/// A part of the bench, by its name.
type Part = (&'static str, fn(&Output));

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let output = Output {
        json: arguments.iter().any(|argument| argument == "--json"),
    };
    let only = arguments
        .iter()
        .find_map(|argument| argument.strip_prefix("--only="));
    let parts: [Part; 5] = [
        ("change", change::run),
        ("members", members::run),
        ("instances", instances::run),
        ("agent", agent::run),
        ("processes", processes::run),
    ];
    for (name, run) in parts {
        if only.is_none_or(|only| only == name) {
            run(&output);
        }
    }
}
