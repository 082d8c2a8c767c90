//! Measures the cost of a lead: messages, bytes and processor time, by group size
//! and window. All ranks are healthy, and time is virtual.
//!
//! Run with `cargo bench --bench lead`.

use std::time::{Duration, Instant};

use verbenaspool_coordination::group::{
    lead::{Lead, Output, Settings},
    member::Message,
    message::{Report, ReportBody, Request, StartId},
    schedule::Span,
};
use verbenaspool_state::expert_map::{Map, Shape};

/// The duration of a step.
const STEP_TIME: Duration = Duration::from_millis(25);
/// The number of simulated steps.
const SIMULATED_STEPS: u64 = 40_000;
/// The number of steps between two ticks of the lead.
const STEPS_PER_TICK: usize = 2;

/// The cost of a run.
#[derive(Debug, Default)]
struct Cost {
    messages: usize,
    bytes: usize,
    busy_time: Duration,
}

/// Returns the size of a message in JSON.
fn json_bytes(message: &Message) -> usize {
    serde_json::to_vec(message).map_or(0, |text| text.len())
}

/// Returns a rank's answer to a request of the lead.
fn reply(seat: u16, done: u64, request: Request) -> Option<Report> {
    let start = StartId {
        incarnation: 1_764_720_000_000,
        engine_restarts: 0,
    };
    let body = match request {
        Request::Collect { round } => ReportBody::Joined {
            round,
            done,
            spans: Vec::new(),
            running: None,
            loaded: Vec::new(),
        },
        Request::Grant { spans, .. } => {
            let top = spans.last().map_or(done, |span: &Span| span.to);
            ReportBody::Progress { done, top }
        }
        Request::Stage { map, .. } => ReportBody::Staged { epoch: map.epoch },
        Request::Drop { .. } | Request::Fetch { .. } => return None,
    };
    Some(Report {
        seat,
        fence: 3,
        start,
        body,
    })
}

/// Simulates a healthy group with one lead.
fn run(ranks: u16, window: u64) -> Cost {
    let shape = Shape {
        ranks,
        experts: 256,
        layers: 1,
        slots: 256_u16.div_ceil(ranks),
    };
    let settings = Settings {
        seat: 0,
        shape,
        window,
        resend_interval: Duration::from_millis(500),
        staging_timeout: Duration::from_mins(10),
    };
    let mut lead = Lead::new(settings, 3);
    let mut cost = Cost::default();
    let (mut first, mut done, mut ready) = (0, 0, false);
    for step in (0..SIMULATED_STEPS).step_by(STEPS_PER_TICK) {
        let now = STEP_TIME * u32::try_from(step).expect("a small number");
        let start = Instant::now();
        let mut outputs = lead.tick(now);
        if lead.is_granting() && lead.epoch().is_none() && lead.pending_epoch().is_none() {
            let map = Map::spread(1, shape);
            let (_, proposed) = lead
                .propose(now, map.layers, u64::MAX)
                .expect("a map that fits");
            outputs.extend(proposed);
        }
        cost.busy_time += start.elapsed();
        if first > 0 && !ready {
            // The first grants are done; measure the steady state from here.
            (ready, cost) = (true, Cost::default());
        }
        while let Some(output) = outputs.pop() {
            let Output::Send { seat, command } = output else {
                continue;
            };
            if let (0, Request::Grant { spans, .. }) = (first, &command.request) {
                first = spans[0].from;
                done = first;
            }
            let request = command.request.clone();
            if seat > 0 {
                cost.messages += 1;
                cost.bytes += json_bytes(&Message::Command(command));
            }
            let Some(report) = reply(seat, done, request) else {
                continue;
            };
            if seat > 0 {
                cost.messages += 1;
                cost.bytes += json_bytes(&Message::Report(report.clone()));
            }
            let start = Instant::now();
            outputs.extend(lead.handle_report(now, report));
            cost.busy_time += start.elapsed();
        }
        if first > 0 {
            done += 2;
            let spans = Vec::new();
            let own_report = reply(
                0,
                done,
                Request::Grant {
                    start: StartId::default(),
                    spans,
                },
            );
            let mut own_report = own_report.expect("an answer");
            if let ReportBody::Progress { top, .. } = &mut own_report.body {
                *top = 0;
            }
            let start = Instant::now();
            // The commands that this report triggers are counted and answered here.
            for output in lead.handle_report(now, own_report) {
                if let Output::Send { seat, command } = output {
                    cost.messages += 1;
                    cost.bytes += json_bytes(&Message::Command(command.clone()));
                    if let Some(report) = reply(seat, done, command.request) {
                        cost.messages += 1;
                        cost.bytes += json_bytes(&Message::Report(report.clone()));
                        lead.handle_report(now, report);
                    }
                }
            }
            cost.busy_time += start.elapsed();
        }
    }
    cost
}

fn main() {
    let json = std::env::args().any(|argument| argument == "--json");
    for (ranks, window) in [(8, 256), (128, 256), (128, 1024), (128, 2048)] {
        let cost = run(ranks, window);
        let steps = u32::try_from(SIMULATED_STEPS).expect("a small number");
        let seconds = (STEP_TIME * steps).as_secs_f64();
        #[allow(clippy::cast_precision_loss)] // Small counts.
        let (messages, bytes) = (cost.messages as f64 / seconds, cost.bytes as f64 / seconds);
        let core = 100.0 * cost.busy_time.as_secs_f64() / seconds;
        if json {
            println!(
                "{{\"ranks\":{ranks},\"window\":{window},\"messages_a_second\":{messages:.2},\
                 \"bytes_a_second\":{bytes:.0},\"core_percent\":{core:.4}}}"
            );
        } else {
            println!(
                "{ranks:4} ranks, window {window:5}: {messages:7.2} messages/s, \
                 {bytes:7.0} B/s, {core:.4}% of a core"
            );
        }
    }
}
