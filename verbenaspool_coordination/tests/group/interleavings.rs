//! Random interleavings of faults, generated from a fixed seed.

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use verbenaspool_coordination::group::lead::Lead;

use crate::simulation::{Delivery, MAX_ORDER_DELAY, SHAPE, Simulation};

/// The number of interleavings for each kind of engine. It is low to keep test
/// runs short; raise it by hand after changes to the protocol.
const CASES: u32 = 25;
/// The seats of the group.
const SEATS: std::ops::Range<u16> = 0..SHAPE.ranks;

/// An event in a history.
#[derive(Debug, Clone)]
enum Event {
    /// An agent crashes and restarts.
    Restart(u16),
    /// An engine restarts and loses its state.
    Reset(u16),
    /// An agent acquires the lease with the next fence.
    GrantLease(u16),
    /// An agent proposes a map, if it is the lead.
    ProposeMap(u16, u16),
    /// An agent is paused for this many milliseconds.
    Pause(u16, u64),
    /// An engine stalls for this many milliseconds.
    Stall(u16, u64),
    /// The weight store starts or stops rejecting loads.
    RejectLoads(bool),
    /// From now on, this percentage of messages is lost, delayed by up to minutes
    /// or duplicated, as the seed determines.
    Network { faulty_percent: u8, seed: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => SEATS.prop_map(Event::Restart),
        1 => SEATS.prop_map(Event::Reset),
        3 => SEATS.prop_map(Event::GrantLease),
        4 => (SEATS, 0..3_u16).prop_map(|(seat, turn)| Event::ProposeMap(seat, turn)),
        2 => (SEATS, 10..5_000_u64).prop_map(|(seat, millis)| Event::Pause(seat, millis)),
        1 => (SEATS, 10..3_000_u64).prop_map(|(seat, millis)| Event::Stall(seat, millis)),
        1 => any::<bool>().prop_map(Event::RejectLoads),
        3 => (0..60_u8, any::<u64>()).prop_map(|(faulty_percent, seed)| Event::Network { faulty_percent, seed }),
    ]
}

/// Generates a history: events, each with the delay before it in milliseconds.
fn history() -> impl Strategy<Value = Vec<(u64, Event)>> {
    prop::collection::vec((0..1_500_u64, event()), 1..30)
}

/// Makes the network lose, delay and duplicate messages, and lose and delay orders.
fn inject_network_faults(simulation: &mut Simulation, faulty_percent: u8, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    simulation.message_faults = Box::new(move |_, _, _| {
        if rng.random_range(0..100) >= faulty_percent {
            return Delivery::Normal;
        }
        let delay = match rng.random_range(0..3) {
            0 => rng.random_range(10..200),
            1 => rng.random_range(200..5_000),
            _ => rng.random_range(5_000..150_000),
        };
        match rng.random_range(0..3) {
            0 => Delivery::Drop,
            1 => Delivery::Delay(Duration::from_millis(delay)),
            _ => Delivery::Duplicate(Duration::from_millis(delay)),
        }
    });
    let mut rng = SmallRng::seed_from_u64(!seed);
    simulation.order_faults = Box::new(move |_, _, _| {
        let delay = rng.random_range(10..400);
        assert!(Duration::from_millis(delay) < MAX_ORDER_DELAY);
        match rng.random_range(0..100) < faulty_percent {
            true if rng.random() => Delivery::Drop,
            true => Delivery::Delay(Duration::from_millis(delay)),
            false => Delivery::Normal,
        }
    });
}

fn apply(simulation: &mut Simulation, event: &Event) {
    match *event {
        Event::Restart(seat) => simulation.restart_agent(seat),
        Event::Reset(seat) => simulation.group.restart(seat),
        Event::GrantLease(seat) => simulation.grant_lease(seat),
        Event::ProposeMap(seat, turn) => drop(simulation.propose_map(seat, turn)),
        Event::Pause(seat, millis) => simulation.pause_agent(seat, millis),
        Event::Stall(seat, millis) => {
            let until = simulation.now + Duration::from_millis(millis);
            simulation.group.stall(seat, until);
        }
        Event::RejectLoads(rejecting) => simulation.group.store().set_rejecting(rejecting),
        Event::Network {
            faulty_percent,
            seed,
        } => inject_network_faults(simulation, faulty_percent, seed),
    }
}

/// Runs one history, then ends all faults. No step may have run on two maps, and
/// the group must continue once an agent acquires the lease.
fn run_case(checked: bool, history: Vec<(u64, Event)>) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::running(checked);
    for (after, event) in history {
        simulation.run_ms(after);
        apply(&mut simulation, &event);
    }
    simulation.message_faults = Box::new(|_, _, _| Delivery::Normal);
    simulation.order_faults = Box::new(|_, _, _| Delivery::Normal);
    simulation.group.store().set_rejecting(false);
    simulation.run_ms(6_000);
    simulation.grant_lease(1);
    let granting =
        |simulation: &Simulation| simulation.member(1).lead().is_some_and(Lead::is_granting);
    prop_assert!(
        simulation.run_until(10_000, granting),
        "not all ranks joined the lead"
    );
    if simulation
        .member(1)
        .lead()
        .is_some_and(|lead| lead.map().is_none())
    {
        // All engines have lost their state, so there is no map.
        simulation.propose_map(1, 0);
    }
    let done = simulation.group.last_step(1);
    simulation.run_ms(8_000);
    prop_assert!(
        simulation.group.last_step(1) > done,
        "the group has stopped"
    );
    prop_assert!(
        simulation.check_history().is_ok(),
        "{:?}",
        simulation.check_history()
    );
    // Let the messages arrive that were delayed by minutes.
    simulation.run_ms(150_000);
    prop_assert!(
        simulation.check_history().is_ok(),
        "{:?}",
        simulation.check_history()
    );
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
    let outcome = runner.run(&history(), |history| run_case(checked, history));
    assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
}

/// Guards against two ranks running a step on different maps, which garbles
/// answers, and against a group that stops for good. Random faults of the network,
/// agents, engines and the weight store can lead to either.
#[test]
fn any_faults_with_engines_that_check_fences() {
    explore(true);
}

/// The same for engines that follow the last order received. No order is in flight
/// for longer than agents assume.
#[test]
fn any_faults_with_engines_that_ignore_fences() {
    explore(false);
}
