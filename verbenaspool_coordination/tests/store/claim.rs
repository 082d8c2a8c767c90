//! Claims on one idempotency key.

use proptest::prelude::*;
use verbenaspool_coordination::{
    claim::{Claim, Outcome, Record},
    piece::Hash,
};

use crate::model::{Event, Store, runner, runs};

/// The claim of a caller's attempt.
fn claim(caller: usize, attempt: usize) -> Claim {
    let record = Record {
        attempt: format!("{caller}.{attempt}"),
        request: Hash::of(b"POST /jobs/bookings"),
    };
    Claim::new("firms/tidewater/claims/1".to_owned(), record)
}

// A caller repeats a booking under its key through three entries, while calls
// to the platform are lost, late and answered to nobody. Were two attempts told
// that the key is theirs, the skipper would be charged twice.
#[test]
fn one_attempt_runs() {
    let outcome = runner(1_000).run(&runs(), |events| {
        let mut store = Store::default();
        let mut claims: Vec<Claim> = (0..3).map(|caller| claim(caller, 0)).collect();
        let mut mine: Option<String> = None;
        for (number, event) in events.into_iter().enumerate() {
            let (caller, outcome) = match event {
                Event::Arrive => {
                    if !store.delayed.is_empty() {
                        let call = store.delayed.remove(0);
                        store.make(call);
                    }
                    continue;
                }
                Event::Turn(caller, fault) => (caller, store.turn(&mut claims[caller], fault)),
                Event::Abandon(caller) => (caller, Some(claims[caller].abandon())),
            };
            let Some(outcome) = outcome else {
                continue;
            };
            if let Outcome::Mine { .. } = outcome {
                let holder = caller.to_string();
                prop_assert!(mine.is_none(), "{mine:?} and {holder} both hold the key");
                mine = Some(holder);
            }
            claims[caller] = claim(caller, number + 1);
        }
        Ok(())
    });
    outcome.unwrap();
}
