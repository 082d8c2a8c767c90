//! Tests of single steps of the expert map switch.

use std::time::Duration;

use verbenaspool_coordination::switch::{Order, Outcome, RankOrder, Report, Switch};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn report_all(switch: &mut Switch, now: Duration, reports: &[Report]) {
    for (rank, report) in reports.iter().enumerate() {
        switch.report(now, rank, *report);
    }
}

/// A change takes four rounds of orders. The lead's own rank is armed after another one,
/// and the pass is released after all ranks are armed.
#[test]
fn a_change_holds_before_it_arms() {
    let mut switch = Switch::new(3);
    let mut reports = [Report {
        epoch: 1,
        step: 7,
        ..Report::default()
    }; 3];
    report_all(&mut switch, ms(1_000), &reports);
    assert!(switch.is_ready(ms(1_000)));
    switch.start(ms(1_000), 5, ms(150));
    let (orders, _) = switch.poll(ms(1_000));
    assert_eq!(orders.len(), 3);
    assert!(
        orders
            .iter()
            .all(|send| send.order == Order::Prepare { version: 5 })
    );
    for report in &mut reports {
        report.prepared_version = Some(5);
    }
    report_all(&mut switch, ms(1_200), &reports);
    let hold = RankOrder {
        rank: 1,
        order: Order::Hold { step: 9 },
    };
    assert_eq!(switch.poll(ms(1_200)).0, [hold]);
    reports[1].held_step = Some(9);
    report_all(&mut switch, ms(1_205), &reports);
    let arm = Order::Arm {
        version: 5,
        step: 9,
    };
    let arms = [1, 2].map(|rank| RankOrder { rank, order: arm });
    assert_eq!(switch.poll(ms(1_205)).0, arms);
    assert_eq!(switch.poll(ms(1_209)).0, []);
    reports[2].armed_version = Some(5);
    report_all(&mut switch, ms(1_210), &reports);
    assert_eq!(
        switch.poll(ms(1_210)).0,
        [RankOrder {
            rank: 0,
            order: arm
        }]
    );
    reports[0].armed_version = Some(5);
    report_all(&mut switch, ms(1_215), &reports);
    assert_eq!(switch.poll(ms(1_215)).0, []);
    reports[1].armed_version = Some(5);
    report_all(&mut switch, ms(1_265), &reports);
    let go = RankOrder {
        rank: 1,
        order: Order::Go { step: 9 },
    };
    assert_eq!(switch.poll(ms(1_265)).0, [go]);
    for report in &mut reports {
        *report = Report {
            epoch: 1,
            step: 9,
            map_version: 5,
            ..Report::default()
        };
    }
    report_all(&mut switch, ms(1_300), &reports);
    assert_eq!(
        switch.poll(ms(1_300)),
        (Vec::new(), Some(Outcome::Completed(5)))
    );
}

/// The group re-forms during a change: the ranks start over with the initial map, and no
/// order of the old epoch may be sent any more.
#[test]
fn a_new_epoch_ends_a_change() {
    let mut switch = Switch::new(2);
    let reports = [Report {
        epoch: 1,
        step: 7,
        ..Report::default()
    }; 2];
    report_all(&mut switch, ms(0), &reports);
    switch.start(ms(0), 5, ms(150));
    switch.report(
        ms(10),
        1,
        Report {
            epoch: 2,
            ..Report::default()
        },
    );
    assert!(switch.is_idle());
    assert_eq!(switch.poll(ms(10)).0, []);
    switch.report(ms(11), 0, reports[0]);
    assert_eq!(switch.epoch(), 2);
    assert!(!switch.is_ready(ms(11)));
}

/// A new lead that has found a pass held by a crashed lead and blocks arming for it.
fn switch_with_orphaned_hold(reports: &mut [Report; 2]) -> Switch {
    let mut switch = Switch::new(2);
    reports[1].held_step = Some(8);
    for now in [0, 100] {
        report_all(&mut switch, ms(now), reports);
        assert_eq!(switch.poll(ms(now)).0, []);
    }
    report_all(&mut switch, ms(200), reports);
    let bar = RankOrder {
        rank: 1,
        order: Order::BlockArming { step: 8 },
    };
    assert_eq!(switch.poll(ms(200)).0, [bar]);
    reports[1].arming_blocked_through = 8;
    switch
}

