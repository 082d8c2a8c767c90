//! What agents say of their upstreams: words that can be believed, and others.

use verbenaspool_policy::{
    dispatch::{AttemptOutcome, Dispatcher, Verdict},
    slots::Slots,
};

use crate::world::{engine, ms, replica, stream};

/// An entry before one upstream with six slots.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    dispatcher.set_engine(Some(&engine()));
    dispatcher.set_upstreams([replica("u0", 6)].iter());
    dispatcher
}

/// The requests that the entry reckons with at its upstream.
fn in_flight(dispatcher: &Dispatcher, now: u64) -> u32 {
    dispatcher.snapshot(ms(now)).in_flight
}

/// An agent's words come out of order, twice, from an earlier process, or are nonsense:
/// only what is newer and possible counts.
#[test]
fn outdated_and_implausible_load_reports_are_ignored() {
    let mut dispatcher = dispatcher();
    // When, the word's number, what it says; what is reckoned with.
    let cases = [
        (10, 5, 3, 3),
        (20, 4, 1, 3),
        (30, 5, 2, 3),
        (40, 6, 4, 4),
        (50, 7, 10_001, 4),
        (60, 8, u32::MAX, 4),
        // Behind a silence a lower number is that of a new process.
        (400, 1, 2, 2),
    ];
    for (now, sequence, requests, expected) in cases {
        dispatcher.record_load(ms(now), "u0", sequence, requests);
        assert_eq!(in_flight(&dispatcher, now), expected, "at {now}");
    }
    assert!(!dispatcher.record_load(ms(500), "another", 9, 1));
}

/// A word that comes while the entry itself is asking doesn't hold its request yet; one
/// that comes after the answer does. Taken for the other, the upstream would look
/// emptier or fuller than it is.
#[test]
fn a_request_with_a_pending_reservation_counts_once() {
    let mut dispatcher = dispatcher();
    dispatcher.record_load(ms(0), "u0", 1, 2);
    dispatcher.submit(ms(1), 1, stream(1));
    assert_eq!(
        dispatcher.process_queue(ms(1)),
        [(1, Verdict::Send("u0".into()))],
        "there is room"
    );
    dispatcher.record_load(ms(2), "u0", 2, 2);
    assert_eq!(in_flight(&dispatcher, 2), 3);
    dispatcher.finish_reservation("u0");
    dispatcher.record_load(ms(3), "u0", 3, 3);
    assert_eq!(in_flight(&dispatcher, 3), 3);
    dispatcher.finish_attempt(ms(4), "u0", AttemptOutcome::Good);
    assert_eq!(in_flight(&dispatcher, 4), 2);
}

/// An agent whose word is new goes before what other entries say; one that fell silent
/// for long doesn't.
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

/// An agent that was silent isn't asked again at once.
#[test]
fn an_unresponsive_agent_is_not_asked_for_a_while() {
    let mut dispatcher = dispatcher();
    dispatcher.record_load(ms(0), "u0", 1, 2);
    dispatcher.record_agent_timeout(ms(10), "u0");
    assert!(!dispatcher.needs_reservation(ms(400), "u0"));
    assert!(dispatcher.needs_reservation(ms(600), "u0"));
}

/// A slot that was granted counts until a report can show the request, and no longer:
/// callers leave between the agent's word and the sending.
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

/// What an upstream says of itself may be nonsense as well.
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
