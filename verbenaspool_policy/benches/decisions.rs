//! Measures the decisions in each load case beside the baselines and the oracle.
//! `--json` prints one object a line; `--ablation` adds a row for each mechanism
//! left out; `--case NAME` plays only one; `--subset` compares ways to choose subsets;
//! `--memory` shows what a balancer of a large fleet takes.

mod play;

use std::time::Duration;

use play::{
    baseline::{Baseline, Kind},
    case::Case,
    fleet, oracle,
    policy::Policy,
    score::Score,
    spread::{self, Way},
    world,
};
use verbenaspool_policy::{
    balancer::Balancer,
    mechanism::{Mechanism, Set},
};
use verbenaspool_state::{decisions::Decisions, name::Name};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let has = |flag: &str| arguments.iter().any(|argument| argument == flag);
    if has("--memory") {
        return memory();
    }
    if has("--subset") {
        for way in Way::ALL {
            println!("{way:?} {:?}", spread::measure(way));
        }
        return;
    }
    let only = arguments
        .iter()
        .position(|a| a == "--case")
        .and_then(|i| arguments.get(i + 1));
    for case in Case::all() {
        if only.is_some_and(|only| only != case.name) {
            continue;
        }
        let row = |policy: &str, score: Score| show(has("--json"), case.name, policy, &score);
        row("verbenaspool", ours(&case, Set::all()));
        for kind in Kind::ALL {
            let baseline = |entry, _: &Name| -> Box<dyn Policy> {
                Box::new(Baseline::new(kind, entry as u64))
            };
            row(kind.name(), world::run(&case, &baseline));
        }
        row("oracle", oracle::run(&case));
        if has("--ablation") {
            for mechanism in Mechanism::ALL {
                let policy = format!("without-{mechanism:?}").to_lowercase();
                row(&policy, ours(&case, Set::all().without(mechanism)));
            }
        }
    }
    if only.is_none_or(|only| only == "fleet") {
        fleet(&|case, policy, score| show(has("--json"), case, policy, &score));
    }
}

/// Shows the memory that balancers take at the size of two years from now.
fn memory() {
    let (members, peers) = (fleet::members(), fleet::peers());
    let mut kept = Vec::new();
    let mut before = resident();
    // The first balancers fill what the allocator has left over.
    for number in 0..6 {
        let settings = Decisions::default();
        let zone = world::name("zone", 0);
        let mut balancer = Balancer::new(&settings, world::name("entry", 0), zone, number);
        balancer.set_peers(Duration::ZERO, &peers);
        balancer.set_members(Duration::ZERO, &members);
        let listed = resident();
        fleet::run(&mut balancer, 1);
        let after = resident();
        println!(
            "list {} KiB, customers and load {} KiB",
            listed - before,
            after - listed
        );
        kept.push(balancer);
        before = after;
    }
}

/// The process's resident memory in KiB.
fn resident() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
    number
        .and_then(|number| number.trim().parse().ok())
        .unwrap_or(0)
}

/// Measures a decision at the size of two years from now.
fn fleet(show: &dyn Fn(&str, &str, Score)) {
    let (members, peers) = (fleet::members(), fleet::peers());
    let narrow = Decisions {
        initial_limit: 1,
        max_limit: 1,
        ..Decisions::default()
    };
    // 64 attempts of 4 s at once are 16 a second, where 34 or 272 are offered.
    let cases = [
        ("fleet", 1, Decisions::default()),
        ("fleet-overload", 8, narrow),
    ];
    for (case, load, settings) in cases {
        let zone = world::name("zone", 0);
        let mut balancer = Balancer::new(&settings, world::name("entry", 0), zone, 1);
        balancer.set_peers(Duration::ZERO, &peers);
        balancer.set_members(Duration::ZERO, &members);
        show(case, "verbenaspool", fleet::run(&mut balancer, load));
        for kind in Kind::ALL {
            let mut baseline = Baseline::new(kind, 1);
            baseline.members(Duration::ZERO, &members);
            show(case, kind.name(), fleet::run(&mut baseline, load));
        }
    }
}

/// Plays a case with the balancer.
fn ours(case: &Case, mechanisms: Set) -> Score {
    let settings = Decisions::default();
    let make = |entry: usize, zone: &Name| -> Box<dyn Policy> {
        let name = world::name("entry", entry);
        Box::new(Balancer::with_mechanisms(
            &settings,
            name,
            zone.clone(),
            entry as u64,
            mechanisms,
        ))
    };
    world::run(case, &make)
}

/// Prints one row.
fn show(json: bool, case: &str, policy: &str, score: &Score) {
    if json {
        let row = serde_json::json!({
            "case": case,
            "policy": policy,
            "p50_ms": score.p50_ms,
            "p99_ms": score.p99_ms,
            "goodput": score.goodput,
            "fairness": score.fairness,
            "deadlines_met": score.deadlines_met,
            "ns_per_decision": score.ns_per_decision,
        });
        println!("{row}");
        return;
    }
    println!(
        "{case:18} {policy:22} p50 {:6.0} p99 {:6.0} goodput {:.3} fair {:.3} met {:.3} ns {:5.0} crossed {:.2} attempts {:.2} asked {:.2}",
        score.p50_ms,
        score.p99_ms,
        score.goodput,
        score.fairness,
        score.deadlines_met,
        score.ns_per_decision,
        score.crossed,
        score.attempts,
        score.asked,
    );
}
