//! Minimum scores of the balancer in the simulated load cases, at the size of one firm
//! today. The minimums are slightly below what the bench measures; seeds are fixed, so
//! runs are reproducible.

use verbenaspool_policy::balancer::Balancer;
use verbenaspool_state::{decisions::Decisions, name::Name};

use super::simulation::{case::Case, policy::Policy, score::Score, simulator};

/// The minimum scores of a load case.
struct Minimum {
    case: &'static str,
    deadlines_met: f64,
    goodput: f64,
    fairness: f64,
}

const fn minimum(case: &'static str, deadlines_met: f64, goodput: f64, fairness: f64) -> Minimum {
    Minimum {
        case,
        deadlines_met,
        goodput,
        fairness,
    }
}

fn simulate(case: &Case) -> Score {
    let settings = Decisions::default();
    simulator::run(case, &|entry, zone: &Name| -> Box<dyn Policy> {
        let name = simulator::name("entry", entry);
        Box::new(Balancer::new(&settings, name, zone.clone(), entry as u64))
    })
}

#[test]
fn load_cases_meet_their_minimums() {
    let table = [
        minimum("burst", 0.74, 0.80, 0.95),
        minimum("hot-callers", 0.81, 1.03, 0.95),
        minimum("hot-prefix", 0.96, 0.83, 0.95),
        minimum("slow-upstream", 0.99, 0.79, 0.95),
        minimum("long-among-short", 0.98, 1.04, 0.95),
        minimum("load-1.0", 0.99, 0.97, 0.95),
        minimum("load-3.0", 0.53, 1.03, 0.95),
        minimum("late-reports", 0.99, 0.92, 0.95),
        minimum("half-replaced", 0.99, 0.70, 0.95),
        minimum("zone-lost", 0.99, 0.61, 0.95),
        minimum("outage", 0.88, 0.73, 0.95),
    ];
    let cases = Case::all();
    for minimum in table {
        let case = cases.iter().find(|case| case.name == minimum.case);
        let score = simulate(case.expect("the load case exists"));
        let name = minimum.case;
        assert!(
            score.deadlines_met >= minimum.deadlines_met,
            "{name}: {score:?}"
        );
        assert!(score.goodput >= minimum.goodput, "{name}: {score:?}");
        assert!(score.fairness >= minimum.fairness, "{name}: {score:?}");
    }
}

/// Guards against a retry storm: when all upstreams fail for ten seconds, unlimited
/// retries would bring fifteen times the load on them as they recover.
#[test]
fn an_outage_causes_no_retry_storm() {
    let cases = Case::all();
    let case = cases.iter().find(|case| case.name == "outage");
    let score = simulate(case.expect("the load case exists"));
    assert!(score.attempts_per_request < 1.5, "{score:?}");
}
