//! Cost of an agent's reports to entries, by the number of cache events in a report.

use std::{hint::black_box, time::Instant};

use verbenaspool_protocol::{
    load::Load,
    report::{Cache, Event, Report, Request},
};
use verbenaspool_state::upstream::Identity;

use super::{Output, exchange_bytes};

/// Cache events in a report.
const EVENT_COUNTS: [u64; 4] = [0, 4, 16, 64];
/// Reports measured for each number of events.
const REPORTS: u32 = 20_000;

/// Measures size and encoding time of reports.
pub fn run(output: &Output) {
    for event_count in EVENT_COUNTS {
        let event = |number| Event {
            number,
            prefix: u64::MAX - number,
            added: true,
        };
        let report = Report {
            load: Load::default(),
            cache: Cache {
                reset: false,
                last: event_count,
                events: (1..=event_count).map(event).collect(),
            },
            crashes: Vec::new(),
        };
        let request = Request {
            instance: Identity {
                firm: "tidewater".parse().expect("a name"),
                instance: "loft-assistant-12000".parse().expect("a name"),
            },
            since: 1 << 30,
        };
        #[allow(clippy::cast_precision_loss)] // Sizes are far below 2^53.
        let bytes = exchange_bytes(&request, &report) as f64;
        output.print(
            "agent",
            "one report, by cache events",
            event_count,
            bytes,
            "B",
        );
        let start = Instant::now();
        for _ in 0..REPORTS {
            let text = serde_json::to_string(&report).expect("plain data");
            let read: Report = serde_json::from_str(&text).expect("what was written");
            black_box(read);
        }
        let micros_per_report = start.elapsed().as_secs_f64() * 1e6 / f64::from(REPORTS);
        output.print(
            "agent",
            "one report written and read, by cache events",
            event_count,
            micros_per_report,
            "us",
        );
    }
}
