//! Groups that take no requests: broken ones, those that form anew, zones cut off.

use std::rc::Rc;

use verbenaspool_policy::dispatch::{AttemptOutcome, Dispatcher, RejectReason, Verdict};

use crate::world::{engine, ms, replica, stream};

/// An entry before so many ranks of one group.
fn group(count: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas: Vec<_> = (0..count).map(|n| replica(&format!("u{n}"), 12)).collect();
    dispatcher.set_engine(Some(&engine()));
    dispatcher.set_upstreams(replicas.iter());
    dispatcher
}

/// What becomes of a new request now.
fn decide(dispatcher: &mut Dispatcher, now: u64, ticket: u64) -> Option<Verdict> {
    dispatcher.submit(ms(now), ticket, stream(now));
    let verdicts = dispatcher.process_queue(ms(now));
    let found = verdicts.into_iter().find(|(other, _)| *other == ticket);
    dispatcher.cancel(ticket);
    found.map(|(_, verdict)| verdict)
}

/// Where a request is sent now.
fn place(dispatcher: &mut Dispatcher, now: u64, ticket: u64) -> Option<Rc<str>> {
    match decide(dispatcher, now, ticket) {
        Some(Verdict::Send(id)) => Some(id),
        _ => None,
    }
}

/// Everything was started again, and the registry still names upstreams that are no
/// more: whoever listens at their addresses says so. Entries spent both sendings of
/// each request on two of them within 4 ms, 500 times a second, and told the callers
/// to come back in half a second, before anything ran. Now a few requests find out,
/// the others are told at once to come back when groups can have formed.
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
            None => panic!("a request that can't be served in time waits"),
        }
    }
    assert!(sent <= 16, "{sent} were sent in 1.2 s, {rejected} rejected");
}

/// The group is back, which the next request that looks finds out: from its answer on
/// all are sent again, within two tenths of a second.
#[test]
fn an_accepted_probe_closes_the_circuit() {
    let mut dispatcher = group(8);
    for ticket in 0..3 {
        let id = place(&mut dispatcher, 0, ticket).expect("it is sent");
        let opened = dispatcher.finish_attempt(ms(1), &id, AttemptOutcome::Unreached);
        assert_eq!(opened, ticket == 2);
    }
    assert_eq!(place(&mut dispatcher, 50, 10), None);
    let first = place(&mut dispatcher, 110, 11).expect("one looks");
    assert_eq!(place(&mut dispatcher, 120, 12), None);
    assert!(dispatcher.record_accepted(&first));
    for ticket in 20..30 {
        assert!(place(&mut dispatcher, 130, ticket).is_some());
    }
}

/// Two ranks have crashed, and others of their group go on taking requests, as the
/// group's other zone does in a cut that is only half: nothing is held back from
/// those that can be reached.
#[test]
fn single_unreachable_ranks_dont_open_the_circuit() {
    let mut dispatcher = group(8);
    for ticket in 0..12 {
        let now = ticket * 10;
        let id = place(&mut dispatcher, now, ticket).expect("others are there");
        if ["u0", "u1"].contains(&&*id) {
            dispatcher.finish_attempt(ms(now + 5), &id, AttemptOutcome::Unreached);
        } else {
            dispatcher.record_accepted(&id);
        }
    }
}

/// Agents say that the group runs again before any request has looked.
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

/// Plain upstreams make no groups: one that is full says nothing of the others.
#[test]
fn a_full_upstream_without_a_group_doesnt_affect_others() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas: Vec<_> = (0..3).map(|n| replica(&format!("u{n}"), 6)).collect();
    dispatcher.set_upstreams(replicas.iter());
    let id = place(&mut dispatcher, 0, 0).expect("it is placed");
    dispatcher.finish_attempt(ms(1), &id, AttemptOutcome::Full);
    let other = place(&mut dispatcher, 2, 1).expect("others take it");
    assert_ne!(other, id);
}
