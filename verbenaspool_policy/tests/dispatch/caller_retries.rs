//! Retries by callers: how they are detected, how long they wait, and the capacity that
//! they leave to other requests.

use std::time::Duration;

use verbenaspool_policy::dispatch::{
    Dispatcher, PlacementRequest, RejectReason, Rejection, Resumption, Verdict,
    retry_detection::Detector, service_time::ServiceTime,
};

use crate::simulation::{engine, ms, replica, stream};

/// Records first attempts whose waits are evenly spread from 6.8 to 8 s.
fn observe_first_attempts(detector: &mut Detector, from: u64, count: u64) {
    for number in 0..count {
        let wait = ms(6_800 + (number * 379) % 1_200);
        assert_eq!(
            detector.observe(ms(from + number * 20), wait),
            Duration::ZERO
        );
    }
}

/// Guards against retries taken for first attempts. Rejected callers that retried with 4.5
/// to 5.5 s left were rejected again although their group was about to return.
#[test]
fn retries_are_detected_by_their_remaining_wait() {
    let mut detector = Detector::default();
    observe_first_attempts(&mut detector, 0, 200);
    detector.record_rejection(ms(4_000), ms(2_500));
    for left in [4_500, 5_000, 5_500] {
        let spent = detector.observe(ms(6_500), ms(left));
        assert!(spent > ms(800), "{left} ms left, {spent:?} spent");
    }
    assert_eq!(detector.observe(ms(6_500), ms(7_000)), Duration::ZERO);
}

/// Guards against first attempts taken for retries where callers have different waits, 3 s
/// and 15 s here.
#[test]
fn first_attempts_may_have_different_waits() {
    let mut detector = Detector::default();
    for number in 0..100 {
        let wait = if number % 4 == 0 { 3_000 } else { 15_000 };
        assert_eq!(detector.observe(ms(number * 20), ms(wait)), Duration::ZERO);
    }
    detector.record_rejection(ms(2_000), ms(1_000));
    assert!(detector.observe(ms(2_500), ms(10_000)) > ms(4_000));
    assert!(detector.observe(ms(2_500), ms(2_000)) > ms(800));
    assert_eq!(detector.observe(ms(2_500), ms(3_000)), Duration::ZERO);
}

/// Guards against retries that become common initial waits. During a long outage nearly
/// all requests are retries.
#[test]
fn retries_dont_become_common_waits() {
    let mut detector = Detector::default();
    observe_first_attempts(&mut detector, 0, 100);
    for number in 0..400 {
        let now = ms(2_000 + number * 20);
        detector.record_rejection(now, ms(2_500));
        detector.observe(now, ms(5_000));
    }
    assert!(detector.observe(ms(11_000), ms(5_000)) > ms(800));
}

/// Guards against an entry that starts during an outage and takes retries for first
/// attempts.
#[test]
fn a_starting_entry_detects_retries_by_hints_of_its_peers() {
    let mut peer = Detector::default();
    observe_first_attempts(&mut peer, 0, 200);
    let mut starting = Detector::default();
    assert_eq!(
        starting.observe(ms(0), ms(5_000)),
        Duration::ZERO,
        "no waits are known"
    );
    starting.set_hints(peer.common_waits());
    assert!(starting.observe(ms(10), ms(5_000)) > ms(1_500));
    assert_eq!(starting.observe(ms(20), ms(7_500)), Duration::ZERO);
}

/// Guards against hints with waits that no caller has, and against more hints than a
/// digest may contain.
#[test]
fn implausible_hints_are_ignored() {
    let mut detector = Detector::default();
    detector.set_hints([Duration::ZERO, Duration::MAX].into_iter());
    assert_eq!(detector.observe(ms(0), ms(5_000)), Duration::ZERO);
    detector.set_hints((1..1_000).map(|number| ms(number * 1_000)));
    assert_eq!(detector.observe(ms(10), ms(100_000)), Duration::ZERO);
}

/// Guards against fixed waits and retry times, which only fit callers with 8 s and answers
/// of 2 s. No request waits so long that its answer can't end in time, and Retry-After is
/// at most a third of the time that the caller has left.
#[test]
fn waits_and_retry_times_follow_the_remaining_time() {
    for (left, service_ms) in [(1_500, 15), (3_000, 500), (8_000, 2_000), (15_000, 2_000)] {
        let mut service_time = ServiceTime::default();
        service_time.record(ms(service_ms));
        let (left, answer_time) = (ms(left), ms(service_ms));
        let wait = service_time.max_wait(left);
        assert!(wait + answer_time < left, "{wait:?} of {left:?}");
        for [soonest, latest] in [
            service_time.retry_after_full(left),
            service_time.retry_after_outage(left),
        ] {
            assert!(
                soonest < latest && latest <= left / 3,
                "{left:?}: {latest:?}"
            );
        }
        assert!(service_time.retry_after_outage(left)[0] > left / 4);
    }
    let mut service_time = ServiceTime::default();
    service_time.record(ms(2_000));
    assert_eq!(service_time.max_wait(ms(2_000)), Duration::ZERO);
}

