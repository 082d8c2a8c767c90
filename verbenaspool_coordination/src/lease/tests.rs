use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};

use super::{Lease, Settings};
use crate::store::{Answer, Call, When};

/// A store of one object.
#[derive(Debug, Default)]
struct Store {
    version: u64,
    value: Option<Vec<u8>>,
}

impl Store {
    /// Carries a call out.
    fn make(&mut self, call: Call) -> Answer {
        match call {
            Call::Get { .. } => match &self.value {
                Some(value) => Answer::Found {
                    version: self.version,
                    value: value.clone(),
                },
                None => Answer::Absent,
            },
            Call::Put { value, when, .. } => {
                let holds = match when {
                    When::Always => true,
                    When::Absent => self.value.is_none(),
                    When::Version(version) => self.value.is_some() && version == self.version,
                };
                if !holds {
                    return Answer::Conflict(self.version);
                }
                self.version += 1;
                self.value = Some(value);
                Answer::Changed(self.version)
            }
            _ => Answer::Refused("not used".to_owned()),
        }
    }
}

/// What may happen in a step of a run.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The process makes its next call and gets the answer.
    Turn(usize),
    /// The call takes effect and its answer is lost.
    Lose(usize),
    /// The call is lost before it takes effect.
    Drop(usize),
    /// The call is held up and takes effect after its caller gave up on it.
    Delay(usize),
    /// What was held up longest takes effect.
    Arrive,
    /// Time passes, in milliseconds.
    Pass(u64),
    /// The process starts again.
    Restart(usize),
    /// The process gives the lease back.
    End(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let who = 0_usize..3;
    prop_oneof![
        8 => who.clone().prop_map(Step::Turn),
        2 => who.clone().prop_map(Step::Lose),
        1 => who.clone().prop_map(Step::Drop),
        1 => who.clone().prop_map(Step::Delay),
        1 => Just(Step::Arrive),
        6 => (0_u64..4_000).prop_map(Step::Pass),
        1 => who.clone().prop_map(Step::Restart),
        1 => who.prop_map(Step::End),
    ]
}

/// A process's lease under its present incarnation.
fn lease(process: usize, incarnation: usize) -> Lease {
    let holder = format!("{process}.{incarnation}");
    Lease::new("lease".to_owned(), holder, Settings::default())
}

// Three processes want one lease through lost calls, lost answers, pauses and
// restarts. Were two to hold it at once, a group would get orders from both.
#[test]
fn one_holder_at_a_time() {
    let runs = prop::collection::vec(step(), 1..200);
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_000)
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::default());
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&runs, |steps| {
        let mut store = Store::default();
        let mut now = Duration::ZERO;
        let mut leases: Vec<Lease> = (0..3).map(|i| lease(i, 0)).collect();
        let mut highest = 0;
        let mut delayed = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Pass(ms) => now += Duration::from_millis(ms),
                Step::Restart(i) => leases[i] = lease(i, number + 1),
                Step::End(i) => leases[i].end(),
                Step::Arrive => {
                    if !delayed.is_empty() {
                        store.make(delayed.remove(0));
                    }
                }
                Step::Turn(i) | Step::Lose(i) | Step::Drop(i) | Step::Delay(i) => {
                    let Some(call) = leases[i].call(now) else {
                        continue;
                    };
                    let answer = match step {
                        Step::Delay(_) => {
                            delayed.push(call);
                            Answer::Lost("late".to_owned())
                        }
                        Step::Drop(_) => Answer::Lost("dropped".to_owned()),
                        Step::Lose(_) => {
                            store.make(call);
                            Answer::Lost("lost".to_owned())
                        }
                        _ => store.make(call),
                    };
                    leases[i].answer(now, answer);
                }
            }
            let holders: Vec<u64> = leases.iter().filter_map(|l| l.held(now)).collect();
            prop_assert!(holders.len() <= 1, "held under fences {holders:?}");
            for fence in holders {
                prop_assert!(fence >= highest, "fence {fence} after {highest}");
                highest = fence;
            }
        }
        Ok(())
    });
    outcome.unwrap();
}

/// Guards against a lease that moves because two renewals in a row got no answer.
#[test]
fn two_lost_renewals_keep_the_lease() {
    let mut store = Store::default();
    let mut lease = lease(0, 0);
    let time = Settings::default().time;
    let mut now = Duration::ZERO;
    for _ in 0..2 {
        let call = lease.call(now).expect("a first call");
        lease.answer(now, store.make(call));
    }
    let mut lost = 0;
    while now < time * 2 {
        now += time / 50;
        while let Some(call) = lease.call(now) {
            if lost < 2 {
                lost += 1;
                now += time / 4;
                lease.answer(now, Answer::Lost("no answer in time".to_owned()));
            } else {
                lease.answer(now, store.make(call));
            }
        }
        assert_eq!(lease.held(now), Some(1), "{now:?}");
    }
}

// The holder is paused past its time and its successor works. The sleeper must
// see that it holds nothing, and the successor's fence must be the higher one.
#[test]
fn paused_holder() {
    let mut store = Store::default();
    let (mut one, mut two) = (lease(1, 0), lease(2, 0));
    let mut now = Duration::ZERO;
    for lease in [&mut one, &mut two] {
        for _ in 0..2 {
            if let Some(call) = lease.call(now) {
                let answer = store.make(call);
                lease.answer(now, answer);
            }
        }
    }
    assert_eq!((one.held(now), two.held(now)), (Some(1), None));
    for _ in 0..30 {
        now += Duration::from_millis(500);
        while let Some(call) = two.call(now) {
            let answer = store.make(call);
            two.answer(now, answer);
        }
    }
    assert_eq!((one.held(now), two.held(now)), (None, Some(2)));
    // It wakes up and tries to renew: it is told off and waits.
    while let Some(call) = one.call(now) {
        let answer = store.make(call);
        one.answer(now, answer);
    }
    assert_eq!(one.held(now), None);
}
