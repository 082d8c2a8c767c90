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
    /// Executes a call.
    fn execute(&mut self, call: Call) -> Answer {
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
            _ => Answer::Rejected("not used".to_owned()),
        }
    }
}

/// A step of a random run.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The process makes its next call and gets the answer.
    Call(usize),
    /// The call takes effect and its answer is lost.
    LoseAnswer(usize),
    /// The call is lost before it takes effect.
    DropCall(usize),
    /// The call is delayed and takes effect after its caller timed out.
    DelayCall(usize),
    /// The oldest delayed call takes effect.
    DeliverDelayed,
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The process restarts.
    Restart(usize),
    /// The process releases the lease.
    Release(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0_usize..3;
    prop_oneof![
        8 => process.clone().prop_map(Step::Call),
        2 => process.clone().prop_map(Step::LoseAnswer),
        1 => process.clone().prop_map(Step::DropCall),
        1 => process.clone().prop_map(Step::DelayCall),
        1 => Just(Step::DeliverDelayed),
        6 => (0_u64..4_000).prop_map(Step::Wait),
        1 => process.clone().prop_map(Step::Restart),
        1 => process.prop_map(Step::Release),
    ]
}

/// Creates the lease of a process in the given incarnation.
fn lease(process: usize, incarnation: usize) -> Lease {
    let holder = format!("{process}.{incarnation}");
    Lease::new("lease".to_owned(), holder, Settings::default())
}

// Guards against two holders at the same time, from whom a group would receive
// conflicting orders. Three processes compete for the lease with lost calls, lost
// answers, pauses and restarts.
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
        let mut highest_fence = 0;
        let mut delayed = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Wait(ms) => now += Duration::from_millis(ms),
                Step::Restart(i) => leases[i] = lease(i, number + 1),
                Step::Release(i) => leases[i].release(),
                Step::DeliverDelayed => {
                    if !delayed.is_empty() {
                        store.execute(delayed.remove(0));
                    }
                }
                Step::Call(i) | Step::LoseAnswer(i) | Step::DropCall(i) | Step::DelayCall(i) => {
                    let Some(call) = leases[i].next_call(now) else {
                        continue;
                    };
                    let answer = match step {
                        Step::DelayCall(_) => {
                            delayed.push(call);
                            Answer::Lost("delayed".to_owned())
                        }
                        Step::DropCall(_) => Answer::Lost("dropped".to_owned()),
                        Step::LoseAnswer(_) => {
                            store.execute(call);
                            Answer::Lost("lost".to_owned())
                        }
                        _ => store.execute(call),
                    };
                    leases[i].answer(now, answer);
                }
            }
            let holders: Vec<u64> = leases.iter().filter_map(|l| l.current_fence(now)).collect();
            prop_assert!(holders.len() <= 1, "held under fences {holders:?}");
            for fence in holders {
                prop_assert!(
                    fence >= highest_fence,
                    "fence {fence} after {highest_fence}"
                );
                highest_fence = fence;
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
    let duration = Settings::default().duration;
    let mut now = Duration::ZERO;
    for _ in 0..2 {
        let call = lease.next_call(now).expect("a first call");
        lease.answer(now, store.execute(call));
    }
    let mut lost_count = 0;
    while now < duration * 2 {
        now += duration / 50;
        while let Some(call) = lease.next_call(now) {
            if lost_count < 2 {
                lost_count += 1;
                now += duration / 4;
                lease.answer(now, Answer::Lost("no answer in time".to_owned()));
            } else {
                lease.answer(now, store.execute(call));
            }
        }
        assert_eq!(lease.current_fence(now), Some(1), "{now:?}");
    }
}

// Guards against a paused holder that acts on an expired lease: after its successor has
// acquired the lease, it must not see itself as the holder, and the successor's fence
// must be higher.
#[test]
fn paused_holder_loses_the_lease() {
    let mut store = Store::default();
    let (mut first, mut second) = (lease(1, 0), lease(2, 0));
    let mut now = Duration::ZERO;
    for lease in [&mut first, &mut second] {
        for _ in 0..2 {
            if let Some(call) = lease.next_call(now) {
                let answer = store.execute(call);
                lease.answer(now, answer);
            }
        }
    }
    assert_eq!(
        (first.current_fence(now), second.current_fence(now)),
        (Some(1), None)
    );
    for _ in 0..30 {
        now += Duration::from_millis(500);
        while let Some(call) = second.next_call(now) {
            let answer = store.execute(call);
            second.answer(now, answer);
        }
    }
    assert_eq!(
        (first.current_fence(now), second.current_fence(now)),
        (None, Some(2))
    );
    // The first holder resumes and tries to renew; it is rejected and waits.
    while let Some(call) = first.next_call(now) {
        let answer = store.execute(call);
        first.answer(now, answer);
    }
    assert_eq!(first.current_fence(now), None);
}
