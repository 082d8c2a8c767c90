//! Limits on requests to upstreams that warm up.

use std::time::Duration;

use verbenaspool_policy::{
    dispatch::{AttemptOutcome, Dispatcher, Verdict},
    slots::Slots,
    warm_up::entry_share,
};
use verbenaspool_state::{
    engine::{Engine, Experts},
    route::WarmUp,
};

use crate::simulation::{engine, ms, replica, stream};

const LIMITS: WarmUp = WarmUp {
    duration: Duration::from_secs(3),
    max_rate: 23.0,
};

/// The most requests that an upstream bears in one second while it warms up: half more than
/// the limit, and five.
const TOLERATED: usize = 39;

/// An entry of `entries`, in front of an idle upstream that has just started.
fn entry(number: usize, entries: usize, engine: Option<&Engine>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into(), number as u64 + 1);
    dispatcher.set_engine(engine);
    dispatcher.set_warm_up(Some(LIMITS));
    dispatcher.set_sharing_entries(&format!("entry-{number}"), Some(entries));
    dispatcher.set_upstreams([replica("u0", 1_000)].iter());
    dispatcher.record_warm_up(ms(0), "u0", Some(ms(3_000)));
    dispatcher
}

/// Whether a request is sent at once. Its answer ends at once.
fn send(entry: &mut Dispatcher, now: u64) -> bool {
    entry.submit(ms(now), now, stream(now));
    let sent = entry.process_queue(ms(now));
    entry.cancel(now);
    let sent = matches!(sent.first(), Some((_, Verdict::Send(_))));
    if sent {
        entry.finish_attempt(ms(now), "u0", AttemptOutcome::Good);
    }
    sent
}

/// Guards against a zone that crashes as it is taken back because all entries send their
/// backlog to its idle upstreams at once.
#[test]
fn entries_together_keep_to_the_limit_of_an_upstream_that_warms_up() {
    for entries in [1, 4, 18, 59, 231, 1_000] {
        let mut fleet: Vec<Dispatcher> = (0..entries).map(|n| entry(n, entries, None)).collect();
        let mut sent = Vec::new();
        for now in (1..3_000).step_by(25) {
            let accepted = fleet.iter_mut().filter_map(|e| send(e, now).then_some(now));
            sent.extend(accepted);
        }
        let busiest = sent.iter().map(|at| {
            let within = |other: &&u64| **other >= *at && **other < at + 1_000;
            sent.iter().filter(within).count()
        });
        let busiest = busiest.max().unwrap_or_default();
        assert!((1..=TOLERATED).contains(&busiest), "{entries}: {busiest}");
        assert!(fleet.iter_mut().all(|entry| send(entry, 3_001)));
    }
}

/// Guards against an entry that has just started, doesn't know how many others there are, and
/// takes the whole limit.
#[test]
fn an_entry_that_may_not_know_all_others_sends_nothing_by_itself() {
    let mut entry = entry(0, 1, None);
    entry.set_sharing_entries("entry-0", None);
    assert!(!send(&mut entry, 1));
}

/// Guards against unlimited requests to a rank whose agent, which counts them, doesn't
/// answer.
#[test]
fn a_rank_that_warms_up_gets_only_requests_that_its_agent_counts() {
    let experts = Experts {
        layers: 1,
        count: 1,
        max_slots_per_rank: 1,
        max_new_per_layer: 1,
        work_share: 0.5,
        copy_time: ms(1),
    };
    let engine = Engine {
        experts: Some(experts),
        ..engine()
    };
    let mut entry = entry(0, 1, Some(&engine));
    assert!(!send(&mut entry, 1));
    entry.record_load(ms(2), "u0", 1, 0);
    assert!(send(&mut entry, 3));
    entry.record_agent_timeout(ms(4), "u0");
    assert!(!send(&mut entry, 5));
}

/// Guards against an upstream whose remaining time is missing or implausible and which counts
/// as warm, or as cold for ever.
#[test]
fn an_unknown_remaining_time_counts_as_a_start() {
    for left in [None, Some(ms(3_000)), Some(Duration::from_secs(1_000_000))] {
        let mut entry = entry(0, 1, None);
        entry.record_warm_up(ms(0), "u0", left);
        let left = entry.warm_up_left(ms(500), "u0").map(|(left, _)| left);
        assert_eq!(left, Some(ms(2_500)));
        assert_eq!(entry.warm_up_left(ms(3_000), "u0"), None);
    }
}

/// Guards against an agent that grants all slots of a rank that warms up, one after the other
/// within a second.
#[test]
fn an_agent_keeps_to_the_limit_while_its_upstream_warms_up() {
    let mut slots = Slots::default();
    slots.set_warm_up(ms(3_000), 5);
    // An entry whose registry is older knows of an earlier end.
    slots.set_warm_up(ms(1_000), 5);
    let mut granted = 0;
    for now in 0..3_000 {
        slots.report(ms(now), 0);
        granted += u32::from(slots.grant(ms(now), 10));
    }
    assert!((10..=15).contains(&granted), "{granted}");
}

/// Guards against shares that together exceed the limit, or leave most of it unused.
#[test]
fn shares_add_up_to_about_the_limit() {
    for entries in [2_usize, 5, 46, 231, 2_000] {
        for upstream in ["i-1", "i-2", "i-3"] {
            let shares =
                (0..entries).map(|n| entry_share(23.0, entries, &format!("e{n}"), upstream));
            let sum: u32 = shares.sum();
            assert!((8..=39).contains(&sum), "{entries}: {sum}");
        }
    }
}
