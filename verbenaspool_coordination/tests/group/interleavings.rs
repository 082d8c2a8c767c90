//! Interleavings of faults, drawn at random from a fixed seed.

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use verbenaspool_coordination::group::lead::Lead;

use crate::world::{Fate, LONGEST, SHAPE, World};

/// How many interleavings are played for each kind of engine; kept low for the
/// time of a test run, raised by hand after changes to the protocol.
const CASES: u32 = 25;
/// A seat of the group.
const SEATS: std::ops::Range<u16> = 0..SHAPE.ranks;

/// Something that happens to the group.
#[derive(Debug, Clone)]
enum Event {
    /// An agent dies and is started anew.
    Restart(u16),
    /// An engine loses everything.
    Reset(u16),
    /// An agent gets the lease under the next fence.
    Lead(u16),
    /// An agent proposes a map, if it leads.
    Change(u16, u16),
    /// An agent does nothing for so many milliseconds.
    Pause(u16, u64),
    /// An engine does nothing for so many milliseconds.
    Stall(u16, u64),
    /// The weight store refuses, or serves again.
    Refuse(bool),
    /// From now on, this part of all messages in a hundred is lost, late by up
    /// to minutes, or repeated; all drawn from the seed.
    Network { odd: u8, seed: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => SEATS.prop_map(Event::Restart),
        1 => SEATS.prop_map(Event::Reset),
        3 => SEATS.prop_map(Event::Lead),
        4 => (SEATS, 0..3_u16).prop_map(|(seat, turn)| Event::Change(seat, turn)),
        2 => (SEATS, 10..5_000_u64).prop_map(|(seat, millis)| Event::Pause(seat, millis)),
        1 => (SEATS, 10..3_000_u64).prop_map(|(seat, millis)| Event::Stall(seat, millis)),
        1 => any::<bool>().prop_map(Event::Refuse),
        3 => (0..60_u8, any::<u64>()).prop_map(|(odd, seed)| Event::Network { odd, seed }),
    ]
}

/// A history is a list of events, each after so many milliseconds.
fn history() -> impl Strategy<Value = Vec<(u64, Event)>> {
    prop::collection::vec((0..1_500_u64, event()), 1..30)
}

/// What becomes of the messages and orders on a bad network.
fn disturb(world: &mut World, odd: u8, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    world.filter = Box::new(move |_, _, _| {
        if rng.random_range(0..100) >= odd {
            return Fate::Pass;
        }
        let late = match rng.random_range(0..3) {
            0 => rng.random_range(10..200),
            1 => rng.random_range(200..5_000),
            _ => rng.random_range(5_000..150_000),
        };
        match rng.random_range(0..3) {
            0 => Fate::Lose,
            1 => Fate::Late(Duration::from_millis(late)),
            _ => Fate::Twice(Duration::from_millis(late)),
        }
    });
    let mut rng = SmallRng::seed_from_u64(!seed);
    world.gate = Box::new(move |_, _, _| {
        let late = rng.random_range(10..400);
        assert!(Duration::from_millis(late) < LONGEST);
        match rng.random_range(0..100) < odd {
            true if rng.random() => Fate::Lose,
            true => Fate::Late(Duration::from_millis(late)),
            false => Fate::Pass,
        }
    });
}

fn happen(world: &mut World, event: &Event) {
    match *event {
        Event::Restart(seat) => world.restart(seat),
        Event::Reset(seat) => world.group.restart(seat),
        Event::Lead(seat) => world.lead(seat),
        Event::Change(seat, turn) => drop(world.change(seat, turn)),
        Event::Pause(seat, millis) => world.pause(seat, millis),
        Event::Stall(seat, millis) => {
            let until = world.now + Duration::from_millis(millis);
            world.group.stall(seat, until);
        }
        Event::Refuse(refusing) => world.group.store().refuse(refusing),
        Event::Network { odd, seed } => disturb(world, odd, seed),
    }
}

/// Plays one history, then lets all faults end: no step was mixed, and the
/// group goes on once an agent gets the lease.
fn play(checked: bool, history: Vec<(u64, Event)>) -> Result<(), TestCaseError> {
    let mut world = World::running(checked);
    for (after, event) in history {
        world.run(after);
        happen(&mut world, &event);
    }
    world.filter = Box::new(|_, _, _| Fate::Pass);
    world.gate = Box::new(|_, _, _| Fate::Pass);
    world.group.store().refuse(false);
    world.run(6_000);
    world.lead(1);
    let granting = |world: &World| world.member(1).lead().is_some_and(Lead::is_granting);
    prop_assert!(world.until(10_000, granting), "the lead hears not from all");
    if world
        .member(1)
        .lead()
        .is_some_and(|lead| lead.map().is_none())
    {
        // All engines have lost everything, so there is no map left.
        world.change(1, 0);
    }
    let done = world.group.done(1);
    world.run(8_000);
    prop_assert!(world.group.done(1) > done, "the group stands");
    prop_assert!(world.check().is_ok(), "{:?}", world.check());
    // All that was late by minutes arrives in the end.
    world.run(150_000);
    prop_assert!(world.check().is_ok(), "{:?}", world.check());
    Ok(())
}

fn explore(checked: bool) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&history(), |history| play(checked, history));
    assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
}

/// Answers are garbled whenever two ranks of one step use two maps, whatever
/// led there; and nobody is answered while a group stands for good.
#[test]
fn any_faults_with_engines_that_check_fences() {
    explore(true);
}

/// The same where engines obey whoever speaks last, as long as an order is on
/// its way no longer than the agents assume.
#[test]
fn any_faults_with_engines_that_ignore_fences() {
    explore(false);
}
