//! The attempt ledger reports true statuses under any order of events and within its
//! limits.

use std::{collections::HashSet, time::Duration};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use verbenaspool_coordination::attempt::{Ending, Key, Ledger, Limits, Rejection, Status};

/// Limits so small that records are dropped all the time.
const SMALL_LIMITS: Limits = Limits {
    max_running: 4,
    max_closed: 3,
    entry_expiry: Duration::from_mins(1),
};

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive(Key),
    Finish(Key, Ending),
    Settle(Key),
    Wait(u64),
    Leave,
}

fn key() -> impl Strategy<Value = Key> {
    (1..4_u64, 1..16_u64).prop_map(|(entry, counter)| Key { entry, counter })
}

fn event() -> impl Strategy<Value = Event> {
    let ending = prop_oneof![
        Just(Ending::Ran),
        Just(Ending::NotRun),
        Just(Ending::Broken)
    ];
    prop_oneof![
        8 => key().prop_map(Event::Arrive),
        8 => (key(), ending).prop_map(|(key, ending)| Event::Finish(key, ending)),
        8 => key().prop_map(Event::Settle),
        2 => (0..30_u64).prop_map(Event::Wait),
        1 => Just(Event::Leave),
    ]
}

/// What an observer knows of the attempts.
#[derive(Debug, Default)]
struct Observed {
    arrived: HashSet<Key>,
    admitted: HashSet<Key>,
    /// Admitted, and possibly run by the upstream.
    ran: HashSet<Key>,
    /// Guaranteed never to run.
    promised: HashSet<Key>,
}

/// Applies an event and checks the ledger's response against the observations.
fn apply_event(ledger: &mut Ledger, observed: &mut Observed, now: Duration, event: Event) {
    match event {
        // An entry sends an attempt only once, so it arrives at most once.
        Event::Arrive(key) if observed.arrived.insert(key) => match ledger.admit(key, now) {
            Ok(()) => {
                assert!(!observed.promised.contains(&key), "{key:?} ran after all");
                observed.admitted.insert(key);
                observed.ran.insert(key);
            }
            Err(Rejection::Repeated) => {}
            Err(_) => assert!(!observed.ran.contains(&key), "{key:?} had run"),
        },
        Event::Arrive(_) | Event::Wait(_) => {}
        Event::Finish(key, ending) => {
            let running = ledger.running();
            ledger.finish(key, ending);
            if ledger.running() < running && ending == Ending::NotRun {
                observed.ran.remove(&key);
            }
        }
        Event::Settle(key) => match ledger.settle(key, now) {
            Status::Rejected => {
                assert!(!observed.ran.contains(&key), "{key:?} had run");
                observed.promised.insert(key);
            }
            Status::Running | Status::Ended => assert!(observed.admitted.contains(&key)),
            Status::Unknown => {}
        },
        Event::Leave => ledger.leave(),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn statuses_stay_true(events in prop::collection::vec(event(), 1..120)) {
        let mut ledger = Ledger::new(SMALL_LIMITS);
        let mut observed = Observed::default();
        let mut now = Duration::ZERO;
        for event in events {
            if let Event::Wait(seconds) = event {
                now += Duration::from_secs(seconds);
            }
            // No copy of an attempt is in flight longer than `entry_expiry`, so nothing
            // arrives after it.
            if now >= SMALL_LIMITS.entry_expiry {
                break;
            }
            apply_event(&mut ledger, &mut observed, now, event);
            prop_assert!(ledger.running() <= SMALL_LIMITS.max_running);
            prop_assert!(ledger.records() <= SMALL_LIMITS.max_running + SMALL_LIMITS.max_closed);
        }
    }
}

#[test]
fn status_after_the_record_is_dropped() {
    // Guards against a duplicate charge: if the ledger reported an ended attempt
    // without a record as "rejected", the caller would repeat the booking.
    let key = |counter| Key { entry: 1, counter };
    let now = Duration::ZERO;
    let table = [
        (
            "ended",
            Some(Ending::Ran),
            Status::Unknown,
            Rejection::Repeated,
        ),
        (
            "broken",
            Some(Ending::Broken),
            Status::Unknown,
            Rejection::Repeated,
        ),
        (
            "not sent",
            Some(Ending::NotRun),
            Status::Rejected,
            Rejection::Tombstone,
        ),
        ("settled", None, Status::Rejected, Rejection::Tombstone),
    ];
    for (name, ending, status, rejection) in table {
        let mut ledger = Ledger::new(SMALL_LIMITS);
        match ending {
            Some(ending) => {
                ledger.admit(key(1), now).unwrap();
                ledger.finish(key(1), ending);
            }
            None => assert_eq!(ledger.settle(key(1), now), Status::Rejected),
        }
        for later in 2..6 {
            ledger.settle(key(later), now);
        }
        assert_eq!(ledger.records(), SMALL_LIMITS.max_closed, "{name}");
        assert_eq!(ledger.settle(key(1), now), status, "{name}");
        assert_eq!(ledger.admit(key(1), now), Err(rejection), "{name}");
    }
}

#[test]
fn silent_entries_expire() {
    let mut ledger = Ledger::new(SMALL_LIMITS);
    let old = Key {
        entry: 1,
        counter: 1,
    };
    ledger.admit(old, Duration::ZERO).unwrap();
    ledger.finish(old, Ending::Ran);
    // Later attempts of another entry displace the record; only the counters remain.
    for counter in 1..5 {
        ledger.settle(Key { entry: 2, counter }, Duration::ZERO);
    }
    assert_eq!(ledger.entries(), 2);
    ledger.settle(
        Key {
            entry: 3,
            counter: 1,
        },
        SMALL_LIMITS.entry_expiry,
    );
    assert_eq!(ledger.entries(), 2);
}
