use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestCaseError, TestRng, TestRunner},
};

use super::{Lease, Settings};
use crate::store::{Answer, Call, When};

/// A store of one object.
#[derive(Debug, Default, Clone)]
struct Store {
    version: u64,
    value: Option<Vec<u8>>,
    /// How often it came back from a copy.
    era: u64,
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
    /// The store is copied.
    Copy,
    /// The store comes back from the last copy.
    Restore,
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

fn step_with_restores() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
    ]
}

/// Creates the lease of a process in the given incarnation.
fn lease(process: usize, incarnation: usize) -> Lease {
    let holder = format!("{process}.{incarnation}");
    Lease::new("lease".to_owned(), holder, Settings::default())
}

/// A process that wants the lease, and the store's era that it knows.
struct Process {
    lease: Lease,
    era: u64,
}

impl Process {
    fn new(number: usize, incarnation: usize, era: u64) -> Self {
        Self {
            lease: lease(number, incarnation),
            era,
        }
    }

    /// Handles an answer of the store.
    fn answer(&mut self, now: Duration, era: u64, answer: Answer) {
        if std::mem::replace(&mut self.era, era) < era {
            self.lease.restart(now);
        }
        self.lease.answer(now, answer);
    }
}

/// Three processes that compete for the lease.
struct Run {
    store: Store,
    copy: Store,
    now: Duration,
    restored_at: Option<Duration>,
    processes: Vec<Process>,
    delayed: Vec<Call>,
    /// The highest fence under which the lease was held, and by whom.
    highest: (u64, Option<usize>),
}

impl Run {
    fn new() -> Self {
        Self {
            store: Store::default(),
            copy: Store::default(),
            now: Duration::ZERO,
            restored_at: None,
            processes: (0..3).map(|number| Process::new(number, 0, 0)).collect(),
            delayed: Vec::new(),
            highest: (0, None),
        }
    }

    fn step(&mut self, number: usize, step: Step) {
        match step {
            Step::Wait(ms) => self.now += Duration::from_millis(ms),
            Step::Restart(i) if self.may_restart() => {
                self.processes[i] = Process::new(i, number + 1, self.store.era);
            }
            Step::Restart(_) => {}
            Step::Release(i) => self.processes[i].lease.release(),
            Step::Copy => self.copy = self.store.clone(),
            Step::Restore => {
                let era = self.store.era + 1;
                self.store = Store {
                    era,
                    ..self.copy.clone()
                };
                // Calls that were on the way are lost with the store.
                self.delayed.clear();
                self.restored_at = Some(self.now);
            }
            Step::DeliverDelayed => {
                if !self.delayed.is_empty() {
                    self.store.execute(self.delayed.remove(0));
                }
            }
            Step::Call(i) | Step::LoseAnswer(i) | Step::DropCall(i) | Step::DelayCall(i) => {
                self.call(i, step);
            }
        }
    }

    /// Whether a process may restart. One that doesn't know the era before can't tell that the
    /// lease may be held by a process that the copy doesn't name.
    fn may_restart(&self) -> bool {
        let Settings {
            duration,
            drift_margin,
        } = Settings::default();
        self.restored_at
            .is_none_or(|at| self.now >= at + duration + drift_margin)
    }

    fn call(&mut self, i: usize, step: Step) {
        let process = &mut self.processes[i];
        // The process's rank knows it from the orders of the lead.
        process.lease.raise_fence(self.highest.0);
        let Some(call) = process.lease.next_call(self.now) else {
            return;
        };
        let lost = match step {
            Step::DelayCall(_) => {
                self.delayed.push(call);
                "delayed"
            }
            Step::DropCall(_) => "dropped",
            Step::LoseAnswer(_) => {
                self.store.execute(call);
                "lost"
            }
            _ => {
                let answer = self.store.execute(call);
                return process.answer(self.now, self.store.era, answer);
            }
        };
        process
            .lease
            .answer(self.now, Answer::Lost(lost.to_owned()));
    }

    /// Checks that there is at most one holder, and that no fence is used again.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let held =
            |(i, process): (usize, &Process)| Some((process.lease.current_fence(self.now)?, i));
        let holders: Vec<(u64, usize)> =
            self.processes.iter().enumerate().filter_map(held).collect();
        prop_assert!(holders.len() <= 1, "held under fences {holders:?}");
        for (fence, holder) in holders {
            let (highest, last) = self.highest;
            prop_assert!(
                fence > highest || fence == highest && last == Some(holder),
                "fence {fence} of {holder} after {highest} of {last:?}"
            );
            self.highest = (fence, Some(holder));
        }
        Ok(())
    }
}

fn check_runs(steps: impl Strategy<Value = Step>) {
    let runs = prop::collection::vec(steps, 1..200);
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_000)
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::default());
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&runs, |steps| {
        let mut run = Run::new();
        for (number, step) in steps.into_iter().enumerate() {
            run.step(number, step);
            run.check()?;
        }
        Ok(())
    });
    outcome.unwrap();
}

// Guards against two holders at the same time, from whom a group would receive
// conflicting orders. Three processes compete for the lease with lost calls, lost
// answers, pauses and restarts.
#[test]
fn one_holder_at_a_time() {
    check_runs(step());
}

/// Guards against two holders at the same time, and against a fence that is used twice, where the
/// store comes back from a copy that lacks the last changes of the lease.
#[test]
fn one_holder_at_a_time_though_the_store_goes_back() {
    check_runs(step_with_restores());
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

/// Guards against a group without a lead, because the copy of the store has a lower fence than its
/// ranks know and they reject all orders under the next ones.
#[test]
fn a_lease_is_acquired_above_the_fences_that_others_know() {
    let mut store = Store::default();
    let mut lease = lease(1, 0);
    lease.raise_fence(8);
    let now = Duration::ZERO;
    while let Some(call) = lease.next_call(now) {
        lease.answer(now, store.execute(call));
    }
    assert_eq!(lease.current_fence(now), Some(9));
}

/// Guards against a group without a lead for the whole duration of the lease after the store came
/// back: its holder acquires it at once, under another fence.
#[test]
fn the_holder_acquires_the_lease_anew_when_the_store_goes_back() {
    let mut store = Store::default();
    let mut process = Process::new(1, 0, 0);
    let now = Duration::from_secs(1);
    let run = |process: &mut Process, store: &mut Store, now| {
        while let Some(call) = process.lease.next_call(now) {
            let answer = store.execute(call);
            process.answer(now, store.era, answer);
        }
    };
    run(&mut process, &mut store, now);
    assert_eq!(process.lease.current_fence(now), Some(1));
    store = Store {
        era: 1,
        ..Store::default()
    };
    let now = now + Settings::default().duration / 4;
    run(&mut process, &mut store, now);
    assert_eq!(process.lease.current_fence(now), Some(2));
}
