//! Streams before engines that are asked for more than they can do.

use std::time::Duration;

use verbenaspool_policy::dispatch::{
    AttemptOutcome, Dispatcher, PlacementRequest, RejectReason, Rejection, Verdict,
};

use crate::world::{Served, World, engine, ms, replica, stream};

/// Callers of saturated engines see their streams stutter: each engine took all it
/// had slots for, and every pass came later than the longest pause in time. With
/// the bound on streams nearly all that are let in are in time, and the others
/// are told at once to come back.
#[test]
fn saturated_engines_serve_in_time_what_they_take() {
    let mut world = World::new(4, 8);
    world.pace = 2.5;
    world.load(&[15.0, 15.0, 15.0, 15.0], 20_000);
    let Served {
        in_time,
        late,
        refused,
    } = world.served;
    assert!(in_time > 200, "{:?} most {}", world.served, world.most);
    assert!(late * 10 < in_time, "{late} late beside {in_time} in time");
    assert!(refused > 100, "{refused} refused");
}

/// Most callers come to one entry. It gets the room that the others leave.
#[test]
fn one_entry_gets_the_room_that_others_leave() {
    let mut even = World::new(4, 8);
    even.load(&[9.0; 4], 15_000);
    let mut uneven = World::new(4, 8);
    uneven.load(&[33.0, 1.0, 1.0, 1.0], 15_000);
    let (even, uneven) = (even.served.in_time, uneven.served.in_time);
    assert!(uneven * 10 >= even * 9, "{uneven} in time, evenly {even}");
}

/// Entries that can't hear each other each think that they are alone. Upstreams
/// take no more than their slots then, and most callers are still served.
#[test]
fn entries_that_cant_hear_each_other_still_serve() {
    let mut world = World::new(4, 8);
    world.heard = false;
    world.load(&[9.0; 4], 15_000);
    let Served {
        in_time,
        late,
        refused,
    } = world.served;
    assert!((in_time + late) * 10 > refused * 90, "{:?}", world.served);
}

/// Demand doubles within a moment and goes back: what waits is small, and what
/// comes after the burst is served in time again within two seconds.
#[test]
fn a_burst_leaves_nothing_behind() {
    let mut world = World::new(4, 8);
    world.load(&[7.0; 4], 5_000);
    world.load(&[28.0; 4], 3_000);
    world.load(&[7.0; 4], 2_000);
    let before = world.served;
    world.load(&[7.0; 4], 5_000);
    let refused = world.served.refused - before.refused;
    assert!(refused <= 3, "{refused} refused after the burst");
}

/// Popularity of experts shifts, and passes take twice as long: new streams are
/// held back within a second, before all streams are late for good.
#[test]
fn slower_passes_let_fewer_streams_in() {
    let mut world = World::new(2, 8);
    world.load(&[16.0; 2], 6_000);
    world.pace = 2.2;
    world.load(&[16.0; 2], 4_000);
    let before = world.served;
    world.load(&[16.0; 2], 8_000);
    let late = world.served.late - before.late;
    let in_time = world.served.in_time - before.in_time;
    assert!(late * 3 < in_time, "{late} late, {in_time} in time");
}

fn place(
    dispatcher: &mut Dispatcher,
    now: Duration,
    ticket: u64,
    ask: PlacementRequest,
) -> Option<Verdict> {
    dispatcher.submit(now, ticket, ask);
    let verdicts = dispatcher.process_queue(now);
    verdicts
        .into_iter()
        .find(|(t, _)| *t == ticket)
        .map(|(_, v)| v)
}

/// A plain request of the service.
fn plain(now: u64) -> PlacementRequest {
    PlacementRequest {
        max_gap: None,
        ..stream(now)
    }
}

