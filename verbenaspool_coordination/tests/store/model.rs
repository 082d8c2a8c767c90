//! Model of the platform's store, and faults of calls to it.

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use verbenaspool_coordination::store::{Answer, Call, Entry, Machine, Step, When};

/// The store: version and value by key, and a revision that counts all changes.
#[derive(Debug, Default)]
pub struct Store {
    pub objects: BTreeMap<String, (u64, Vec<u8>)>,
    pub revision: u64,
    /// Calls that were sent and haven't arrived yet, oldest first.
    pub delayed: Vec<Call>,
}

impl Store {
    /// Executes a call.
    pub fn execute(&mut self, call: Call) -> Answer {
        match call {
            Call::Get { key } => match self.objects.get(&key) {
                Some((version, value)) => Answer::Found {
                    version: *version,
                    value: value.clone(),
                },
                None => Answer::Absent,
            },
            Call::Put { key, value, when } => {
                if let Some(conflict) = self.conflict(&key, when) {
                    return conflict;
                }
                self.revision += 1;
                self.objects.insert(key, (self.revision, value));
                Answer::Changed(self.revision)
            }
            Call::Delete { key, when } => {
                if let Some(conflict) = self.conflict(&key, when) {
                    return conflict;
                }
                self.revision += 1;
                self.objects.remove(&key);
                Answer::Changed(self.revision)
            }
            Call::List { prefix } => {
                let listed = self
                    .objects
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix));
                let entries = listed.map(|(key, (version, _))| Entry {
                    key: key.clone(),
                    version: *version,
                });
                Answer::Listed(entries.collect())
            }
        }
    }

    /// Returns the conflict if the condition doesn't hold.
    fn conflict(&self, key: &str, when: When) -> Option<Answer> {
        let current = self.objects.get(key).map_or(0, |(version, _)| *version);
        let holds = match when {
            When::Always => true,
            When::Absent => current == 0,
            When::Version(version) => version == current,
        };
        (!holds).then_some(Answer::Conflict(current))
    }

    /// Makes the next call of a state machine with a fault; returns the outcome once
    /// there is one.
    pub fn call_next<T>(
        &mut self,
        machine: &mut dyn Machine<Outcome = T>,
        fault: Fault,
    ) -> Option<T> {
        let call = match machine.step() {
            Step::Done(outcome) => return Some(outcome),
            Step::Call(call) | Step::Retry(call) => call,
        };
        let answer = match fault {
            Fault::None => self.execute(call),
            Fault::Unsent => Answer::Failed("down".to_owned()),
            Fault::Dropped => Answer::Lost("dropped".to_owned()),
            Fault::AnswerLost => {
                self.execute(call);
                Answer::Lost("lost".to_owned())
            }
            Fault::Delayed => {
                self.delayed.push(call);
                Answer::Lost("delayed".to_owned())
            }
        };
        machine.answer(answer);
        None
    }
}

/// Fault of a call.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Nothing.
    None,
    /// It is never sent, and the caller knows it.
    Unsent,
    /// It is sent and never arrives.
    Dropped,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It takes effect after its caller timed out.
    Delayed,
}

/// A step of a random run.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// A caller's next call is made.
    Call(usize, Fault),
    /// The oldest delayed call takes effect.
    DeliverDelayed,
    /// A caller abandons its current operation and starts the next one.
    Abandon(usize),
}

/// Generates runs of events of three callers.
pub fn runs() -> impl Strategy<Value = Vec<Event>> {
    let caller = 0_usize..3;
    let fault = prop_oneof![
        12 => Just(Fault::None),
        1 => Just(Fault::Unsent),
        1 => Just(Fault::Dropped),
        2 => Just(Fault::AnswerLost),
        1 => Just(Fault::Delayed),
    ];
    let event = prop_oneof![
        20 => (caller.clone(), fault).prop_map(|(caller, fault)| Event::Call(caller, fault)),
        1 => Just(Event::DeliverDelayed),
        1 => caller.prop_map(Event::Abandon),
    ];
    prop::collection::vec(event, 1..300)
}

/// Creates a runner that generates the same cases each time.
pub fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases)
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::default());
    TestRunner::new_with_rng(config, rng)
}
