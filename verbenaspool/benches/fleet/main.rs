//! How the exchange between entries grows with the fleet, under simulated time.
//!
//! `cargo bench --bench fleet`, with `-- --json` for one JSON object a line. About 23 in 100
//! machines run entries, the others an upstream with its agent. The bench takes some seconds.

mod simulation;

use std::time::{Duration, Instant};

use simulation::{Fleet, subset_sizes};

/// Numbers of machines.
const SIZES: [usize; 5] = [30, 100, 300, 1_000, 2_000];

/// The share of machines that run entries.
const ENTRY_RATIO: f64 = 0.23;

/// Time until all entries know each other.
const WARM_UP: Duration = Duration::from_secs(10);

/// Time over which messages are counted.
const COUNTED: Duration = Duration::from_secs(10);

/// The measured values of one size, with their names and units.
type Row = Vec<(&'static str, &'static str, f64)>;

#[allow(clippy::cast_precision_loss)] // All counts are small.
fn measure(machines: usize) -> Row {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Positive and small.
    let entries = (machines as f64 * ENTRY_RATIO) as usize;
    let upstreams = machines - entries;
    let started = Instant::now();
    let mut fleet = Fleet::start(entries, 1);
    fleet.run_until(WARM_UP);
    fleet.take_traffic();
    fleet.run_until(WARM_UP + COUNTED);
    let traffic = fleet.take_traffic();
    let watchers = fleet.change_registry(7);
    let changed_at = fleet.now;
    while !fleet.all_know(7) {
        fleet.run_until(fleet.now + Duration::from_millis(10));
    }
    let change = fleet.now.saturating_sub(changed_at);
    fleet.kill(entries / 2);
    let killed_at = fleet.now;
    while fleet.is_counted(entries / 2) {
        fleet.run_until(fleet.now + Duration::from_millis(50));
    }
    let forgotten = fleet.now.saturating_sub(killed_at);
    let per_entry_second = entries as f64 * COUNTED.as_secs_f64();
    let [same_zone, other_zones] = subset_sizes(1, upstreams);
    vec![
        (
            "digests of an entry",
            "1/s",
            (traffic.datagrams[0] + traffic.datagrams[1]) as f64 / per_entry_second,
        ),
        (
            "bytes of an entry",
            "B/s",
            (traffic.bytes[0] + traffic.bytes[1]) as f64 / per_entry_second,
        ),
        (
            "bytes between zones of an entry",
            "B/s",
            traffic.bytes[1] as f64 / per_entry_second,
        ),
        (
            "bytes between zones",
            "kB/s",
            traffic.bytes[1] as f64 / COUNTED.as_secs_f64() / 1e3,
        ),
        ("entries that watch the store", "", watchers as f64),
        ("a change is active everywhere", "s", change.as_secs_f64()),
        ("a dead entry is out of sums", "s", forgotten.as_secs_f64()),
        ("largest sum of shares", "", fleet.max_share_sum),
        ("upstreams of an entry in its zone", "", same_zone as f64),
        (
            "upstreams of an entry in other zones",
            "",
            other_zones as f64,
        ),
        (
            "time of the simulation",
            "s",
            started.elapsed().as_secs_f64(),
        ),
    ]
}

/// The exponent of a quantity in the number of machines, by least squares of the logarithms.
/// `None` if one of the values is zero.
fn exponent(values: &[f64]) -> Option<f64> {
    if values.iter().any(|value| *value <= 0.0) {
        return None;
    }
    #[allow(clippy::cast_precision_loss)] // At most 2,000.
    let sizes: Vec<f64> = SIZES.iter().map(|size| (*size as f64).ln()).collect();
    let values: Vec<f64> = values.iter().map(|value| value.ln()).collect();
    #[allow(clippy::cast_precision_loss)] // Five sizes.
    let mean = |numbers: &[f64]| numbers.iter().sum::<f64>() / numbers.len() as f64;
    let (mean_size, mean_value) = (mean(&sizes), mean(&values));
    let pairs = sizes.iter().zip(&values);
    let product: f64 = pairs.map(|(x, y)| (x - mean_size) * (y - mean_value)).sum();
    let square: f64 = sizes.iter().map(|x| (x - mean_size).powi(2)).sum();
    Some(product / square)
}

fn main() {
    let json = std::env::args().any(|argument| argument == "--json");
    let rows: Vec<Row> = SIZES.iter().map(|size| measure(*size)).collect();
    if !json {
        println!(
            "| machines | {} | grows as |",
            SIZES.map(|n| n.to_string()).join(" | ")
        );
        println!("|---|{}---:|", "---:|".repeat(SIZES.len()));
    }
    for (index, (name, unit, _)) in rows[0].iter().enumerate() {
        let values: Vec<f64> = rows.iter().map(|row| row[index].2).collect();
        if json {
            for (size, value) in SIZES.iter().zip(&values) {
                println!(
                    r#"{{"quantity":"{name}","unit":"{unit}","machines":{size},"value":{value:.3}}}"#
                );
            }
            continue;
        }
        let texts: Vec<String> = values.iter().map(|value| format!("{value:.2}")).collect();
        let growth = exponent(&values).map_or_else(String::new, |e| format!("n^{e:.2}"));
        println!("| {name}, {unit} | {} | {growth} |", texts.join(" | "));
    }
}