/// An upstream that fails everything at once always looks idle; it must not get
/// everything.
#[test]
fn a_failing_upstream_is_left_alone() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas = [replica("bad", 6), replica("good", 6)];
    dispatcher.set_upstreams(replicas.iter());
    let mut bad = 0;
    for ticket in 0..200 {
        let now = ms(10 * ticket);
        let verdict = place(&mut dispatcher, now, ticket, plain(10 * ticket));
        let Some(Verdict::Send(id)) = verdict else {
            panic!("{verdict:?}");
        };
        let failing = &*id == "bad";
        bad += u32::from(failing);
        let ending = if failing {
            AttemptOutcome::Bad
        } else {
            AttemptOutcome::Good
        };
        dispatcher.finish_attempt(now, &id, ending);
    }
    assert!(bad < 30, "{bad} of 200 went to the failing upstream");
}

/// A customer's request comes while no group runs: it is refused at once, to come
/// back late enough; one that came back waits for the group.
#[test]
fn while_nothing_runs_callers_come_back_once() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas = [replica("u0", 12)];
    dispatcher.set_engine(Some(&engine()));
    dispatcher.set_upstreams(replicas.iter());
    dispatcher.record_status(ms(0), "u0", 1, false, 1.0);
    let verdict = place(&mut dispatcher, ms(10), 1, stream(10));
    let Some(Verdict::Reject(Rejection {
        reason,
        retry_after: after,
    })) = verdict
    else {
        panic!("{verdict:?}");
    };
    assert_eq!(reason, RejectReason::Unavailable);
    assert!(after >= ms(2_000) && after <= ms(2_667), "{after:?}");
    let back = PlacementRequest {
        queued_at: ms(2_500),
        target: ms(410),
        place_by: ms(4_100),
        ..stream(10)
    };
    // Its agent goes on saying so.
    dispatcher.record_status(ms(2_400), "u0", 1, false, 1.0);
    assert_eq!(place(&mut dispatcher, ms(2_500), 2, back), None);
    dispatcher.record_status(ms(2_600), "u0", 1, true, 1.0);
    let verdicts = dispatcher.process_queue(ms(2_600));
    assert_eq!(verdicts, [(2, Verdict::Send("u0".into()))]);
}

/// What can still be in time goes before what can't, and the more urgent first.
#[test]
fn who_can_still_be_in_time_goes_first() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    dispatcher.set_upstreams([replica("u0", 1)].iter());
    for ticket in 1..=2 {
        assert!(place(&mut dispatcher, ms(0), ticket, plain(0)).is_some());
    }
    let late = PlacementRequest {
        target: ms(1),
        ..plain(2)
    };
    let urgent = PlacementRequest {
        priority: 0,
        ..plain(2)
    };
    for (ticket, ask) in [(3, late), (4, plain(2)), (5, urgent)] {
        assert_eq!(place(&mut dispatcher, ms(2), ticket, ask), None);
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

/// An upstream that is taken off the list while it still works for callers takes
/// nothing new, and is forgotten when it is done.
#[test]
fn a_leaving_upstream_ends_what_it_has() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    dispatcher.set_upstreams([replica("u0", 6)].iter());
    assert!(place(&mut dispatcher, ms(0), 1, plain(0)).is_some());
    dispatcher.set_upstreams([].iter());
    assert!(matches!(
        place(&mut dispatcher, ms(1), 2, plain(1)),
        Some(Verdict::Reject(_))
    ));
    dispatcher.finish_attempt(ms(2), "u0", AttemptOutcome::Good);
    dispatcher.set_upstreams([].iter());
    assert_eq!(dispatcher.upstream_ids().count(), 0);
}

/// All processes are started again, and requests come before the groups have
/// formed. One rank turns a request away though it has nothing to do; the others
/// of its group aren't tried, and the other group serves.
#[test]
fn a_group_that_turns_away_is_left_alone_as_a_whole() {
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
        let verdict = place(&mut dispatcher, ms(3), ticket, stream(3));
        let Some(Verdict::Send(id)) = verdict else {
            panic!("{verdict:?}");
        };
        assert_ne!(group(&id), group(&first));
    }
    assert!(matches!(
        place(&mut dispatcher, ms(500), 9, stream(500)),
        Some(Verdict::Send(_))
    ));
}
