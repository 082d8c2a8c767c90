//! Overhead of the request path through entry and agent, compared in one run with
//! direct calls to the same stand-in and with a minimal monoio-http echo server.
//!
//! `cargo bench --bench path`, with `-- --json` for one JSON object a line and
//! `--only=latency`, `--only=throughput` or `--only=memory` for one part.
//! The entry, the agents and the echo server run as separate processes, so that
//! processor time and memory are measured for each. The bench takes about 45 s.

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

/// Rounds of each measurement. The rounds of compared targets alternate, so that a
/// temporary load of the machine affects all of them.
const ROUNDS: usize = 3;

/// Duration of one latency round.
const LATENCY_ROUND: Duration = Duration::from_millis(1_500);

/// Duration of one throughput round.
const THROUGHPUT_ROUND: Duration = Duration::from_secs(2);

/// Connections of a throughput round, over all threads.
const CONNECTIONS: usize = 64;

/// Threads that generate load, enough that the generator isn't the bottleneck.
const LOAD_THREADS: usize = 4;

/// Open streams during the second memory measurement.
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

/// Formats a result as `key=value` pairs.
fn readable(line: &Value) -> String {
    let fields = line.as_object().into_iter().flatten();
    let pairs: Vec<_> = fields
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    pairs.join("  ")
}

/// Rounds to two decimals.
fn round(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}

/// Measures the latency of a single caller, directly and through entry and agent.
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

/// Measures requests per second and per core of the entry and of the echo server.
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

/// Measures many callers of one instance that takes 1 ms per request regardless of load:
/// the throughput that the balancer's concurrency limit allows, compared with direct calls.
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

/// Measures the memory of the entry and of an agent.
fn memory(deployment: &Deployment, when: &str) -> Value {
    json!({
        "bench": "path",
        "measure": format!("memory, {when}"),
        "entry_rss_kb": deployment.entry.resident_kb(),
        "agent_rss_kb": deployment.engine.resident_kb(),
    })
}
