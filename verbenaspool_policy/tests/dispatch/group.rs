//! Groups whose agents report different states.

use verbenaspool_policy::dispatch::{Dispatcher, RejectReason, Verdict};

use crate::simulation::{engine, ms, replica, stream};

/// A dispatcher with two groups of four ranks, all of which were reported to run.
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

/// Reports whether the group of a rank runs.
fn report(dispatcher: &mut Dispatcher, now: u64, rank: u32, running: bool) {
    dispatcher.record_status(ms(now), &format!("u{rank}"), 1 + rank / 4, running, 1.0);
}

/// Submits twelve requests and returns the verdicts on them.
fn submit_requests(dispatcher: &mut Dispatcher, now: u64) -> Vec<Verdict> {
    for ticket in 0..12 {
        dispatcher.submit(ms(now), ticket, stream(now));
    }
    let verdicts = dispatcher.process_queue(ms(now)).into_iter();
    verdicts.map(|(_, verdict)| verdict).collect()
}

/// Guards against requests that wait at a frozen rank until their callers leave, because
/// its agent is the only one that doesn't report the group as stopped.
#[test]
fn a_silent_rank_of_a_stopped_group_gets_no_requests() {
    let mut dispatcher = entry();
    for rank in 0..3 {
        report(&mut dispatcher, 1_000, rank, false);
    }
    for verdict in submit_requests(&mut dispatcher, 1_010) {
        let Verdict::Send(id) = verdict else {
            panic!("the other group accepts requests");
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

/// Guards against a single wrong report that keeps requests from a whole group.
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
