//! An entry that sends as many requests to a second replica as the retry budget allows is killed. It
//! starts again with a whole budget.

use std::{collections::HashSet, thread, time::Duration};

use crate::{
    deployment::{self, Entry, Folder, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_MS, Record, Replica},
    load::Load,
    store::Store,
};

const REPLICAS: usize = 6;

/// The interval between requests.
const INTERVAL: Duration = Duration::from_millis(45);

/// The latency objective. The work of a request takes 250 ms, so that the entry tries a second replica
/// after twice the objective.
const TARGET_MS: u32 = 100;

/// When the entry is killed, and how long it is down.
const KILLED_AFTER: Duration = Duration::from_millis(4_000);
const DOWNTIME: Duration = Duration::from_millis(300);

/// How long requests are sent after that.
const REST: Duration = Duration::from_millis(8_000);

pub fn main(folder: &str) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::create();
    let log = temporary.0.join("replicas.txt");
    let (store, platform) = Store::start();
    store.put(
        "config",
        "main",
        &deployment::configuration(7, 16_384, TARGET_MS),
    );
    let start = |number: usize| {
        let address = deployment::free_address();
        Replica::start(&store, &format!("i-{number}"), address, "slow", &log)
    };
    let replicas: Vec<Replica> = (0..REPLICAS).map(start).collect();
    let entry = Entry::new(platform);
    let mut process = entry.start(&temporary.0, "entry-1.log");
    if !entry.wait_ready() {
        record.line("the entry did not become ready");
        return 2;
    }
    record.line("clients begin to send lookups");
    let load = Load::start(entry.listen, INTERVAL);
    thread::sleep(KILLED_AFTER);
    if !deployment::is_calm() {
        drop(process);
        record.line("the entry is killed");
        thread::sleep(DOWNTIME);
        process = entry.start(&temporary.0, "entry-2.log");
        record.line("the entry starts again");
    }
    thread::sleep(REST);
    let seen = load.stop();
    drop(process);
    drop(replicas);
    record.line(&format!(
        "{} lookups sent, results {:?}",
        seen.sent_ms.len(),
        seen.results
    ));
    let mut known = HashSet::new();
    let runs = deployment::runs(&log);
    let again = runs.iter().filter(|run| !known.insert(run.request.clone()));
    let again_ms: Vec<u128> = again.map(|run| run.at_ms).collect();
    record.line(&format!(
        "replicas ran {} requests, {} of them again",
        runs.len(),
        again_ms.len()
    ));
    judge(&record, &seen.sent_ms, &again_ms)
}

/// Compares the arrivals beyond the first of each request with the budget, in each window that ends
/// with one of them.
fn judge(record: &Record, sent_ms: &[u128], again_ms: &[u128]) -> i32 {
    let count = |times: &[u128], end: u128| {
        let begin = end.saturating_sub(RETRY_WINDOW_MS);
        times
            .iter()
            .filter(|at| (begin + 1..=end).contains(*at))
            .count()
    };
    let mut worst: Option<(f64, String)> = None;
    for end in again_ms {
        let ends = [*end, end - RETRY_WINDOW_MS / 2, end - RETRY_WINDOW_MS];
        let requests = ends
            .map(|end| count(sent_ms, end))
            .into_iter()
            .max()
            .unwrap_or(0);
        #[allow(clippy::cast_precision_loss)] // Hundreds.
        let (again, limit) = (
            count(again_ms, *end) as f64,
            RETRY_RATIO * requests as f64 + RETRY_SLACK,
        );
        if worst
            .as_ref()
            .is_none_or(|(excess, _)| again - limit > *excess)
        {
            let text =
                format!("{again} arrivals beyond the first, {requests} requests, limit {limit:.1}");
            worst = Some((again - limit, text));
        }
    }
    let Some((excess, text)) = worst else {
        record.line("no request was sent to a second replica");
        return 2;
    };
    record.line(&format!("window with the largest excess: {text}"));
    i32::from(excess > 0.0)
}
