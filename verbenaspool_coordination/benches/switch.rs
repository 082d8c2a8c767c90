//! How long ranks stand for a change of map: grants, against stopping the group
//! and against two-phase commit through the platform. Time is played, so the
//! figures don't depend on the machine: `cargo bench --bench switch`.

use std::time::Duration;

use verbenaspool_coordination::group::{engine::Action, schedule::Span};
use verbenaspool_standin::{
    ranks::{Group, Settings},
    weights::Store,
};
use verbenaspool_state::expert_map::{Map, Shape};

/// The group.
const SHAPE: Shape = Shape {
    ranks: 8,
    experts: 64,
    layers: 4,
    slots: 10,
};
/// How long a step takes.
const STEP: Duration = Duration::from_millis(25);
/// How many steps are granted ahead. It is kept low here, so that it hides little.
const AHEAD: u64 = 8;
/// The resolution of played time.
const BEAT: Duration = Duration::from_millis(1);
/// The size of one expert's weights.
const EXPERT_BYTES: u64 = 44_040_192;
/// The rate of the weight store, in bytes a second.
const STORE: u64 = 2_000_000_000;
/// How long a message between agents or an order to an engine takes.
const MESSAGE: Duration = Duration::from_millis(1);
/// How long a write to the platform takes, and an event from it.
const PLATFORM: Duration = Duration::from_millis(5);

/// How a change is agreed.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// Named in the grant of steps beyond those granted.
    Grants,
    /// The group stops, loads, and goes on.
    Stop,
    /// Ranks load, write that they are prepared, hold, and read the decision.
    TwoPhase,
}

/// Lets the group end the steps up to this one.
fn finish(group: &mut Group, now: &mut Duration, step: u64) {
    while group.done(0) < step {
        *now += BEAT;
        group.advance(*now);
    }
    // The last one has started.
    let end = *now + STEP;
    while *now < end {
        *now += BEAT;
        group.advance(*now);
    }
}

/// Plays one change and returns how long the group stood.
fn play(way: Way, outage: Duration) -> Duration {
    let settings = Settings {
        ranks: SHAPE.ranks,
        step: STEP,
        checked: true,
        expert_bytes: EXPERT_BYTES,
    };
    let mut group = Group::new(settings, Store::new(STORE));
    let mut now = Duration::ZERO;
    let all = |group: &mut Group, now: Duration, action: &Action| {
        for seat in 0..SHAPE.ranks {
            group.order(now, seat, 1, action.clone());
        }
    };
    let run = |group: &mut Group, now: &mut Duration, time: Duration| {
        let end = *now + time;
        while *now < end {
            *now += BEAT;
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
    let first = Map::spread(1, SHAPE);
    all(&mut group, now, &stage(first.clone()));
    run(&mut group, &mut now, Duration::from_mins(1));
    all(&mut group, now, &grant(1, AHEAD, 1));
    run(&mut group, &mut now, STEP * 2);
    let mut second = Map { epoch: 2, ..first };
    for layer in &mut second.layers {
        layer.ranks.rotate_left(1);
    }
    let stood = group.waited();
    let mut top = AHEAD;
    if let Way::Stop = way {
        // The group ends what was granted, and stands from then on.
        finish(&mut group, &mut now, top);
    }
    all(&mut group, now, &stage(second));
    while !staged(&group) {
        // Steps go on while weights load, but for a group that was stopped.
        if !matches!(way, Way::Stop) && group.done(0) + AHEAD / 2 > top {
            all(&mut group, now, &grant(top + 1, top + AHEAD, 1));
            top += AHEAD;
        }
        run(&mut group, &mut now, BEAT);
    }
    // From when a rank says that it is prepared until it has read the decision,
    // it may start no step: it could be on either map. It writes that to the
    // platform, the coordinator sees it, writes the decision, the rank sees it.
    let agreed = match way {
        Way::Grants | Way::Stop => MESSAGE * 2,
        Way::TwoPhase => {
            finish(&mut group, &mut now, top);
            PLATFORM * 4 + outage
        }
    };
    run(&mut group, &mut now, agreed);
    all(&mut group, now, &grant(top + 1, top + 400, 2));
    run(&mut group, &mut now, STEP * 300);
    assert!(group.history().iter().any(|entry| entry.epoch == 2));
    group.waited().saturating_sub(stood)
}

fn main() {
    let outage = Duration::from_mins(1);
    let json = std::env::args().any(|argument| argument == "--json");
    for (case, outage) in [("healthy", Duration::ZERO), ("platform-down-60s", outage)] {
        for way in [Way::Grants, Way::Stop, Way::TwoPhase] {
            let stall = play(way, outage).as_millis();
            let way = format!("{way:?}").to_lowercase();
            if json {
                println!("{{\"case\":\"{case}\",\"way\":\"{way}\",\"stall_ms\":{stall}}}");
            } else {
                println!("{case:18} {way:9} {stall:6} ms");
            }
        }
    }
}
