//! Upstreams that want no requests for a time that they name in a rejection.

use std::rc::Rc;

use verbenaspool_policy::dispatch::{AttemptOutcome, Dispatcher, RejectReason, Verdict};

use crate::simulation::{engine, ms, replica, stream};

/// An entry in front of these upstreams.
fn entry(upstreams: &[&str]) -> Dispatcher {
    let mut entry = Dispatcher::new("a".into(), 1);
    entry.set_engine(Some(&engine()));
    let replicas: Vec<_> = upstreams.iter().map(|id| replica(id, 12)).collect();
    entry.set_upstreams(replicas.iter());
    entry
}

/// The verdict on a request that is decided at once, and whose answer ends at once.
fn decide(entry: &mut Dispatcher, now: u64) -> Option<Verdict> {
    entry.submit(ms(now), now, stream(now));
    let verdicts = entry.process_queue(ms(now));
    entry.cancel(now);
    let (_, verdict) = verdicts.into_iter().next()?;
    if let Verdict::Send(id) = &verdict {
        entry.finish_reservation(id);
        entry.finish_attempt(ms(now), id, AttemptOutcome::Good);
    }
    Some(verdict)
}

/// The times at which requests are sent to an upstream.
fn sent_times(entry: &mut Dispatcher, id: &str, from_ms: u64, until_ms: u64) -> Vec<u64> {
    let times = (from_ms..until_ms).step_by(10);
    let to_upstream = |now: &u64| decide(entry, *now) == Some(Verdict::Send(id.into()));
    times.filter(to_upstream).collect()
}

/// Guards against an upstream that gets requests before the time that it named, and against one
/// that gets none after it.
#[test]
fn an_upstream_gets_no_requests_for_as_long_as_it_named() {
    let mut entry = entry(&["u0", "u1"]);
    entry.record_backoff(ms(0), &"u0".into(), ms(3_000));
    assert_eq!(sent_times(&mut entry, "u0", 0, 3_000), [0; 0]);
    assert!(!sent_times(&mut entry, "u0", 3_000, 3_500).is_empty());
}

/// Guards against a shorter time that ends a longer one.
#[test]
fn a_shorter_backoff_leaves_a_longer_one_in_force() {
    let mut entry = entry(&["u0", "u1"]);
    entry.record_backoff(ms(0), &"u0".into(), ms(3_000));
    entry.record_backoff(ms(100), &"u0".into(), ms(500));
    assert_eq!(sent_times(&mut entry, "u0", 100, 3_000), [0; 0]);
}

/// Guards against a backoff that is forgotten with the upstream's load and health, as its entry in
/// the registry expires and returns.
#[test]
fn a_backoff_outlasts_a_new_registration() {
    let mut entry = entry(&["u0", "u1"]);
    entry.record_backoff(ms(0), &"u0".into(), ms(3_000));
    let replicas = ["u0", "u1"].map(|id| replica(id, 12));
    entry.set_upstreams(replicas[1..].iter());
    entry.set_upstreams(replicas.iter());
    assert_eq!(sent_times(&mut entry, "u0", 0, 3_000), [0; 0]);
}

/// Guards against an upstream that stays unused for as long as its predecessor under the same id
/// had asked, and against the end of a backoff that it requested itself before the registry had its
/// new entry.
#[test]
fn a_backoff_ends_as_the_upstream_starts_again_under_its_id() {
    for (started_at, ends) in [(30_000, true), (12_000, false), (9_000, false)] {
        let mut entry = entry(&["u0", "u1"]);
        entry.record_backoff(ms(10_000), &"u0".into(), ms(60_000));
        let replicas = ["u0", "u1"].map(|id| replica(id, 12));
        entry.set_upstreams(replicas.iter());
        entry.record_start(&"u0".into(), ms(started_at));
        let used = !sent_times(&mut entry, "u0", 31_000, 32_000).is_empty();
        assert_eq!(used, ends, "{started_at}");
    }
}

/// Guards against an open circuit of a group because of one rank's need, and against the end of
/// the need by a report that the group runs.
#[test]
fn a_rank_that_requests_backoff_leaves_its_group_open() {
    let mut entry = entry(&["u0", "u1", "u2"]);
    entry.record_backoff(ms(0), &"u0".into(), ms(3_000));
    entry.submit(ms(0), 1, stream(0));
    let verdicts = entry.process_queue(ms(0));
    assert!(matches!(verdicts[..], [(1, Verdict::Send(_))]));
    assert!(!entry.finish_attempt(ms(1), "u1", AttemptOutcome::Backoff));
    assert!(matches!(decide(&mut entry, 2), Some(Verdict::Send(_))));
    for running in [false, true] {
        entry.record_status(ms(10), "u0", 7, running, 1.0);
    }
    assert_eq!(sent_times(&mut entry, "u0", 20, 3_000), [0; 0]);
}

/// Guards against callers that wait until their deadlines, or are told to return too soon, while
/// all upstreams want no requests.
#[test]
fn requests_that_no_upstream_wants_in_time_are_rejected_at_once() {
    let mut entry = entry(&["u0", "u1"]);
    let ids: [Rc<str>; 2] = ["u0".into(), "u1".into()];
    entry.record_backoff(ms(0), &ids[0], ms(2_500));
    entry.record_backoff(ms(0), &ids[1], ms(2_000));
    let Some(Verdict::Reject(rejection)) = decide(&mut entry, 10) else {
        panic!("the request is rejected");
    };
    assert_eq!(rejection.reason, RejectReason::RateLimited);
    assert!(rejection.retry_after >= ms(1_990), "{rejection:?}");
    assert!(matches!(decide(&mut entry, 2_000), Some(Verdict::Send(_))));
}

/// Guards against callers that are told to return before any upstream wants requests, and against
/// callers that were rejected at different times and return at the same moment.
#[test]
fn rejected_callers_return_after_the_backoff_and_apart() {
    for backoff_ms in [2_500, 7_000] {
        let mut entry = entry(&["u0"]);
        entry.record_backoff(ms(0), &"u0".into(), ms(backoff_ms));
        let returns = (0..40).map(|number| {
            let now = number * 20;
            let Some(Verdict::Reject(rejection)) = decide(&mut entry, now) else {
                panic!("the request is rejected");
            };
            ms(now) + rejection.retry_after
        });
        let returns: Vec<_> = returns.collect();
        let (first, last) = (returns.iter().min(), returns.iter().max());
        let (first, last) = (*first.expect("one"), *last.expect("one"));
        assert!(first >= ms(backoff_ms), "{first:?}");
        assert!(last >= first + ms(150), "{first:?} to {last:?}");
        assert!(last <= first + ms(2_000), "{first:?} to {last:?}");
    }
}
