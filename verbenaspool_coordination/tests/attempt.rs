//! The ledger of attempts keeps its words, in any order of events and in
//! bounded memory.

use std::{collections::HashSet, time::Duration};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use verbenaspool_coordination::attempt::{Ending, Key, Ledger, Limits, Message, Refusal};

/// So few closed attempts are remembered that floors rise all the time.
const SMALL: Limits = Limits {
    running: 4,
    closed: 3,
    silence: Duration::from_mins(1),
};

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive(Key),
    Finish(Key, Ending),
    Settle(Key),
    Pass(u64),
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
        2 => (0..30_u64).prop_map(Event::Pass),
        1 => Just(Event::Leave),
    ]
}

/// What an observer saw of the ledger.
#[derive(Debug, Default)]
struct Seen {
    arrived: HashSet<Key>,
    admitted: HashSet<Key>,
    /// Admitted, and maybe run by the upstream.
    ran: HashSet<Key>,
    /// Promised never to run.
    promised: HashSet<Key>,
}

/// Plays one event and checks every word against what was seen.
fn play(ledger: &mut Ledger, seen: &mut Seen, now: Duration, event: Event) {
    match event {
        // An entry sends an attempt once, so it arrives once.
        Event::Arrive(key) if seen.arrived.insert(key) => match ledger.admit(key, now) {
            Ok(()) => {
                assert!(!seen.promised.contains(&key), "{key:?} ran after all");
                seen.admitted.insert(key);
                seen.ran.insert(key);
            }
            Err(Refusal::Repeated) => {}
            Err(_) => assert!(!seen.ran.contains(&key), "{key:?} had run"),
        },
        Event::Arrive(_) | Event::Pass(_) => {}
        Event::Finish(key, ending) => {
            let running = ledger.running();
            ledger.finish(key, ending);
            if ledger.running() < running && ending == Ending::NotRun {
                seen.ran.remove(&key);
            }
        }
        Event::Settle(key) => match ledger.settle(key, now) {
            Message::Refused => {
                assert!(!seen.ran.contains(&key), "{key:?} had run");
                seen.promised.insert(key);
            }
            Message::Running | Message::Ended => assert!(seen.admitted.contains(&key)),
            Message::Unknown => {}
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
    fn no_word_is_broken(events in prop::collection::vec(event(), 1..120)) {
        let mut ledger = Ledger::new(SMALL);
        let mut seen = Seen::default();
        let mut now = Duration::ZERO;
        for event in events {
            if let Event::Pass(seconds) = event {
                now += Duration::from_secs(seconds);
            }
            // The silence after which a floor is forgotten is longer than any
            // copy of an attempt is on its way; nothing arrives behind it here.
            if now >= SMALL.silence {
                break;
            }
            play(&mut ledger, &mut seen, now, event);
            prop_assert!(ledger.running() <= SMALL.running);
            prop_assert!(ledger.records() <= SMALL.running + SMALL.closed);
        }
    }
}

#[test]
fn words_after_the_record_is_forgotten() {
    // A ledger that forgot an ended booking must not call it "refused": the
    // caller would repeat it and be charged twice.
    let key = |counter| Key { entry: 1, counter };
    let now = Duration::ZERO;
    let table = [
        (
            "ended",
            Some(Ending::Ran),
            Message::Unknown,
            Refusal::Repeated,
        ),
        (
            "broken",
            Some(Ending::Broken),
            Message::Unknown,
            Refusal::Repeated,
        ),
        (
            "not sent",
            Some(Ending::NotRun),
            Message::Refused,
            Refusal::Tombstone,
        ),
        ("settled", None, Message::Refused, Refusal::Tombstone),
    ];
    for (name, ending, word, refusal) in table {
        let mut ledger = Ledger::new(SMALL);
        match ending {
            Some(ending) => {
                ledger.admit(key(1), now).unwrap();
                ledger.finish(key(1), ending);
            }
            None => assert_eq!(ledger.settle(key(1), now), Message::Refused),
        }
        for later in 2..6 {
            ledger.settle(key(later), now);
        }
        assert_eq!(ledger.records(), SMALL.closed, "{name}");
        assert_eq!(ledger.settle(key(1), now), word, "{name}");
        assert_eq!(ledger.admit(key(1), now), Err(refusal), "{name}");
    }
}

#[test]
fn silent_entries_are_forgotten() {
    let mut ledger = Ledger::new(SMALL);
    let old = Key {
        entry: 1,
        counter: 1,
    };
    ledger.admit(old, Duration::ZERO).unwrap();
    ledger.finish(old, Ending::Ran);
    // Later attempts of others push the record out; then only the floor is left.
    for counter in 1..5 {
        ledger.settle(Key { entry: 2, counter }, Duration::ZERO);
    }
    assert_eq!(ledger.entries(), 2);
    ledger.settle(
        Key {
            entry: 3,
            counter: 1,
        },
        SMALL.silence,
    );
    assert_eq!(ledger.entries(), 2);
}
