//! Groups whose agents don't all report alike.

use verbenaspool_policy::dispatch::{Dispatcher, RejectReason, Verdict};

use crate::world::{engine, ms, replica, stream};

/// An entry before two groups of four ranks, whose agents have all reported at the start.
fn entry() -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas: Vec<_> = (0..8).map(|n| replica(&format!("u{n}"), 12)).collect();
    dispatcher.set_engine(Some(&engine()));
    dispatcher.set_upstreams(replicas.iter());
    for rank in 0..8 {
        report(&mut dispatcher, 0, rank, true);
    }
    dispatcher
}

/// The agent beside a rank reports whether its group runs.
fn report(dispatcher: &mut Dispatcher, now: u64, rank: u32, open: bool) {
    dispatcher.record_status(ms(now), &format!("u{rank}"), 1 + rank / 4, open, 1.0);
}

/// Where requests go that come now.
fn submit_requests(dispatcher: &mut Dispatcher, now: u64) -> Vec<Verdict> {
    for ticket in 0..12 {
        dispatcher.submit(ms(now), ticket, stream(now));
    }
    let verdicts = dispatcher.process_queue(ms(now)).into_iter();
    verdicts.map(|(_, verdict)| verdict).collect()
}

/// Guards against requests that wait at a frozen rank until their callers leave, as it alone
/// doesn't report that its group has stopped.
#[test]
fn a_silent_rank_of_a_stopped_group_gets_no_requests() {
    let mut dispatcher = entry();
    for rank in 0..3 {
        report(&mut dispatcher, 1_000, rank, false);
    }
    for verdict in submit_requests(&mut dispatcher, 1_010) {
        let Verdict::Send(id) = verdict else {
            panic!("the other group takes requests");
        };
        assert!(!["u0", "u1", "u2", "u3"].contains(&&*id), "{id}");
    }
    for rank in 4..8 {
        report(&mut dispatcher, 1_100, rank, false);
    }
    for verdict in submit_requests(&mut dispatcher, 1_110) {
        assert!(
            matches!(verdict, Verdict::Reject(rejection) if rejection.reason == RejectReason::Unavailable),
            "{verdict:?}"
        );
    }
    for rank in 0..3 {
        report(&mut dispatcher, 1_200, rank, true);
    }
    assert!(matches!(
        submit_requests(&mut dispatcher, 1_210)[0],
        Verdict::Send(_)
    ));
}

/// Guards against an agent that alone keeps the requests of a whole group away.
#[test]
fn a_single_contradicting_report_doesnt_stop_a_group() {
    let mut dispatcher = entry();
    report(&mut dispatcher, 100, 0, false);
    let group = ["u1", "u2", "u3"];
    let verdicts = submit_requests(&mut dispatcher, 110).into_iter();
    let used = verdicts.filter(|verdict| match verdict {
        Verdict::Send(id) => group.contains(&&**id),
        Verdict::Reject(_) => false,
    });
    assert!(used.count() > 0);
}
