//! Invalid, late, repeated and implausible input has a defined result.

use std::time::Duration;

use verbenaspool_policy::{
    attempt::{Ending, Outcome},
    decision::{Decision, Reason},
    load::Report,
    member::Member,
    request::Request,
};
use verbenaspool_state::decisions::{Decisions, Number, Reason as SettingReason};

use super::common::{
    RAN_OUTCOME, SECOND, UNKNOWN_ATTEMPT, admitted, balancer, member, name, outcome_with, rejected,
    request, single_attempt_settings, waiting, warm_up,
};

const LOAD: Report = Report {
    incarnation: 1,
    sequence: 5,
    running: 3,
    waiting: 0,
    leaving: false,
};

#[test]
fn outdated_and_unknown_reports_are_ignored() {
    let table = [
        (
            "next sequence number",
            "a",
            Report {
                sequence: 6,
                ..LOAD
            },
            0,
        ),
        ("repeated", "a", LOAD, 1),
        (
            "reordered",
            "a",
            Report {
                sequence: 4,
                ..LOAD
            },
            1,
        ),
        (
            "earlier incarnation",
            "a",
            Report {
                incarnation: 0,
                sequence: 9,
                ..LOAD
            },
            1,
        ),
        (
            "later incarnation",
            "a",
            Report {
                incarnation: 2,
                sequence: 9,
                ..LOAD
            },
            1,
        ),
        ("unknown upstream", "z", LOAD, 1),
        (
            "implausible counts",
            "a",
            Report {
                sequence: 6,
                running: u32::MAX,
                waiting: u32::MAX,
                ..LOAD
            },
            0,
        ),
    ];
    let customer = name("bowen");
    for (case, upstream, load, ignored) in table {
        let mut balancer = balancer(&Decisions::default(), &[member("a")]);
        balancer.load_report(SECOND, &name("a"), &LOAD);
        balancer.load_report(SECOND, &name(upstream), &load);
        assert_eq!(balancer.snapshot(SECOND).ignored_reports, ignored, "{case}");
        // Whatever the report says, the only upstream stays in use.
        admitted(balancer.offer(SECOND, &request(&customer, SECOND)));
    }
}

#[test]
fn without_upstreams_a_rejection_says_when_to_retry() {
    let customer = name("bowen");
    let leaving = Member {
        leaving: true,
        ..member("a")
    };
    for members in [vec![], vec![leaving]] {
        let mut balancer = balancer(&Decisions::default(), &members);
        let rejection = rejected(balancer.offer(SECOND, &request(&customer, SECOND)));
        assert_eq!(rejection.reason, Reason::NoUpstream);
        assert!(rejection.retry_after >= 2 * SECOND);
    }
}

#[test]
fn extreme_requests_get_a_decision() {
    let customer = name("bowen");
    let plain = request(&customer, SECOND);
    let table = [
        Request {
            max_tokens: u32::MAX,
            prompt_tokens: u32::MAX,
            ..plain
        },
        Request {
            max_tokens: 0,
            prompt_tokens: 0,
            ..plain
        },
        Request {
            deadline: Duration::MAX,
            ..plain
        },
        Request {
            deadline: Duration::ZERO,
            ..plain
        },
        Request {
            priority: u8::MAX,
            prefixes: &[0, 0, u64::MAX],
            ..plain
        },
    ];
    for request in table {
        let mut balancer = balancer(&single_attempt_settings(), &[member("a")]);
        warm_up(&mut balancer, &customer, 3);
        let now = 4 * SECOND;
        for _ in 0..3 {
            balancer.offer(now, &request);
            balancer.poll(now);
            assert!(balancer.next_wake() <= Some(Duration::MAX));
        }
        let after = balancer.snapshot(now);
        assert!(after.waiting <= 2, "{request:?}");
    }
}

#[test]
fn outcomes_of_finished_or_unknown_attempts_are_ignored() {
    let customer = name("bowen");
    let mut balancer = balancer(&single_attempt_settings(), &[member("a")]);
    let start = admitted(balancer.offer(SECOND, &request(&customer, SECOND)));
    balancer.finish(SECOND, start.attempt, &outcome_with(Ending::Cancelled));
    let before = balancer.snapshot(SECOND);
    balancer.finish(SECOND, start.attempt, &RAN_OUTCOME);
    balancer.finish(SECOND, UNKNOWN_ATTEMPT, &RAN_OUTCOME);
    assert_eq!(balancer.snapshot(SECOND), before);
}

/// An outcome may report more tokens than requested or no time at all, or take an hour
/// because its upstream was replaced meanwhile. Requests are still admitted afterwards.
#[test]
fn implausible_outcomes_do_not_stop_admission() {
    let customer = name("bowen");
    let table = [
        Outcome {
            tokens: u32::MAX,
            prompt_tokens: u32::MAX,
            ..RAN_OUTCOME
        },
        Outcome {
            took: Duration::ZERO,
            tokens: 0,
            ..RAN_OUTCOME
        },
        Outcome {
            took: Duration::MAX,
            ..RAN_OUTCOME
        },
        Outcome {
            took: 3_600 * SECOND,
            ..RAN_OUTCOME
        },
    ];
    for outcome in table {
        let mut balancer = balancer(
            &single_attempt_settings(),
            &[member("a"), member("b"), member("c")],
        );
        let start = admitted(balancer.offer(SECOND, &request(&customer, SECOND)));
        balancer.finish(SECOND, start.attempt, &outcome);
        let now = warm_up(&mut balancer, &customer, 40);
        admitted(balancer.offer(now, &request(&customer, now)));
    }
}

