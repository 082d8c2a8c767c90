//! Claims on one idempotency key.

use std::collections::HashSet;

use proptest::prelude::*;
use verbenaspool_coordination::{
    claim::{Agent, Claim, Outcome, Record},
    piece::Hash,
};

use crate::model::{Event, Store, runner, runs};

/// Key of the claim in the store.
const KEY: &str = "firms/tidewater/claims/1";

/// Builds the content of the claim for a caller's attempt.
fn record(caller: usize, attempt: usize) -> Record {
    Record {
        attempt: format!("{caller}.{attempt}"),
        agent: Agent {
            control: ([127, 0, 0, 1], 7102).into(),
            process: 9,
        },
        request: Hash::of(b"POST /jobs/bookings"),
    }
}

/// Creates the claim for a caller's attempt.
fn claim(caller: usize, attempt: usize) -> Claim {
    Claim::new(KEY.to_owned(), record(caller, attempt))
}

// Guards against two attempts that both hold the key, which would charge the customer
// twice. Three entries claim the key for repeats of one booking while calls are lost or
// delayed and answers are lost.
#[test]
fn at_most_one_attempt_holds_the_key() {
    let outcome = runner(1_000).run(&runs(), |events| {
        let mut store = Store::default();
        let mut claims: Vec<Claim> = (0..3).map(|caller| claim(caller, 0)).collect();
        let mut holder: Option<String> = None;
        for (number, event) in events.into_iter().enumerate() {
            let (caller, outcome) = match event {
                Event::DeliverDelayed => {
                    if !store.delayed.is_empty() {
                        let call = store.delayed.remove(0);
                        store.execute(call);
                    }
                    continue;
                }
                Event::Call(caller, fault) => (caller, store.call_next(&mut claims[caller], fault)),
                Event::Abandon(caller) => (caller, Some(claims[caller].abandon())),
            };
            let Some(outcome) = outcome else {
                continue;
            };
            if let Outcome::Acquired { .. } = outcome {
                let name = caller.to_string();
                prop_assert!(holder.is_none(), "{holder:?} and {name} both hold the key");
                holder = Some(name);
            }
            claims[caller] = claim(caller, number + 1);
        }
        Ok(())
    });
    outcome.unwrap();
}

/// The agent's record of attempts.
#[derive(Debug, Default)]
struct Ledger {
    ran: HashSet<String>,
    tombstones: HashSet<String>,
}

/// State of an entry that handles a booking.
enum Entry {
    Claiming(Box<Claim>, String),
    /// The entry holds the key and is about to send the attempt.
    Sending(String),
}

impl Ledger {
    /// Runs an arriving attempt unless it has a tombstone.
    fn admit(&mut self, attempt: String) {
        if !self.tombstones.contains(&attempt) {
            self.ran.insert(attempt);
        }
    }

    /// Whether an attempt has not run; records a tombstone so that it never will.
    fn confirm_not_run(&mut self, attempt: &str) -> bool {
        if self.ran.contains(attempt) {
            return false;
        }
        self.tombstones.insert(attempt.to_owned());
        true
    }
}

// Guards against a booking that runs twice because a claim was replaced without the
// agent's confirmation, or because an attempt was sent that the claim doesn't name. An
// entry claims the key and dies or loses the answer; repeats through other entries
// settle the claimed attempt with its agent and replace the claim; then the first entry
// resumes and sends its attempt after all.
#[test]
fn replaced_claims_let_one_attempt_run() {
    let outcome = runner(1_000).run(&runs(), |events| {
        let mut store = Store::default();
        let mut ledger = Ledger::default();
        let start = |caller, attempt| {
            Entry::Claiming(
                Box::new(claim(caller, attempt)),
                format!("{caller}.{attempt}"),
            )
        };
        let mut entries: Vec<Entry> = (0..3).map(|caller| start(caller, 0)).collect();
        for (number, event) in events.into_iter().enumerate() {
            let number = number + 1;
            match event {
                Event::DeliverDelayed => {
                    if !store.delayed.is_empty() {
                        let call = store.delayed.remove(0);
                        store.execute(call);
                    }
                }
                Event::Abandon(caller) => entries[caller] = start(caller, number),
                Event::Call(caller, fault) => match &mut entries[caller] {
                    Entry::Sending(attempt) => {
                        ledger.admit(attempt.clone());
                        entries[caller] = start(caller, number);
                    }
                    Entry::Claiming(claim, attempt) => {
                        let attempt = attempt.clone();
                        match store.call_next(claim.as_mut(), fault) {
                            None => {}
                            Some(Outcome::Acquired { .. }) => {
                                entries[caller] = Entry::Sending(attempt);
                            }
                            Some(Outcome::Taken {
                                record: other,
                                version,
                            }) if ledger.confirm_not_run(&other.attempt) => {
                                let own = record(caller, number);
                                let name = own.attempt.clone();
                                let replacement = Claim::replace(KEY.to_owned(), version, own);
                                entries[caller] = Entry::Claiming(Box::new(replacement), name);
                            }
                            Some(_) => entries[caller] = start(caller, number),
                        }
                    }
                },
            }
            prop_assert!(ledger.ran.len() <= 1, "{:?} ran", ledger.ran);
        }
        Ok(())
    });
    outcome.unwrap();
}