/// A dispatcher with `count` ranks of one group, and a service time of 2 s.
fn group(count: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas: Vec<_> = (0..count).map(|n| replica(&format!("u{n}"), 12)).collect();
    dispatcher.set_engine(Some(&engine()));
    dispatcher.set_upstreams(replicas.iter());
    dispatcher.record_service_time(ms(2_000));
    dispatcher
}

/// Reports whether the group runs.
fn report_status(dispatcher: &mut Dispatcher, now: u64, count: u32, running: bool) {
    for number in 0..count {
        dispatcher.record_status(ms(now), &format!("u{number}"), 7, running, 1.0);
    }
}

/// A retry whose caller has `left` milliseconds left.
fn retry(now: u64, left: u64) -> PlacementRequest {
    PlacementRequest {
        target: ms(now.saturating_sub(1)),
        deadline: ms(now + left),
        place_by: ms(now + 1_200),
        ..stream(now)
    }
}

/// Guards against retries that are rejected shortly before their group returns. Those
/// whose callers have enough time left wait for it; the others are rejected immediately.
#[test]
fn retries_wait_for_the_group() {
    for (left, placed) in [(1_000, false), (5_300, true), (10_000, true)] {
        let mut dispatcher = group(4);
        report_status(&mut dispatcher, 2_000, 4, false);
        dispatcher.submit(ms(2_100), 1, retry(2_100, left));
        let verdicts = dispatcher.process_queue(ms(2_110));
        assert_eq!(verdicts.is_empty(), placed, "{left} ms left: {verdicts:?}");
        if placed {
            report_status(&mut dispatcher, 3_000, 4, true);
            let verdicts = dispatcher.process_queue(ms(3_001));
            assert!(
                matches!(verdicts[..], [(1, Verdict::Send(_))]),
                "{verdicts:?}"
            );
        }
    }
}

/// Guards against retries that wait in the queue until their callers leave, in an outage
/// that is longer than their wait.
#[test]
fn retries_are_rejected_before_their_callers_leave() {
    let mut dispatcher = group(4);
    report_status(&mut dispatcher, 2_000, 4, false);
    dispatcher.submit(ms(2_100), 1, retry(2_100, 5_300));
    assert_eq!(dispatcher.process_queue(ms(3_200)), []);
    report_status(&mut dispatcher, 3_250, 4, false);
    let verdicts = dispatcher.process_queue(ms(3_301));
    let [(1, Verdict::Reject(Rejection { reason, .. }))] = verdicts[..] else {
        panic!("{verdicts:?}");
    };
    assert_eq!(reason, RejectReason::Unavailable);
}

/// Guards against retries that take all slots as a group returns, while its passes are at
/// their longest.
#[test]
fn queued_retries_leave_capacity_when_a_group_returns() {
    let mut dispatcher = group(4);
    report_status(&mut dispatcher, 2_000, 4, false);
    for ticket in 0..100 {
        dispatcher.submit(ms(2_100), ticket, retry(2_100, 5_300));
    }
    assert_eq!(dispatcher.process_queue(ms(2_200)), []);
    report_status(&mut dispatcher, 2_300, 4, true);
    let sent = |verdicts: &[(u64, Verdict)]| {
        let sent = verdicts
            .iter()
            .filter(|(_, v)| matches!(v, Verdict::Send(_)));
        sent.count()
    };
    let placed = sent(&dispatcher.process_queue(ms(2_301)));
    assert!((1..=4 * 12 / 2).contains(&placed), "{placed}");
    // Requests that can be on time are still placed, as far as the pass time allows.
    for ticket in 200..204 {
        dispatcher.submit(ms(2_302), ticket, stream(2_302));
    }
    assert_eq!(sent(&dispatcher.process_queue(ms(2_303))), 4);
    // Once passes are known to be short, more retries are placed, as far as there are
    // slots.
    dispatcher.record_pause(ms(2_400), "u0", engine().pass_time(3.0));
    let later = sent(&dispatcher.process_queue(ms(2_401)));
    assert!(placed + 4 + later > 4 * 12 / 2, "{placed}, {later}");
    // The remaining retries are rejected before their callers leave.
    let verdicts = dispatcher.process_queue(ms(3_301));
    assert_eq!(verdicts.len(), 100 - placed - later);
}

/// Guards against a stream that can't leave a slow rank while more than half of the slots
/// are taken, and so delays the streams of all ranks. It isn't limited like late requests.
#[test]
fn a_moved_stream_may_use_more_than_half_of_the_slots() {
    let mut dispatcher = group(2);
    report_status(&mut dispatcher, 0, 2, true);
    dispatcher.record_pause(ms(1), "u0", engine().pass_time(0.0));
    for ticket in 0..14 {
        dispatcher.submit(ms(1), ticket, stream(1));
    }
    assert_eq!(dispatcher.process_queue(ms(2)).len(), 14);
    let late = retry(10, 5_000);
    let moved = PlacementRequest {
        resumption: Resumption::Moved,
        ..late.clone()
    };
    dispatcher.submit(ms(10), 20, late);
    dispatcher.submit(ms(10), 21, moved);
    let verdicts = dispatcher.process_queue(ms(11));
    assert!(
        matches!(verdicts[..], [(21, Verdict::Send(_))]),
        "{verdicts:?}"
    );
}
