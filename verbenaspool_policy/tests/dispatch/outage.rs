//! Recovery of a service from an outage, with requests queued at every entry.

use std::time::Duration;

use verbenaspool_policy::dispatch::{Dispatcher, PlacementRequest, Verdict};
use verbenaspool_state::engine::Engine;

use crate::simulation::{engine, ms, replica, stream};

/// The longest time between two events that is still on time.
const MAX_GAP: Duration = Duration::from_millis(150);

/// The pace that entries assume for a group that has just formed.
const INITIAL_PACE: f64 = 2.5;

/// An engine whose pass time strongly depends on its number of streams.
fn load_sensitive_engine() -> Engine {
    Engine {
        slots: 10,
        steps_per_pass: 5,
        step_time: Duration::from_micros(4_550),
        step_time_per_request: Duration::from_micros(1_090),
        ..engine()
    }
}

/// `count` entries and one group of `ranks`, which is reported to be down.
fn entries(count: u32, ranks: u32) -> Vec<Dispatcher> {
    let replicas: Vec<_> = (0..ranks).map(|n| replica(&format!("u{n}"), 10)).collect();
    let entry = |number: u32| {
        let mut entry = Dispatcher::new("a".into(), u64::from(number) + 1);
        entry.set_engine(Some(&load_sensitive_engine()));
        entry.set_upstreams(replicas.iter());
        entry.update_entry_count(ms(0), count);
        report(&mut entry, 10_000, ranks, false);
        entry
    };
    (0..count).map(entry).collect()
}

/// Reports for all ranks that they have no requests, and whether their group runs.
fn report(entry: &mut Dispatcher, now: u64, ranks: u32, running: bool) {
    for number in 0..ranks {
        let id = format!("u{number}");
        entry.record_load(ms(now), &id, now, 0);
        entry.record_status(ms(now), &id, 7, running, 1.0);
    }
}

/// The retry of a rejected caller.
fn retry(now: u64) -> PlacementRequest {
    PlacementRequest {
        target: ms(now - 2_000),
        deadline: ms(now + 5_500),
        place_by: ms(now + 1_500),
        max_gap: Some(MAX_GAP),
        ..stream(now)
    }
}

/// The number of requests that are sent.
fn sent_count(verdicts: &[(u64, Verdict)]) -> u32 {
    let sent = verdicts.iter();
    let sent = sent.filter(|(_, verdict)| matches!(verdict, Verdict::Send(_)));
    u32::try_from(sent.count()).expect("few")
}

/// Guards against entries that each place their whole backlog as a group returns, which
/// makes all of its streams late, and the next ones as well.
#[test]
fn backlogs_of_all_entries_together_fit_in_passes_on_time() {
    for (count, ranks) in [(4, 32), (15, 64), (60, 192)] {
        let mut placed = 0;
        for entry in &mut entries(count, ranks) {
            entry.record_service_time(ms(2_000));
            for ticket in 0..60 {
                entry.submit(ms(10_100), ticket, retry(10_100));
            }
            assert_eq!(entry.process_queue(ms(10_110)), []);
            report(entry, 10_500, ranks, true);
            placed += sent_count(&entry.process_queue(ms(10_501)));
        }
        let mean = f64::from(placed) / f64::from(ranks);
        let pass = load_sensitive_engine()
            .pass_time(mean)
            .mul_f64(INITIAL_PACE);
        assert!(placed > 0, "{count} entries, {ranks} ranks");
        assert!(
            pass <= MAX_GAP,
            "{count} entries, {ranks} ranks: {pass:?}, {placed}"
        );
    }
}

/// Guards against retries that take the capacity of requests that could still be on time.
#[test]
fn retries_wait_while_new_requests_are_rejected() {
    let entry = &mut entries(1, 4)[0];
    entry.record_service_time(ms(2_000));
    entry.submit(ms(10_050), 1, stream(10_050));
    assert!(matches!(
        entry.process_queue(ms(10_051))[..],
        [(1, Verdict::Reject(_))]
    ));
    entry.submit(ms(10_060), 2, retry(10_060));
    report(entry, 10_100, 4, true);
    assert_eq!(
        entry.process_queue(ms(10_101)),
        [],
        "a request was rejected just before"
    );
    entry.submit(ms(10_110), 3, stream(10_110));
    let verdicts = entry.process_queue(ms(10_111));
    assert!(
        matches!(verdicts[..], [(3, Verdict::Send(_))]),
        "{verdicts:?}"
    );
    let verdicts = entry.process_queue(ms(11_200));
    assert!(
        matches!(verdicts[..], [(2, Verdict::Send(_))]),
        "{verdicts:?}"
    );
}

/// Guards against an entry that has just started, knows no service time, and considers the
/// recovery complete while passes are still at their longest.
#[test]
fn an_entry_without_history_holds_back_retries() {
    let entry = &mut entries(1, 4)[0];
    entry.submit(ms(10_050), 1, stream(10_050));
    assert!(matches!(
        entry.process_queue(ms(10_051))[..],
        [(1, Verdict::Reject(_))]
    ));
    report(entry, 10_100, 4, true);
    assert_eq!(entry.process_queue(ms(10_101)), []);
    entry.submit(ms(10_690), 2, retry(10_690));
    assert_eq!(
        entry.process_queue(ms(10_700)),
        [],
        "a request was rejected just before"
    );
}

/// Guards against an outage that ends while the queue is empty and appears to end with the
/// next request, which then finds hardly any capacity.
#[test]
fn an_outage_ends_when_upstreams_run_with_an_empty_queue() {
    let entry = &mut entries(60, 4)[0];
    entry.submit(ms(10_050), 100, stream(10_050));
    assert_eq!(
        entry.process_queue(ms(10_051)).len(),
        1,
        "the request is rejected"
    );
    report(entry, 10_500, 4, true);
    entry.update_entry_count(ms(10_510), 60);
    for ticket in 0..8 {
        entry.submit(ms(20_000), ticket, stream(20_000));
    }
    assert_eq!(sent_count(&entry.process_queue(ms(20_001))), 8);
}
