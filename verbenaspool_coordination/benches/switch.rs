//! Measures how long a change of map stalls ranks: with grants, compared with
//! stopping the group and with two-phase commit through the platform. Time is
//! virtual, so the figures don't depend on the machine.
//!
//! Run with `cargo bench --bench switch`.

use std::time::Duration;

use verbenaspool_coordination::group::{engine::Action, schedule::Span};
use verbenaspool_standin::{
    ranks::{Group, Settings},
    weights::Store,
};
use verbenaspool_state::expert_map::{Map, Shape};

/// The layout of the group.
const SHAPE: Shape = Shape {
    ranks: 8,
    experts: 64,
    layers: 4,
    slots: 10,
};
/// The duration of a step.
const STEP_TIME: Duration = Duration::from_millis(25);
/// How many steps are granted ahead. It is low, so that it hides little of a stall.
const STEPS_AHEAD: u64 = 8;
/// The resolution of virtual time.
const TICK: Duration = Duration::from_millis(1);
/// The size of one expert's weights in bytes.
const EXPERT_BYTES: u64 = 44_040_192;
/// The rate of the weight store in bytes per second.
const STORE_BYTES_PER_SECOND: u64 = 2_000_000_000;
/// The delay of a message between agents or of an order to an engine.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// The delay of a write to the platform, and of an event from it.
const PLATFORM_DELAY: Duration = Duration::from_millis(5);

/// How ranks agree on the first step on the new map.
#[derive(Debug, Clone, Copy)]
enum ChangeMethod {
    /// The grant of further steps names the new map.
    Grants,
    /// The group stops, loads the map and continues.
    Stop,
    /// Ranks load the map, write that they are prepared, stop, and read the decision.
    TwoPhase,
}

/// Runs the group to the end of this step.
fn run_through(group: &mut Group, now: &mut Duration, step: u64) {
    while group.last_step(0) < step {
        *now += TICK;
        group.advance(*now);
    }
    // The last step has started; let it end.
    let end = *now + STEP_TIME;
    while *now < end {
        *now += TICK;
        group.advance(*now);
    }
}

/// Simulates one change and returns how long the group stalled.
fn measure_stall(method: ChangeMethod, outage: Duration) -> Duration {
    let settings = Settings {
        ranks: SHAPE.ranks,
        step_time: STEP_TIME,
        checks_fences: true,
        expert_bytes: EXPERT_BYTES,
    };
    let mut group = Group::new(settings, Store::new(STORE_BYTES_PER_SECOND));
    let mut now = Duration::ZERO;
    let order_all = |group: &mut Group, now: Duration, action: &Action| {
        for seat in 0..SHAPE.ranks {
            group.order(now, seat, 1, action.clone());
        }
    };
    let run_for = |group: &mut Group, now: &mut Duration, time: Duration| {
        let end = *now + time;
        while *now < end {
            *now += TICK;
            group.advance(*now);
        }
    };
    let staged = |group: &Group| (0..SHAPE.ranks).all(|s| group.state(s, 0).loaded.contains(&2));
    let grant = |from, to, epoch| Action::Grant {
        spans: vec![Span { from, to, epoch }],
    };
    let stage = |map| Action::Stage {
        map,
        rate: u64::MAX,
    };
    let first_map = Map::spread(1, SHAPE);
    order_all(&mut group, now, &stage(first_map.clone()));
    run_for(&mut group, &mut now, Duration::from_mins(1));
    order_all(&mut group, now, &grant(1, STEPS_AHEAD, 1));
    run_for(&mut group, &mut now, STEP_TIME * 2);
    let mut second_map = Map {
        epoch: 2,
        ..first_map
    };
    for layer in &mut second_map.layers {
        layer.ranks.rotate_left(1);
    }
    let idle_time_before = group.idle_time();
    let mut top = STEPS_AHEAD;
    if let ChangeMethod::Stop = method {
        // The group runs the granted steps and then stops.
        run_through(&mut group, &mut now, top);
    }
    order_all(&mut group, now, &stage(second_map));
    while !staged(&group) {
        // Steps go on while weights load, except in a stopped group.
        if !matches!(method, ChangeMethod::Stop) && group.last_step(0) + STEPS_AHEAD / 2 > top {
            order_all(&mut group, now, &grant(top + 1, top + STEPS_AHEAD, 1));
            top += STEPS_AHEAD;
        }
        run_for(&mut group, &mut now, TICK);
    }
    // A rank that is prepared can't start a step before it has read the decision,
    // since the step could be on either map. That takes four platform delays: the
    // rank writes that it is prepared, the coordinator reads that and writes the
    // decision, and the rank reads it.
    let agreement = match method {
        ChangeMethod::Grants | ChangeMethod::Stop => MESSAGE_DELAY * 2,
        ChangeMethod::TwoPhase => {
            run_through(&mut group, &mut now, top);
            PLATFORM_DELAY * 4 + outage
        }
    };
    run_for(&mut group, &mut now, agreement);
    order_all(&mut group, now, &grant(top + 1, top + 400, 2));
    run_for(&mut group, &mut now, STEP_TIME * 300);
    assert!(group.history().iter().any(|entry| entry.epoch == 2));
    group.idle_time().saturating_sub(idle_time_before)
}

fn main() {
    let outage = Duration::from_mins(1);
    let json = std::env::args().any(|argument| argument == "--json");
    for (case, outage) in [("healthy", Duration::ZERO), ("platform-down-60s", outage)] {
        for method in [
            ChangeMethod::Grants,
            ChangeMethod::Stop,
            ChangeMethod::TwoPhase,
        ] {
            let stall = measure_stall(method, outage).as_millis();
            let method = format!("{method:?}").to_lowercase();
            if json {
                println!("{{\"case\":\"{case}\",\"way\":\"{method}\",\"stall_ms\":{stall}}}");
            } else {
                println!("{case:18} {method:9} {stall:6} ms");
            }
        }
    }
}
