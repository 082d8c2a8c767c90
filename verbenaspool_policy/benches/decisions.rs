//! Benchmarks the balancer against the baselines and the oracle in each load case.
//!
//! `--json` prints one object per line, `--ablation` adds a row with each mechanism
//! disabled, `--case NAME` runs a single case, `--subset` compares methods of subset
//! selection, and `--memory` prints the memory use of balancers in a large fleet.

mod simulation;

use std::time::Duration;

use simulation::{
    baseline::{Baseline, Kind},
    case::Case,
    fleet, oracle,
    policy::Policy,
    score::Score,
    simulator,
    spread::{self, Method},
};
use verbenaspool_policy::{
    balancer::Balancer,
    mechanism::{Mechanism, Set},
};
use verbenaspool_state::{decisions::Decisions, name::Name};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let has_flag = |flag: &str| arguments.iter().any(|argument| argument == flag);
    if has_flag("--memory") {
        return print_memory();
    }
    if has_flag("--subset") {
        for method in Method::ALL {
            println!("{method:?} {:?}", spread::measure(method));
        }
        return;
    }
    let selected_case = arguments
        .iter()
        .position(|a| a == "--case")
        .and_then(|i| arguments.get(i + 1));
    for case in Case::all() {
        if selected_case.is_some_and(|selected| selected != case.name) {
            continue;
        }
        let print_score =
            |policy: &str, score: Score| print_row(has_flag("--json"), case.name, policy, &score);
        print_score("verbenaspool", run_balancer(&case, Set::all()));
        for kind in Kind::ALL {
            let baseline = |entry, _: &Name| -> Box<dyn Policy> {
                Box::new(Baseline::new(kind, entry as u64))
            };
            print_score(kind.name(), simulator::run(&case, &baseline));
        }
        print_score("oracle", oracle::run(&case));
        if has_flag("--ablation") {
            for mechanism in Mechanism::ALL {
                let policy = format!("without-{mechanism:?}").to_lowercase();
                print_score(&policy, run_balancer(&case, Set::all().without(mechanism)));
            }
        }
    }
    if selected_case.is_none_or(|selected| selected == "fleet") {
        run_fleet_cases(&|case, policy, score| print_row(has_flag("--json"), case, policy, &score));
    }
}

/// Prints the memory use of balancers at the fleet size expected in two years.
fn print_memory() {
    let (members, peers) = (fleet::members(), fleet::peers());
    let mut balancers = Vec::new();
    let mut before = resident_kib();
    // The first balancers seem smaller, as they use memory that the allocator already
    // holds.
    for number in 0..6 {
        let settings = Decisions::default();
        let zone = simulator::name("zone", 0);
        let mut balancer = Balancer::new(&settings, simulator::name("entry", 0), zone, number);
        balancer.set_peers(Duration::ZERO, &peers);
        balancer.set_members(Duration::ZERO, &members);
        let after_lists = resident_kib();
        fleet::run(&mut balancer, 1);
        let after = resident_kib();
        println!(
            "list {} KiB, customers and load {} KiB",
            after_lists - before,
            after - after_lists
        );
        balancers.push(balancer);
        before = after;
    }
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
    number
        .and_then(|number| number.trim().parse().ok())
        .unwrap_or(0)
}

/// Measures the cost of a decision at the fleet size expected in two years.
fn run_fleet_cases(print_score: &dyn Fn(&str, &str, Score)) {
    let (members, peers) = (fleet::members(), fleet::peers());
    let single_attempt = Decisions {
        initial_limit: 1,
        max_limit: 1,
        ..Decisions::default()
    };
    // 64 attempts in flight of 4 s each are 16 per second; 34 or 272 are offered.
    let cases = [
        ("fleet", 1, Decisions::default()),
        ("fleet-overload", 8, single_attempt),
    ];
    for (case, load_factor, settings) in cases {
        let zone = simulator::name("zone", 0);
        let mut balancer = Balancer::new(&settings, simulator::name("entry", 0), zone, 1);
        balancer.set_peers(Duration::ZERO, &peers);
        balancer.set_members(Duration::ZERO, &members);
        print_score(case, "verbenaspool", fleet::run(&mut balancer, load_factor));
        for kind in Kind::ALL {
            let mut baseline = Baseline::new(kind, 1);
            baseline.set_members(Duration::ZERO, &members);
            print_score(case, kind.name(), fleet::run(&mut baseline, load_factor));
        }
    }
}

/// Runs a case with the balancer.
fn run_balancer(case: &Case, mechanisms: Set) -> Score {
    let settings = Decisions::default();
    let make = |entry: usize, zone: &Name| -> Box<dyn Policy> {
        let name = simulator::name("entry", entry);
        Box::new(Balancer::with_mechanisms(
            &settings,
            name,
            zone.clone(),
            entry as u64,
            mechanisms,
        ))
    };
    simulator::run(case, &make)
}

/// Prints the score of one policy in one case.
fn print_row(json: bool, case: &str, policy: &str, score: &Score) {
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
        score.cross_zone_fraction,
        score.attempts_per_request,
        score.offers_per_request,
    );
}