/// Attempts of a replaced instance end after the new instance has attempts of its own.
#[test]
fn attempts_of_an_earlier_incarnation_free_no_slot() {
    let customer = name("bowen");
    let mut balancer = balancer(&single_attempt_settings(), &[member("a")]);
    let old = admitted(balancer.offer(SECOND, &request(&customer, SECOND)));
    balancer.set_members(
        SECOND,
        &[Member {
            incarnation: 2,
            ..member("a")
        }],
    );
    admitted(balancer.offer(SECOND, &request(&customer, SECOND)));
    balancer.finish(SECOND, old.attempt, &RAN_OUTCOME);
    let decision = balancer.offer(SECOND, &request(&customer, SECOND));
    assert!(matches!(decision, Decision::Wait(_)), "{decision:?}");
}

/// The clock jumps a day ahead and back, as it may after the machine was suspended.
#[test]
fn clock_jumps_do_not_stop_admission() {
    let customer = name("bowen");
    let mut balancer = balancer(
        &single_attempt_settings(),
        &[member("a"), member("b"), member("c")],
    );
    for now in [
        SECOND,
        86_400 * SECOND,
        2 * SECOND,
        Duration::MAX,
        3 * SECOND,
    ] {
        let request = Request {
            deadline: now.saturating_add(10 * SECOND),
            ..request(&customer, SECOND)
        };
        if let Decision::Admit(start) = balancer.offer(now, &request) {
            balancer.finish(now, start.attempt, &outcome_with(Ending::Unknown));
        }
        balancer.load_report(now, &name("a"), &LOAD);
        balancer.poll(now);
    }
    let now = warm_up(&mut balancer, &customer, 20);
    admitted(balancer.offer(now, &request(&customer, now)));
    assert_eq!(
        balancer
            .snapshot(now)
            .upstreams
            .iter()
            .filter(|u| u.ejected)
            .count(),
        0
    );
}

#[test]
fn invalid_speeds_count_as_equal() {
    let customer = name("bowen");
    for speed in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300, 1e-300] {
        let invalid = Member {
            speed,
            ..member("a")
        };
        let mut balancer = balancer(&single_attempt_settings(), &[invalid, member("b")]);
        let first = admitted(balancer.offer(SECOND, &request(&customer, SECOND)));
        let second = admitted(balancer.offer(SECOND, &request(&customer, SECOND)));
        assert_ne!(first.upstream, second.upstream, "{speed}");
    }
}

#[test]
fn settings_out_of_range_are_reported() {
    let settings = Decisions {
        deadline_ms: 0,
        prefill_weight: f64::NAN,
        ejection_share: 1.0,
        initial_limit: 600,
        ..Decisions::default()
    };
    let problems = settings.check();
    let keys: Vec<&str> = problems.iter().map(|problem| problem.key).collect();
    assert_eq!(
        keys,
        [
            "deadline_ms",
            "prefill_weight",
            "initial_limit",
            "ejection_share"
        ]
    );
    assert_eq!(problems[1].reason, SettingReason::NotFinite);
    let range = SettingReason::Range {
        value: Number::Fraction(1.0),
        min: 0.0,
        max: 0.9,
    };
    assert_eq!(problems[3].reason, range);
    assert_eq!(
        problems[3].to_string(),
        "ejection_share: must be from 0 to 0.9"
    );
}

/// A caller requests four billion tokens before the pace of the upstream is known. The
/// customer's later requests must not wait for a corresponding number of turns.
#[test]
fn an_oversized_request_costs_its_customer_at_most_a_thousand_turns() {
    let (oversized, other) = (name("oversized"), name("other"));
    let mut balancer = balancer(&single_attempt_settings(), &[member("a")]);
    let request_of = |customer, max_tokens| Request {
        max_tokens,
        deadline: 1_000_000 * SECOND,
        ..request(customer, SECOND)
    };
    let mut running = admitted(balancer.offer(SECOND, &request_of(&other, 100))).attempt;
    let first = waiting(balancer.offer(SECOND, &request_of(&oversized, u32::MAX)));
    let second = waiting(balancer.offer(SECOND, &request_of(&oversized, 100)));
    let mut started = Vec::new();
    for turn in 1..3_000 {
        balancer.offer(SECOND * turn, &request_of(&other, 100));
        balancer.finish(SECOND * turn, running, &outcome_with(Ending::Cancelled));
        for resolution in balancer.poll(SECOND * turn) {
            if let Ok(start) = resolution.result {
                running = start.attempt;
                started.push(resolution.ticket);
            }
        }
    }
    let position_of = |ticket| {
        started
            .iter()
            .position(|&t| t == ticket)
            .expect("the request starts")
    };
    assert!(
        position_of(second) - position_of(first) <= 1_100,
        "{}",
        position_of(second) - position_of(first)
    );
}
