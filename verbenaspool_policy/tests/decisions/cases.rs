//! What callers get in the load cases, at the size of one firm today. The bounds
//! lie a little below what the bench measures; runs repeat, as seeds are fixed.

use verbenaspool_policy::balancer::Balancer;
use verbenaspool_state::{decisions::Decisions, name::Name};

use super::play::{case::Case, policy::Policy, score::Score, world};

/// The least that a case has to give.
struct Least {
    case: &'static str,
    deadlines_met: f64,
    goodput: f64,
    fairness: f64,
}

const fn least(case: &'static str, deadlines_met: f64, goodput: f64, fairness: f64) -> Least {
    Least {
        case,
        deadlines_met,
        goodput,
        fairness,
    }
}

fn play(case: &Case) -> Score {
    let settings = Decisions::default();
    world::run(case, &|entry, zone: &Name| -> Box<dyn Policy> {
        let name = world::name("entry", entry);
        Box::new(Balancer::new(&settings, name, zone.clone(), entry as u64))
    })
}

#[test]
fn callers_get_what_the_load_allows() {
    let table = [
        least("burst", 0.74, 0.80, 0.95),
        least("hot-callers", 0.81, 1.03, 0.95),
        least("hot-prefix", 0.96, 0.83, 0.95),
        least("slow-upstream", 0.99, 0.79, 0.95),
        least("long-among-short", 0.98, 1.04, 0.95),
        least("load-1.0", 0.99, 0.97, 0.95),
        least("load-3.0", 0.53, 1.03, 0.95),
        least("late-reports", 0.99, 0.92, 0.95),
        least("half-replaced", 0.99, 0.70, 0.95),
        least("zone-lost", 0.99, 0.61, 0.95),
        least("outage", 0.88, 0.73, 0.95),
    ];
    let cases = Case::all();
    for least in table {
        let case = cases.iter().find(|case| case.name == least.case);
        let score = play(case.expect("a case of that name"));
        let name = least.case;
        assert!(
            score.deadlines_met >= least.deadlines_met,
            "{name}: {score:?}"
        );
        assert!(score.goodput >= least.goodput, "{name}: {score:?}");
        assert!(score.fairness >= least.fairness, "{name}: {score:?}");
    }
}

/// Everything fails for ten seconds, and every caller's request is sent on and
/// on: the upstreams come back to fifteen times their load.
#[test]
fn an_outage_makes_no_storm() {
    let cases = Case::all();
    let case = cases.iter().find(|case| case.name == "outage");
    let score = play(case.expect("a case of that name"));
    assert!(score.attempts < 1.5, "{score:?}");
}
