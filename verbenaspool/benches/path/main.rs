//! What the path through entry and agent costs, against a direct call to the
//! same stand-in and a bare monoio-http echo, all in one run.
//!
//! `cargo bench --bench path`, with `-- --json` for one JSON object a line and
//! `--only=latency`, `--only=throughput` or `--only=memory` for a part.
//! The entry's binary, the agents and the echo run as processes of their own, so
//! that their processor time and memory can be told apart. It takes about 45 s.

mod agent;
mod child;
mod deployment;
mod echo;
mod load;

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};

use self::{
    child::Child,
    deployment::Deployment,
    load::{Load, Target},
};

/// Rounds of each measurement, alternating, so that a noisy moment of the
/// machine meets all of them.
const ROUNDS: usize = 3;

/// How long one round of latency takes.
const LATENCY_ROUND: Duration = Duration::from_millis(1_500);

/// How long one round of throughput takes.
const THROUGHPUT_ROUND: Duration = Duration::from_secs(2);

/// Connections in a round of throughput, over all threads.
const CONNECTIONS: usize = 64;

/// Threads that make the load, so that it is not the load that is measured.
const LOAD_THREADS: usize = 4;

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
    let deployment = Deployment::start();
    let echo = Child::echo();
    let print = |line: &Value| {
        if json {
            println!("{line}");
        } else {
            println!("{}", readable(line));
        }
    };
    let only = arguments
        .iter()
        .find_map(|argument| argument.strip_prefix("--only="));
    let selected = |measure: &str| only.is_none_or(|only| measure.starts_with(only));
    if selected("memory") {
        print(&memory(&deployment, "idle"));
    }
    for (name, path, stand_in) in [
        ("latency, work of 0 ms", "/jobs/search", deployment.jobs),
        ("latency, work of 1 ms", "/slow/search", deployment.slow),
    ] {
        if selected(name) {
            print(&latency(&deployment, name, path, stand_in));
        }
    }
    if selected("throughput") {
        print(&throughput(&deployment, &echo));
        print(&many_callers(&deployment));
    }
    if selected("memory") {
        let streams = load::open_streams(deployment.entry.address, STREAMS);
        print(&memory(&deployment, "1,000 open streams"));
        drop(streams);
    }
}

/// A line for people.
fn readable(line: &Value) -> String {
    let fields = line.as_object().into_iter().flatten();
    let pairs: Vec<_> = fields
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    pairs.join("  ")
}

/// A number with two decimals.
fn round(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}

/// Latency of one caller at a time, direct and through both hops.
fn latency(deployment: &Deployment, name: &str, path: &str, stand_in: SocketAddr) -> Value {
    let direct_target = Target::direct(stand_in, "/search");
    let path_target = Target::entry(deployment.entry.address, path);
    let one_caller = |target: &Target, duration| load::run(target, 1, 1, duration);
    one_caller(&direct_target, LATENCY_ROUND / 5);
    one_caller(&path_target, LATENCY_ROUND / 5);
    let (mut direct_load, mut path_load) = (Load::default(), Load::default());
    for _ in 0..ROUNDS {
        direct_load.add(&one_caller(&direct_target, LATENCY_ROUND));
        path_load.add(&one_caller(&path_target, LATENCY_ROUND));
    }
    let ratio = |quantile| path_load.quantile(quantile) / direct_load.quantile(quantile);
    json!({
        "bench": "path",
        "measure": name,
        "direct_p50_us": direct_load.quantile(0.5),
        "direct_p99_us": direct_load.quantile(0.99),
        "path_p50_us": path_load.quantile(0.5),
        "path_p99_us": path_load.quantile(0.99),
        "added_p50_us": path_load.quantile(0.5) - direct_load.quantile(0.5),
        "added_p99_us": path_load.quantile(0.99) - direct_load.quantile(0.99),
        "p99_ratio": round(ratio(0.99)),
        "requests": direct_load.count() + path_load.count(),
        "failed": direct_load.failed + path_load.failed,
    })
}

/// Requests a second of one core: the entry against the bare echo.
fn throughput(deployment: &Deployment, echo: &Child) -> Value {
    let echo_target = Target::direct(echo.address, "/search");
    let path_target = Target::entry(deployment.entry.address, "/jobs/search");
    let direct_target = Target::direct(deployment.jobs, "/search");
    let run_many = |target: &Target| load::run(target, LOAD_THREADS, CONNECTIONS, THROUGHPUT_ROUND);
    let mut totals = [(Load::default(), 0.0), (Load::default(), 0.0)];
    let mut direct_load = Load::default();
    for _ in 0..ROUNDS {
        for ((target, process), (total, cpu_seconds)) in
            [(&echo_target, echo), (&path_target, &deployment.entry)]
                .into_iter()
                .zip(&mut totals)
        {
            let before = process.processor_seconds();
            total.add(&run_many(target));
            *cpu_seconds += process.processor_seconds() - before;
        }
        direct_load.add(&run_many(&direct_target));
    }
    let [(echo_load, echo_cpu), (path_load, path_cpu)] = &totals;
    let per_core = |load: &Load, cpu_seconds: f64| load::to_f64(load.count()) / cpu_seconds;
    json!({
        "bench": "path",
        "measure": "throughput",
        "echo_rps": round(echo_load.rate()),
        "entry_rps": round(path_load.rate()),
        "direct_rps": round(direct_load.rate()),
        "rps_ratio": round(path_load.rate() / echo_load.rate()),
        "echo_rps_per_core": round(per_core(echo_load, *echo_cpu)),
        "entry_rps_per_core": round(per_core(path_load, *path_cpu)),
        "per_core_ratio": round(per_core(path_load, *path_cpu) / per_core(echo_load, *echo_cpu)),
        "entry_core_share": round(path_cpu / path_load.seconds),
        "echo_core_share": round(echo_cpu / echo_load.seconds),
        "path_p99_us": path_load.quantile(0.99),
        "failed": echo_load.failed + path_load.failed,
    })
}

/// Many callers at one instance whose work takes 1 ms and doesn't slow down: what
/// the balancer's limit lets through, against a direct call.
fn many_callers(deployment: &Deployment) -> Value {
    let direct_target = Target::direct(deployment.slow, "/search");
    let path_target = Target::entry(deployment.entry.address, "/slow/search");
    let run_many = |target: &Target| load::run(target, LOAD_THREADS, CONNECTIONS, THROUGHPUT_ROUND);
    let (direct_load, path_load) = (run_many(&direct_target), run_many(&path_target));
    json!({
        "bench": "path",
        "measure": "crowd, work of 1 ms",
        "direct_rps": round(direct_load.rate()),
        "path_rps": round(path_load.rate()),
        "direct_p99_us": direct_load.quantile(0.99),
        "path_p99_us": path_load.quantile(0.99),
        "failed": direct_load.failed + path_load.failed,
    })
}

/// Memory of the entry and of an agent.
fn memory(deployment: &Deployment, when: &str) -> Value {
    json!({
        "bench": "path",
        "measure": format!("memory, {when}"),
        "entry_rss_kb": deployment.entry.resident_kb(),
        "agent_rss_kb": deployment.engine.resident_kb(),
    })
}
