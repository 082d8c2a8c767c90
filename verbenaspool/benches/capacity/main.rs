//! Cost of the control plane for each role as the numbers of customers, members,
//! instances and changes grow. Each is measured at three or more sizes to show how the
//! cost scales.
//!
//! `cargo bench --bench capacity`, with `-- --json` for one JSON object a line
//! with `role`, `quantity`, `n`, `value` and `unit`, and `--only=change`,
//! `--only=members`, `--only=instances`, `--only=agent` or `--only=processes`
//! for one part. Times until a version is active are measured on separate entry
//! processes. The bench takes about a minute.

mod agent;
mod change;
mod instances;
mod members;
mod processes;

use std::fmt::Display;

/// Header bytes of a packet: Ethernet, IP and TCP with timestamps.
const PACKET_OVERHEAD_BYTES: usize = 66;
/// Packets of an exchange on a keep-alive connection: request, answer, and an
/// acknowledgement of each.
const PACKETS_PER_EXCHANGE: usize = 4;
/// Bytes of the frame lengths and JSON-RPC envelopes around a request and its answer.
const ENVELOPE_BYTES: usize = 4 + 57 + 4 + 36;

/// Prints measured values as text or JSON lines.
pub struct Output {
    json: bool,
}

impl Output {
    /// Prints one measured value.
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

/// Returns the bytes that a request and its answer take on the network.
pub fn exchange_bytes<P: serde::Serialize, R: serde::Serialize>(request: &P, answer: &R) -> usize {
    let length = |text: Result<Vec<u8>, _>| text.map_or(0, |text| text.len());
    let request = length(serde_json::to_vec(request));
    let answer = length(serde_json::to_vec(answer));
    request + answer + ENVELOPE_BYTES + PACKET_OVERHEAD_BYTES * PACKETS_PER_EXCHANGE
}

/// Name and function of a part of the bench.
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
