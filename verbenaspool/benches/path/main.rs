//! What the path through entry and agent costs, against a direct call to the
//! same stand-in and a bare monoio-http echo, all in one run.
//!
//! `cargo bench --bench path`, with `-- --json` for one JSON object a line and
//! `--only=latency`, `--only=throughput` or `--only=memory` for a part.
//! The entry's binary, the agents and the echo run as processes of their own, so
//! that their processor time and memory can be told apart. It takes about 45 s.

mod agent;
mod child;
mod echo;
mod load;
mod site;

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};

use self::{
    child::Child,
    load::{Load, Target},
    site::Site,
};

/// Rounds of each measurement, alternating, so that a noisy moment of the
/// machine meets all of them.
const ROUNDS: usize = 3;

/// How long one round of latency takes.
const LATENCY: Duration = Duration::from_millis(1_500);

/// How long one round of throughput takes.
const THROUGHPUT: Duration = Duration::from_secs(2);

/// Connections in a round of throughput, over all threads.
const CONNECTIONS: usize = 64;

/// Threads that make the load, so that it is not the load that is measured.
const THREADS: usize = 4;

/// Streams that are open while memory is read.
const STREAMS: usize = 1_000;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.iter().any(|argument| argument == echo::ROLE) {
        echo::run();
        return;
    }
    if arguments.iter().any(|argument| argument == agent::ROLE) {
        agent::run(arguments.last().expect("a settings file"));
        return;
    }
    let json = arguments.iter().any(|argument| argument == "--json");
    let site = Site::start();
    let echo = Child::echo();
    let say = |line: &Value| {
        if json {
            println!("{line}");
        } else {
            println!("{}", readable(line));
        }
    };
    let only = arguments
        .iter()
        .find_map(|argument| argument.strip_prefix("--only="));
    let wanted = |measure: &str| only.is_none_or(|only| measure.starts_with(only));
    if wanted("memory") {
        say(&memory(&site, "idle"));
    }
    for (name, path, stand_in) in [
        ("latency, work of 0 ms", "/jobs/search", site.jobs),
        ("latency, work of 1 ms", "/slow/search", site.slow),
    ] {
        if wanted(name) {
            say(&latency(&site, name, path, stand_in));
        }
    }
    if wanted("throughput") {
        say(&throughput(&site, &echo));
        say(&crowd(&site));
    }
    if wanted("memory") {
        let streams = load::streams(site.entry.address, STREAMS);
        say(&memory(&site, "1,000 open streams"));
        drop(streams);
    }
}

/// A line for people.
fn readable(line: &Value) -> String {
    let fields = line.as_object().into_iter().flatten();
    let words: Vec<_> = fields
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    words.join("  ")
}

/// A number with two decimals.
fn round(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}

/// Latency of one caller at a time, direct and through both hops.
fn latency(site: &Site, name: &str, path: &str, stand_in: SocketAddr) -> Value {
    let direct = Target::direct(stand_in, "/search");
    let through = Target::entry(site.entry.address, path);
    let one = |target: &Target, time| load::run(target, 1, 1, time);
    one(&direct, LATENCY / 5);
    one(&through, LATENCY / 5);
    let (mut first, mut second) = (Load::default(), Load::default());
    for _ in 0..ROUNDS {
        first.add(&one(&direct, LATENCY));
        second.add(&one(&through, LATENCY));
    }
    let ratio = |quantile| second.quantile(quantile) / first.quantile(quantile);
    json!({
        "bench": "path",
        "measure": name,
        "direct_p50_us": first.quantile(0.5),
        "direct_p99_us": first.quantile(0.99),
        "path_p50_us": second.quantile(0.5),
        "path_p99_us": second.quantile(0.99),
        "added_p50_us": second.quantile(0.5) - first.quantile(0.5),
        "added_p99_us": second.quantile(0.99) - first.quantile(0.99),
        "p99_ratio": round(ratio(0.99)),
        "requests": first.count() + second.count(),
        "failed": first.failed + second.failed,
    })
}

/// Requests a second of one core: the entry against the bare echo.
fn throughput(site: &Site, echo: &Child) -> Value {
    let bare = Target::direct(echo.address, "/search");
    let path = Target::entry(site.entry.address, "/jobs/search");
    let direct = Target::direct(site.jobs, "/search");
    let many = |target: &Target| load::run(target, THREADS, CONNECTIONS, THROUGHPUT);
    let mut totals = [(Load::default(), 0.0), (Load::default(), 0.0)];
    let mut straight = Load::default();
    for _ in 0..ROUNDS {
        for ((target, process), (total, used)) in [(&bare, echo), (&path, &site.entry)]
            .into_iter()
            .zip(&mut totals)
        {
            let before = process.processor();
            total.add(&many(target));
            *used += process.processor() - before;
        }
        straight.add(&many(&direct));
    }
    let [(bare, bare_used), (path, path_used)] = &totals;
    let per_core = |load: &Load, used: f64| load::float(load.count()) / used;
    json!({
        "bench": "path",
        "measure": "throughput",
        "echo_rps": round(bare.rate()),
        "entry_rps": round(path.rate()),
        "direct_rps": round(straight.rate()),
        "rps_ratio": round(path.rate() / bare.rate()),
        "echo_rps_per_core": round(per_core(bare, *bare_used)),
        "entry_rps_per_core": round(per_core(path, *path_used)),
        "per_core_ratio": round(per_core(path, *path_used) / per_core(bare, *bare_used)),
        "entry_core_share": round(path_used / path.seconds),
        "echo_core_share": round(bare_used / bare.seconds),
        "path_p99_us": path.quantile(0.99),
        "failed": bare.failed + path.failed,
    })
}

/// Many callers at one instance whose work takes 1 ms and doesn't slow down: what
/// the balancer's limit lets through, against a direct call.
fn crowd(site: &Site) -> Value {
    let direct = Target::direct(site.slow, "/search");
    let path = Target::entry(site.entry.address, "/slow/search");
    let many = |target: &Target| load::run(target, THREADS, CONNECTIONS, THROUGHPUT);
    let (direct, path) = (many(&direct), many(&path));
    json!({
        "bench": "path",
        "measure": "crowd, work of 1 ms",
        "direct_rps": round(direct.rate()),
        "path_rps": round(path.rate()),
        "direct_p99_us": direct.quantile(0.99),
        "path_p99_us": path.quantile(0.99),
        "failed": direct.failed + path.failed,
    })
}

/// Memory of the entry and of an agent.
fn memory(site: &Site, when: &str) -> Value {
    json!({
        "bench": "path",
        "measure": format!("memory, {when}"),
        "entry_rss_kb": site.entry.memory(),
        "agent_rss_kb": site.engine.memory(),
    })
}
