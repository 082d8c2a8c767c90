//! Slow ranks of lock-stepped groups, and streams that stall with their group.

use verbenaspool_policy::dispatch::{Dispatcher, Verdict, slow::StallScope};

use crate::simulation::{Outcomes, Simulation, engine, ms, replica, stream};

/// A dispatcher with `count` ranks of one group.
fn group(count: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas: Vec<_> = (0..count).map(|n| replica(&format!("u{n}"), 12)).collect();
    dispatcher.set_engine(Some(&engine()));
    dispatcher.set_upstreams(replicas.iter());
    for number in 0..count {
        dispatcher.record_status(ms(0), &format!("u{number}"), 7, true, 1.0);
    }
    dispatcher
}

/// Guards against a rank that becomes 12 times slower for 8 s and makes all streams late
/// during that time, because each pass waits for it while it has a stream. If it gets no
/// new streams and its streams are moved, streams are late for about a second.
#[test]
fn callers_are_late_for_about_a_second_when_a_rank_slows_down() {
    let mut simulation = Simulation::new(4, 12);
    simulation.run(&[10.0; 4], 4_000);
    simulation.set_pace(3, 12.0);
    simulation.run(&[10.0; 4], 2_500);
    let onset = simulation.outcomes;
    simulation.run(&[10.0; 4], 5_500);
    let Outcomes {
        on_time,
        late,
        rejected,
    } = simulation.outcomes - onset;
    assert!(
        on_time > 180,
        "{on_time} on time, {late} late, {rejected} rejected"
    );
    assert!(late * 10 < on_time, "{late} late and {on_time} on time");
    assert!(
        rejected * 10 < on_time,
        "{rejected} rejected and {on_time} on time"
    );
}

/// A rank that is no longer slow gets its share of new streams.
#[test]
fn a_recovered_rank_gets_streams() {
    let mut simulation = Simulation::new(4, 12);
    simulation.set_pace(3, 5.0);
    simulation.run(&[10.0; 4], 3_000);
    assert_eq!(simulation.stream_count(3), 0);
    simulation.set_pace(3, 1.0);
    simulation.run(&[10.0; 4], 3_000);
    assert!(simulation.stream_count(3) > 0);
}

/// Guards against requests that are rejected because all ranks are slow. None of them
/// counts as slow if they are equally so.
#[test]
fn equally_slow_ranks_serve() {
    let mut dispatcher = group(3);
    for number in 0..3 {
        dispatcher.record_status(ms(1), &format!("u{number}"), 7, true, 6.0);
    }
    dispatcher.submit(ms(2), 1, stream(2));
    let verdicts = dispatcher.process_queue(ms(2));
    assert!(matches!(verdicts[..], [(1, Verdict::Send(_))]));
    assert!(!dispatcher.is_slow(ms(2), "u0"));
}

/// Guards against moving the streams of a group that stalls for a second as a whole. On
/// another rank of the group, each stream waited again, behind prompts that were read
/// twice. A stream only counts as stuck by itself if others of its group continue.
#[test]
fn streams_that_stall_together_stay() {
    let mut dispatcher = group(3);
    dispatcher.record_event(ms(1_000), "u0");
    dispatcher.record_event(ms(1_004), "u1");
    assert_eq!(
        dispatcher.classify_stall(ms(1_800), "u0", ms(1_000)),
        StallScope::Service
    );
    dispatcher.record_event(ms(1_700), "u1");
    assert_eq!(
        dispatcher.classify_stall(ms(1_800), "u0", ms(1_000)),
        StallScope::Stream
    );
}

/// The same with a second group that runs: streams can move there.
#[test]
fn streams_of_a_stalled_group_move_to_another_one() {
    let mut dispatcher = group(4);
    for number in 2..4 {
        dispatcher.record_status(ms(0), &format!("u{number}"), 8, true, 1.0);
    }
    dispatcher.record_event(ms(1_000), "u0");
    assert_eq!(
        dispatcher.classify_stall(ms(1_800), "u0", ms(1_000)),
        StallScope::Group
    );
    assert_eq!(dispatcher.group_members("u0").len(), 2);
}

/// Guards against upstreams without a group that are taken for a single one. A stream that
/// stalled while no other ran was moved too late.
#[test]
fn stalls_without_a_group_concern_a_single_stream() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    dispatcher.set_upstreams([replica("u0", 12), replica("u1", 12)].iter());
    dispatcher.record_event(ms(1_000), "u0");
    assert_eq!(
        dispatcher.classify_stall(ms(1_800), "u0", ms(1_000)),
        StallScope::Stream
    );
}
