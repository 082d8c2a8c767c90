//! Evacuated availability zones.

use std::collections::BTreeSet;

use verbenaspool_policy::dispatch::{Dispatcher, PlacementRequest, RejectReason, Verdict};

use crate::simulation::{engine, ms, replica, stream};

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}

/// A dispatcher with one upstream in each of the zones `a` and `b`.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    dispatcher.set_engine(Some(&engine()));
    let mut replicas = [replica("u0", 6), replica("u1", 6)];
    replicas[1].zone = "b".into();
    dispatcher.set_upstreams(replicas.iter());
    dispatcher
}

/// Submits a request and returns the verdict, if there is one at once.
fn decide(dispatcher: &mut Dispatcher, now: u64, request: PlacementRequest) -> Option<Verdict> {
    dispatcher.submit(ms(now), now, request);
    let verdicts = dispatcher.process_queue(ms(now));
    verdicts.into_iter().next().map(|(_, verdict)| verdict)
}

/// The upstream of a request that is placed at once.
fn place(dispatcher: &mut Dispatcher, now: u64) -> String {
    match decide(dispatcher, now, stream(now)) {
        Some(Verdict::Send(id)) => id.to_string(),
        verdict => panic!("{verdict:?}"),
    }
}

/// Guards against new requests in a zone that the operator has emptied.
#[test]
fn an_evacuated_zone_gets_no_requests_until_it_is_taken_back() {
    let mut dispatcher = dispatcher();
    assert_eq!(place(&mut dispatcher, 1), "u0");
    dispatcher.set_evacuated_zones(&zones(&["a", "elsewhere"]));
    for now in 2..6 {
        assert_eq!(place(&mut dispatcher, now), "u1");
    }
    assert_eq!(dispatcher.requests_in_zone("a"), 1);
    dispatcher.set_evacuated_zones(&zones(&[]));
    assert_eq!(place(&mut dispatcher, 6), "u0");
}

/// Guards against an upstream that registers during the evacuation of its zone and gets
/// requests.
#[test]
fn an_upstream_that_joins_an_evacuated_zone_gets_no_requests() {
    let mut dispatcher = dispatcher();
    dispatcher.set_evacuated_zones(&zones(&["a"]));
    let mut replicas = [replica("u0", 6), replica("u1", 6), replica("u2", 6)];
    replicas[1].zone = "b".into();
    dispatcher.set_upstreams(replicas.iter());
    for now in 1..5 {
        assert_eq!(place(&mut dispatcher, now), "u1");
    }
}

/// Guards against requests that wait for upstreams that only the operator can bring back.
#[test]
fn without_any_other_zone_requests_are_rejected_at_once() {
    let mut dispatcher = dispatcher();
    dispatcher.set_evacuated_zones(&zones(&["a", "b"]));
    let late = PlacementRequest {
        target: ms(1),
        ..stream(5)
    };
    for (now, request) in [(5, stream(5)), (6, late)] {
        let verdict = decide(&mut dispatcher, now, request);
        let Some(Verdict::Reject(rejection)) = verdict else {
            panic!("{verdict:?}");
        };
        assert_eq!(rejection.reason, RejectReason::Unavailable);
        assert!(rejection.retry_after > ms(0));
    }
}
