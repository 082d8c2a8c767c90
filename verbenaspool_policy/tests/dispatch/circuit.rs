//! Circuit breakers of groups that reject requests or can't be reached.

use std::rc::Rc;

use verbenaspool_policy::dispatch::{AttemptOutcome, Dispatcher, RejectReason, Verdict};

use crate::simulation::{engine, ms, replica, stream};

/// A dispatcher with `count` ranks of one group.
fn group(count: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas: Vec<_> = (0..count).map(|n| replica(&format!("u{n}"), 12)).collect();
    dispatcher.set_engine(Some(&engine()));
    dispatcher.set_upstreams(replicas.iter());
    dispatcher
}

/// Submits a request and returns the verdict on it, if it is decided immediately.
fn decide(dispatcher: &mut Dispatcher, now: u64, ticket: u64) -> Option<Verdict> {
    dispatcher.submit(ms(now), ticket, stream(now));
    let verdicts = dispatcher.process_queue(ms(now));
    let found = verdicts.into_iter().find(|(other, _)| *other == ticket);
    dispatcher.cancel(ticket);
    found.map(|(_, verdict)| verdict)
}

/// Submits a request and returns the upstream that it is sent to.
fn place(dispatcher: &mut Dispatcher, now: u64, ticket: u64) -> Option<Rc<str>> {
    match decide(dispatcher, now, ticket) {
        Some(Verdict::Send(id)) => Some(id),
        _ => None,
    }
}

/// Guards against requests that use up their attempts on upstreams which no longer exist.
/// After a full restart the registry still lists them, and other processes answer at their
/// addresses. Entries spent both attempts of 500 requests per second within 4 ms each and
/// had callers retry after half a second, before any group ran. A few requests are enough
/// to open the circuit; the others are rejected with a Retry-After that gives groups time
/// to form.
#[test]
fn unreachable_upstreams_cost_few_requests() {
    let mut dispatcher = group(64);
    let (mut sent, mut rejected) = (0, 0);
    for ticket in 0..300 {
        let now = ticket * 4;
        match decide(&mut dispatcher, now, ticket) {
            Some(Verdict::Send(id)) => {
                sent += 1;
                dispatcher.finish_attempt(ms(now + 1), &id, AttemptOutcome::Unreached);
            }
            Some(Verdict::Reject(rejection)) => {
                assert_eq!(rejection.reason, RejectReason::Unavailable);
                assert!(rejection.retry_after >= ms(2_000));
                rejected += 1;
            }
            None => panic!("a request that can't be on time is queued"),
        }
    }
    assert!(sent <= 16, "{sent} were sent in 1.2 s, {rejected} rejected");
}

/// A request accepted by a rank closes the circuit, which a probe finds out within 0.2 s
/// of the group's return.
#[test]
fn an_accepted_probe_closes_the_circuit() {
    let mut dispatcher = group(8);
    for ticket in 0..3 {
        let id = place(&mut dispatcher, 0, ticket).expect("it is sent");
        let opened = dispatcher.finish_attempt(ms(1), &id, AttemptOutcome::Unreached);
        assert_eq!(opened, ticket == 2);
    }
    assert_eq!(place(&mut dispatcher, 50, 10), None);
    let probed = place(&mut dispatcher, 110, 11).expect("a probe is sent");
    assert_eq!(place(&mut dispatcher, 120, 12), None);
    assert!(dispatcher.record_accepted(&probed));
    for ticket in 20..30 {
        assert!(place(&mut dispatcher, 130, ticket).is_some());
    }
}

/// Guards against a circuit that opens while most ranks of a group accept requests, as
/// when two ranks have crashed, or when a network partition leaves one zone of the group
/// reachable.
#[test]
fn single_unreachable_ranks_dont_open_the_circuit() {
    let mut dispatcher = group(8);
    for ticket in 0..12 {
        let now = ticket * 10;
        let id = place(&mut dispatcher, now, ticket).expect("other ranks accept it");
        if ["u0", "u1"].contains(&&*id) {
            dispatcher.finish_attempt(ms(now + 5), &id, AttemptOutcome::Unreached);
        } else {
            dispatcher.record_accepted(&id);
        }
    }
}

/// A report that the group runs again closes the circuit before any probe is sent.
#[test]
fn an_agent_report_closes_the_circuit() {
    let mut dispatcher = group(4);
    for number in 0..4 {
        dispatcher.record_status(ms(0), &format!("u{number}"), 7, true, 1.0);
    }
    let id = place(&mut dispatcher, 0, 0).expect("it is sent");
    dispatcher.finish_attempt(ms(1), &id, AttemptOutcome::Full);
    assert_eq!(place(&mut dispatcher, 2, 1), None);
    dispatcher.record_status(ms(10), "u2", 7, false, 1.0);
    dispatcher.record_status(ms(20), "u2", 7, true, 1.0);
    assert!(place(&mut dispatcher, 21, 2).is_some());
}

/// Guards against a full upstream without an engine that opens a circuit for all
/// upstreams. Only engines form groups.
#[test]
fn a_full_upstream_without_a_group_doesnt_affect_others() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas: Vec<_> = (0..3).map(|n| replica(&format!("u{n}"), 6)).collect();
    dispatcher.set_upstreams(replicas.iter());
    let id = place(&mut dispatcher, 0, 0).expect("it is placed");
    dispatcher.finish_attempt(ms(1), &id, AttemptOutcome::Full);
    let other = place(&mut dispatcher, 2, 1).expect("others have capacity");
    assert_ne!(other, id);
}
