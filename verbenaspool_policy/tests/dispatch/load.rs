//! Placement at high load, and the order in which requests are placed.

use std::time::Duration;

use verbenaspool_policy::dispatch::{
    AttemptOutcome, Dispatcher, PlacementRequest, RejectReason, Rejection, Verdict,
};

use crate::simulation::{Outcomes, Simulation, engine, ms, replica, stream};

/// Guards against saturated engines that use all their slots, which makes every pass take
/// longer than the longest gap on time. With a limit on streams nearly all admitted ones
/// are on time, and the others are rejected immediately.
#[test]
fn saturated_engines_serve_admitted_streams_on_time() {
    let mut simulation = Simulation::new(4, 8);
    simulation.pace = 2.5;
    simulation.run(&[15.0, 15.0, 15.0, 15.0], 20_000);
    let Outcomes {
        on_time,
        late,
        rejected,
    } = simulation.outcomes;
    assert!(
        on_time > 200,
        "{:?}, at most {} streams per upstream",
        simulation.outcomes,
        simulation.max_streams
    );
    assert!(late * 10 < on_time, "{late} late and {on_time} on time");
    assert!(rejected > 100, "{rejected} rejected");
}

/// Guards against capacity that stays unused because most requests arrive at one entry.
#[test]
fn a_busy_entry_uses_the_capacity_left_by_others() {
    let mut even = Simulation::new(4, 8);
    even.run(&[9.0; 4], 15_000);
    let mut uneven = Simulation::new(4, 8);
    uneven.run(&[33.0, 1.0, 1.0, 1.0], 15_000);
    let (even, uneven) = (even.outcomes.on_time, uneven.outcomes.on_time);
    assert!(
        uneven * 10 >= even * 9,
        "{uneven} on time, {even} if evenly distributed"
    );
}

/// Guards against most requests being rejected while entries don't receive each other's
/// digests. Each then assumes that it is alone, and uses as many slots of an upstream as it
/// would by itself.
#[test]
fn entries_without_digests_still_serve() {
    let mut simulation = Simulation::new(4, 8);
    simulation.exchanges_digests = false;
    simulation.run(&[9.0; 4], 15_000);
    let Outcomes {
        on_time,
        late,
        rejected,
    } = simulation.outcomes;
    assert!(
        (on_time + late) * 10 > rejected * 90,
        "{:?}",
        simulation.outcomes
    );
}

/// Guards against a backlog that outlasts a burst. Two seconds after 3 s with four times
/// the demand, hardly any stream is rejected.
#[test]
fn a_burst_leaves_no_backlog() {
    let mut simulation = Simulation::new(4, 8);
    simulation.run(&[7.0; 4], 5_000);
    simulation.run(&[28.0; 4], 3_000);
    simulation.run(&[7.0; 4], 2_000);
    let before = simulation.outcomes;
    simulation.run(&[7.0; 4], 5_000);
    let rejected = simulation.outcomes.rejected - before.rejected;
    assert!(rejected <= 3, "{rejected} rejected after the burst");
}

/// Guards against streams that stay late after a shift of expert popularity has doubled
/// the pass time. New streams are held back, which should take a second; the test allows
/// four.
#[test]
fn slower_passes_reduce_admission() {
    let mut simulation = Simulation::new(2, 8);
    simulation.run(&[16.0; 2], 6_000);
    simulation.pace = 2.2;
    simulation.run(&[16.0; 2], 4_000);
    let before = simulation.outcomes;
    simulation.run(&[16.0; 2], 8_000);
    let late = simulation.outcomes.late - before.late;
    let on_time = simulation.outcomes.on_time - before.on_time;
    assert!(late * 3 < on_time, "{late} late, {on_time} on time");
}

fn submit_and_decide(
    dispatcher: &mut Dispatcher,
    now: Duration,
    ticket: u64,
    request: PlacementRequest,
) -> Option<Verdict> {
    dispatcher.submit(now, ticket, request);
    let verdicts = dispatcher.process_queue(now);
    verdicts
        .into_iter()
        .find(|(t, _)| *t == ticket)
        .map(|(_, v)| v)
}

/// A request without a limit on the gap between events.
fn plain_request(now: u64) -> PlacementRequest {
    PlacementRequest {
        max_gap: None,
        ..stream(now)
    }
}

/// Guards against an upstream that fails every request immediately and therefore always
/// looks idle.
#[test]
fn a_failing_upstream_gets_few_requests() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas = [replica("bad", 6), replica("good", 6)];
    dispatcher.set_upstreams(replicas.iter());
    let mut bad = 0;
    for ticket in 0..200 {
        let now = ms(10 * ticket);
        let verdict = submit_and_decide(&mut dispatcher, now, ticket, plain_request(10 * ticket));
        let Some(Verdict::Send(id)) = verdict else {
            panic!("{verdict:?}");
        };
        let failing = &*id == "bad";
        bad += u32::from(failing);
        let outcome = if failing {
            AttemptOutcome::Bad
        } else {
            AttemptOutcome::Good
        };
        dispatcher.finish_attempt(now, &id, outcome);
    }
    assert!(bad < 30, "{bad} of 200 went to the failing upstream");
}

