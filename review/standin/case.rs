//! The cases.

mod foreign_entry;
mod store_copy;
mod unreadable_entry;

use std::{io, time::Duration};

use crate::{
    Run,
    caller::{Callers, HOST, KEY},
    store::Store,
    upstream::Upstream,
};

/// `drainMs` of the small deployments.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `stableWindowMs` of the small deployments.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// `configPropagationMs` and `stretchMaximumMs` of the small deployments.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(2_000 + 5_000);
/// `recoveryS` of the small deployments.
const RECOVERY: Duration = Duration::from_secs(12);
/// `heartbeatMs` of the small deployments.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Runs a case. Returns whether the rule held.
pub fn run(name: &str, run: &Run) -> io::Result<bool> {
    match name {
        "store-copy" => store_copy::run(run),
        "unreadable-entry" => unreadable_entry::run(run),
        "foreign-entry" => foreign_entry::run(run),
        _ => Err(io::Error::other("unknown case")),
    }
}

fn route(name: &str, path: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{path}","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"{service}","maxAttempts":2,"publicAccess":false,"resumable":false}}"#
    )
}

fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","healthCheckPath":"/health","connectionLimit":110,"protocol":"h1","transportSecurity":false}}"#))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","accessKeys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Starts replicas of a service and enters them in the registry.
fn start_replicas(
    run: &Run,
    store: &Store,
    service: &str,
    count: usize,
) -> io::Result<Vec<Upstream>> {
    let mut replicas = Vec::new();
    for number in 1..=count {
        let replica = Upstream::start(&format!("i-{service}-{number}"), service, &run.record)?;
        store.put("servers", &replica.id, replica.entry("ready", 0).as_bytes());
        replicas.push(replica);
    }
    Ok(replicas)
}

/// Counts the requests that arrived at a replica later than `drainMs` after it left, and reports.
fn check_drain(run: &Run, replica: &Upstream, left_at: Duration) -> bool {
    let arrivals = replica.arrivals();
    let late = arrivals.iter().filter(|a| a.ran && a.at > left_at + DRAIN);
    let late: Vec<f64> = late.map(|a| (a.at - left_at).as_secs_f64()).collect();
    let last = late.last().copied().unwrap_or_default();
    run.record.report(&format!(
        "DRAIN: {} of {} requests reached {} later than 2 s after its leaving was acknowledged, the last one after {last:.2} s",
        late.len(),
        arrivals.len(),
        replica.id
    ));
    late.is_empty()
}

/// Reports how many requests were served.
fn report_answers(run: &Run, callers: &Callers) {
    let answers = callers.answers();
    let good = answers
        .iter()
        .filter(|a| a.status == 200 && a.whole)
        .count();
    run.record.report(&format!(
        "clients sent {} requests, {good} were served",
        answers.len()
    ));
}
