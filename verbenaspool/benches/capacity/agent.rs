//! What an agent's answers to entries cost, by the questions it gets.

use std::{hint::black_box, time::Instant};

use verbenaspool_protocol::{
    load::Load,
    report::{Cache, Event, Report, Request},
};
use verbenaspool_state::upstream::Identity;

use super::{Output, wire};

/// Cache events in an answer.
const SIZES: [u64; 4] = [0, 4, 16, 64];
/// Answers measured at each size.
const ANSWERS: u32 = 20_000;

/// Measures answers of each size.
pub fn run(output: &Output) {
    for size in SIZES {
        let event = |number| Event {
            number,
            prefix: u64::MAX - number,
            held: true,
        };
        let report = Report {
            load: Load::default(),
            cache: Cache {
                reset: false,
                last: size,
                events: (1..=size).map(event).collect(),
            },
            crashes: Vec::new(),
        };
        let question = Request {
            instance: Identity {
                firm: "tidewater".parse().expect("a name"),
                instance: "loft-assistant-12000".parse().expect("a name"),
            },
            since: 1 << 30,
        };
        #[allow(clippy::cast_precision_loss)] // Sizes stay far below 2^53.
        let bytes = wire(&question, &report) as f64;
        output.say("agent", "one report, by cache events", size, bytes, "B");
        let start = Instant::now();
        for _ in 0..ANSWERS {
            let text = serde_json::to_string(&report).expect("plain data");
            let read: Report = serde_json::from_str(&text).expect("what was written");
            black_box(read);
        }
        let each = start.elapsed().as_secs_f64() * 1e6 / f64::from(ANSWERS);
        output.say(
            "agent",
            "one report written and read, by cache events",
            size,
            each,
            "us",
        );
    }
}