/// A new request is rejected during an outage, with a Retry-After late enough for one
/// retry to succeed. The retry waits for the group.
#[test]
fn callers_retry_once_during_an_outage() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas = [replica("u0", 12)];
    dispatcher.set_engine(Some(&engine()));
    dispatcher.set_upstreams(replicas.iter());
    dispatcher.record_status(ms(0), "u0", 1, false, 1.0);
    let verdict = submit_and_decide(&mut dispatcher, ms(10), 1, stream(10));
    let Some(Verdict::Reject(Rejection {
        reason,
        retry_after,
    })) = verdict
    else {
        panic!("{verdict:?}");
    };
    assert_eq!(reason, RejectReason::Unavailable);
    assert!(
        retry_after >= ms(2_000) && retry_after <= ms(2_667),
        "{retry_after:?}"
    );
    let retry = PlacementRequest {
        queued_at: ms(2_500),
        target: ms(410),
        place_by: ms(4_100),
        ..stream(10)
    };
    // The agent keeps reporting the outage.
    dispatcher.record_status(ms(2_400), "u0", 1, false, 1.0);
    assert_eq!(
        submit_and_decide(&mut dispatcher, ms(2_500), 2, retry),
        None
    );
    dispatcher.record_status(ms(2_600), "u0", 1, true, 1.0);
    let verdicts = dispatcher.process_queue(ms(2_600));
    assert_eq!(verdicts, [(2, Verdict::Send("u0".into()))]);
}

/// Requests that can be on time go before late ones, and within each the more urgent go
/// first.
#[test]
fn requests_that_can_be_on_time_go_first() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    dispatcher.set_upstreams([replica("u0", 1)].iter());
    for ticket in 1..=2 {
        assert!(submit_and_decide(&mut dispatcher, ms(0), ticket, plain_request(0)).is_some());
    }
    let late = PlacementRequest {
        target: ms(1),
        ..plain_request(2)
    };
    let urgent = PlacementRequest {
        priority: 0,
        ..plain_request(2)
    };
    for (ticket, request) in [(3, late), (4, plain_request(2)), (5, urgent)] {
        assert_eq!(
            submit_and_decide(&mut dispatcher, ms(2), ticket, request),
            None
        );
    }
    let mut order = Vec::new();
    for _ in 0..3 {
        dispatcher.finish_attempt(ms(3), "u0", AttemptOutcome::Good);
        order.extend(
            dispatcher
                .process_queue(ms(3))
                .into_iter()
                .map(|(ticket, _)| ticket),
        );
    }
    assert_eq!(order, [5, 4, 3]);
}

/// An upstream removed from the list gets no new requests, and is forgotten once its last
/// one has ended.
#[test]
fn a_removed_upstream_finishes_its_requests() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    dispatcher.set_upstreams([replica("u0", 6)].iter());
    assert!(submit_and_decide(&mut dispatcher, ms(0), 1, plain_request(0)).is_some());
    dispatcher.set_upstreams([].iter());
    assert!(matches!(
        submit_and_decide(&mut dispatcher, ms(1), 2, plain_request(1)),
        Some(Verdict::Reject(_))
    ));
    dispatcher.finish_attempt(ms(2), "u0", AttemptOutcome::Good);
    dispatcher.set_upstreams([].iter());
    assert_eq!(dispatcher.upstream_ids().count(), 0);
}

/// Guards against requests that try every rank of a group that isn't formed yet after a
/// full restart. One rank without load that rejects a request opens the circuit of the
/// whole group, and the other group gets the requests.
#[test]
fn a_rejection_by_one_rank_opens_the_circuit_of_its_group() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas: Vec<_> = (0..4).map(|n| replica(&format!("u{n}"), 12)).collect();
    dispatcher.set_engine(Some(&engine()));
    dispatcher.set_upstreams(replicas.iter());
    for (number, group) in [(0, 1), (1, 1), (2, 2), (3, 2)] {
        dispatcher.record_status(ms(0), &format!("u{number}"), group, true, 1.0);
    }
    dispatcher.submit(ms(1), 1, stream(1));
    let placed = dispatcher.process_queue(ms(1));
    let Some((_, Verdict::Send(first))) = placed.into_iter().next() else {
        panic!("it is placed");
    };
    dispatcher.finish_attempt(ms(2), &first, AttemptOutcome::Full);
    let group = |id: &str| if ["u0", "u1"].contains(&id) { 1 } else { 2 };
    for ticket in 2..8 {
        let verdict = submit_and_decide(&mut dispatcher, ms(3), ticket, stream(3));
        let Some(Verdict::Send(id)) = verdict else {
            panic!("{verdict:?}");
        };
        assert_ne!(group(&id), group(&first));
    }
    assert!(matches!(
        submit_and_decide(&mut dispatcher, ms(500), 9, stream(500)),
        Some(Verdict::Send(_))
    ));
}