/// The lead crashes while it arms the ranks. Its successor finds a held pass for which an
/// arm order was passed on, so it completes the change.
#[test]
fn a_held_pass_of_a_dead_lead_is_finished() {
    let copied = Report {
        epoch: 1,
        step: 7,
        prepared_version: Some(5),
        ..Report::default()
    };
    let mut reports = [copied; 2];
    reports[1].last_arm_step = 8;
    let mut switch = switch_with_orphaned_hold(&mut reports);
    report_all(&mut switch, ms(260), &reports);
    switch.poll(ms(260));
    let finish = Order::Finish {
        version: 5,
        step: 8,
    };
    let finishes = [0, 1].map(|rank| RankOrder {
        rank,
        order: finish,
    });
    assert_eq!(switch.poll(ms(310)).0, finishes);
    for report in &mut reports {
        report.armed_version = Some(5);
    }
    report_all(&mut switch, ms(320), &reports);
    let go = RankOrder {
        rank: 1,
        order: Order::Go { step: 8 },
    };
    assert_eq!(switch.poll(ms(320)).0, [go]);
}

/// The lead crashed before any arm order: the pass begins with the old map, although the
/// lead's own rank is unreachable.
#[test]
fn a_held_pass_that_nobody_is_armed_for_begins() {
    let copied = Report {
        epoch: 1,
        step: 7,
        prepared_version: Some(5),
        ..Report::default()
    };
    let mut reports = [copied; 2];
    let mut switch = switch_with_orphaned_hold(&mut reports);
    switch.report(ms(700), 1, reports[1]);
    let go = RankOrder {
        rank: 1,
        order: Order::Go { step: 8 },
    };
    assert_eq!(switch.poll(ms(700)).0, [go]);
}

/// The lead freezes right after it armed its own rank and reported that. An agent that
/// stands in doesn't wait for it to resume, since the rank stays armed until the pass.
#[test]
fn a_frozen_lead_that_said_it_is_armed_isnt_waited_for() {
    let armed = Report {
        epoch: 1,
        step: 7,
        prepared_version: Some(5),
        armed_version: Some(5),
        last_arm_step: 8,
        ..Report::default()
    };
    let mut reports = [armed; 2];
    let mut switch = switch_with_orphaned_hold(&mut reports);
    switch.report(ms(700), 1, reports[1]);
    switch.poll(ms(700));
    let go = RankOrder {
        rank: 1,
        order: Order::Go { step: 8 },
    };
    assert_eq!(switch.poll(ms(700)).0, [go]);
}

/// The holder doesn't report the hold in time. The order may still be executed late, and
/// other agents may have found the pass held, so arming is blocked before any `go`.
#[test]
fn a_hold_that_times_out_blocks_arming() {
    let mut switch = Switch::new(2);
    let reports = [Report {
        epoch: 1,
        step: 7,
        prepared_version: Some(5),
        ..Report::default()
    }; 2];
    report_all(&mut switch, ms(1_000), &reports);
    switch.start(ms(1_000), 5, ms(150));
    switch.poll(ms(1_000));
    report_all(&mut switch, ms(1_500), &reports);
    let bar = RankOrder {
        rank: 1,
        order: Order::BlockArming { step: 9 },
    };
    assert_eq!(switch.poll(ms(1_500)), (vec![bar], None));
}

/// Guards against a needless delay with long passes. With a slow rank each pass takes
/// 0.6 s, and holding the pass after the next one delayed the change that relieves the rank
/// by another 0.6 s. Orders arrive well within such a pass, so the next one is held.
#[test]
fn the_next_pass_is_held_where_passes_are_long() {
    for (pass, held) in [(60, 10), (600, 9)] {
        let mut switch = Switch::new(2);
        let mut reports = [Report {
            epoch: 1,
            step: 7,
            ..Report::default()
        }; 2];
        report_all(&mut switch, ms(1_000 - pass), &reports);
        for report in &mut reports {
            report.step = 8;
        }
        report_all(&mut switch, ms(1_000), &reports);
        switch.start(ms(1_000), 5, ms(150));
        for report in &mut reports {
            report.prepared_version = Some(5);
        }
        report_all(&mut switch, ms(1_010), &reports);
        let hold = RankOrder {
            rank: 1,
            order: Order::Hold { step: held },
        };
        assert_eq!(switch.poll(ms(1_010)).0, [hold], "passes of {pass} ms");
    }
}

/// One rank of three can't copy, and the change is abandoned. The switch names the rank;
/// without that, operators had to search for it among 63 ranks.
#[test]
fn an_abandoned_change_names_the_unprepared_ranks() {
    let mut switch = Switch::new(3);
    let mut reports = [Report {
        epoch: 1,
        step: 7,
        ..Report::default()
    }; 3];
    report_all(&mut switch, ms(1_000), &reports);
    switch.start(ms(1_000), 5, ms(150));
    reports[0].prepared_version = Some(5);
    reports[2].prepared_version = Some(5);
    report_all(&mut switch, ms(4_000), &reports);
    let (_, outcome) = switch.poll(ms(4_000));
    assert_eq!(outcome, Some(Outcome::Abandoned(5)));
    assert_eq!(switch.unprepared_ranks(), [1]);
}
