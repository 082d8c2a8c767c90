//! Agents' load reports, and reservations of slots.

use verbenaspool_policy::{
    dispatch::{AttemptOutcome, Dispatcher, Verdict},
    slots::Slots,
};

use verbenaspool_state::engine::{Engine, Experts};

use crate::simulation::{engine, ms, replica, stream};

/// A dispatcher with one upstream of six slots.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    dispatcher.set_engine(Some(&engine()));
    dispatcher.set_upstreams([replica("u0", 6)].iter());
    dispatcher
}

/// The number of requests that the dispatcher counts at its upstream.
fn in_flight(dispatcher: &Dispatcher, now: u64) -> u32 {
    dispatcher.snapshot(ms(now)).in_flight
}

/// Guards against load reports that arrive out of order or twice, come from an earlier
/// process of the agent, or are implausible.
#[test]
fn outdated_and_implausible_load_reports_are_ignored() {
    let mut dispatcher = dispatcher();
    // Time, sequence number and requests of the report; requests counted after it.
    let cases = [
        (10, 5, 3, 3),
        (20, 4, 1, 3),
        (30, 5, 2, 3),
        (40, 6, 4, 4),
        (50, 7, 10_001, 4),
        (60, 8, u32::MAX, 4),
        // After a pause without reports, a lower sequence number is that of a restarted
        // agent.
        (400, 1, 2, 2),
    ];
    for (now, sequence, requests, expected) in cases {
        dispatcher.record_load(ms(now), "u0", sequence, requests);
        assert_eq!(in_flight(&dispatcher, now), expected, "at {now}");
    }
    assert!(!dispatcher.record_load(ms(500), "another", 9, 1));
}

/// Guards against an upstream that looks fuller or emptier than it is. A load report that
/// arrives during a pending reservation doesn't include its request yet; one that arrives
/// after the agent's answer does.
#[test]
fn a_request_with_a_pending_reservation_counts_once() {
    let mut dispatcher = dispatcher();
    dispatcher.record_load(ms(0), "u0", 1, 2);
    dispatcher.submit(ms(1), 1, stream(1));
    assert_eq!(
        dispatcher.process_queue(ms(1)),
        [(1, Verdict::Send("u0".into()))],
        "the upstream has capacity"
    );
    dispatcher.record_load(ms(2), "u0", 2, 2);
    assert_eq!(in_flight(&dispatcher, 2), 3);
    dispatcher.finish_reservation("u0");
    dispatcher.record_load(ms(3), "u0", 3, 3);
    assert_eq!(in_flight(&dispatcher, 3), 3);
    dispatcher.finish_attempt(ms(4), "u0", AttemptOutcome::Good);
    assert_eq!(in_flight(&dispatcher, 4), 2);
}

/// A recent load report takes precedence over the digests of other entries, an outdated
/// one doesn't.
#[test]
fn peer_load_counts_only_without_agent_reports() {
    let mut dispatcher = dispatcher();
    dispatcher.record_load(ms(0), "u0", 1, 2);
    dispatcher.set_peer_load(ms(100), "u0", 6);
    assert_eq!(in_flight(&dispatcher, 100), 2);
    assert!(dispatcher.needs_reservation(ms(100), "u0"));
    dispatcher.set_peer_load(ms(10_000), "u0", 6);
    assert_eq!(in_flight(&dispatcher, 10_000), 6);
    assert!(!dispatcher.needs_reservation(ms(10_000), "u0"));
}

/// Guards against a timeout on every request while an agent doesn't respond.
#[test]
fn an_unresponsive_agent_is_not_asked_for_a_while() {
    let mut dispatcher = dispatcher();
    dispatcher.record_load(ms(0), "u0", 1, 2);
    dispatcher.record_agent_timeout(ms(10), "u0");
    assert!(!dispatcher.needs_reservation(ms(400), "u0"));
    assert!(dispatcher.needs_reservation(ms(600), "u0"));
}

/// Guards against slots that stay reserved for a caller that leaves before its request is
/// sent. A grant counts until a report can include the request.
#[test]
fn an_unused_grant_expires() {
    let mut slots = Slots::default();
    slots.report(ms(0), 5);
    assert!(slots.grant(ms(1), 6));
    slots.report(ms(20), 5);
    assert_eq!(slots.requests(), 6);
    assert!(!slots.grant(ms(21), 6));
    slots.report(ms(50), 5);
    assert_eq!(slots.requests(), 5);
    assert!(slots.grant(ms(51), 6));
}

/// Guards against an overflow if an upstream reports an implausible number of requests.
#[test]
fn an_upstream_that_reports_u32_max_requests_is_full() {
    let mut slots = Slots::default();
    slots.report(ms(0), u32::MAX);
    assert!(!slots.grant(ms(1), 6));
    assert!(!slots.grant(ms(1), 0));
    slots.report(ms(10), 0);
    assert!(!slots.grant(ms(11), 0));
    assert!(slots.grant(ms(11), 1));
    assert_eq!(slots.requests(), 1);
}

/// Guards against requests that are sent to ranks whose groups don't run yet, when entries and
/// agents start at the same time: a fifth of all arrivals in the ten seconds after a restart
/// of 231 entries and 768 agents.
#[test]
fn a_new_rank_gets_no_request_before_its_agent_has_reported() {
    let mut dispatcher = dispatcher();
    let experts = Experts {
        layers: 1,
        count: 1,
        max_slots_per_rank: 1,
        max_new_per_layer: 1,
        work_share: 0.5,
        copy_time: ms(1),
    };
    dispatcher.set_engine(Some(&Engine {
        experts: Some(experts),
        ..engine()
    }));
    dispatcher.update_entry_count(ms(0), 1);
    dispatcher.submit(ms(1), 1, stream(1));
    assert_eq!(dispatcher.process_queue(ms(1)), []);
    dispatcher.record_load(ms(20), "u0", 1, 0);
    dispatcher.record_status(ms(20), "u0", 7, true, 1.0);
    let sent = [(1, Verdict::Send("u0".into()))];
    assert_eq!(dispatcher.process_queue(ms(20)), sent);
}

/// Guards against a rank that gets no requests because its agent is gone for good.
#[test]
fn a_rank_without_an_agent_gets_requests_after_a_while() {
    let mut dispatcher = dispatcher();
    dispatcher.update_entry_count(ms(0), 1);
    dispatcher.submit(ms(1_000), 1, stream(1_000));
    let sent = [(1, Verdict::Send("u0".into()))];
    assert_eq!(dispatcher.process_queue(ms(1_000)), sent);
}
