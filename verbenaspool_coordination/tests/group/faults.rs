//! Tests of a group under one kind of fault each.

use std::time::Duration;

use verbenaspool_coordination::group::{engine::Action, lead, message::Rejection, schedule::Span};
use verbenaspool_standin::history::steps::Violation;

use crate::simulation::{
    Delivery, STAGING_TIMEOUT, Simulation, grants_epoch_above, is_staged_report,
};

/// The epoch of the first map under the first fence.
const FIRST_EPOCH: u64 = 1_000_001;

/// Returns `delivery` if the message is affected, else normal delivery.
fn when(hit: bool, delivery: Delivery) -> Delivery {
    if hit { delivery } else { Delivery::Normal }
}

/// The steps of a case, from a group that runs on its first map.
type Case = fn(&mut Simulation);

/// Runs a case with engines that check fences and with engines that ignore them.
/// At the end, the group must have made progress on the map `epoch`, and no step
/// may have run on two maps.
fn run_case(case: &str, epoch: u64, steps: Case) {
    for checked in [true, false] {
        let mut simulation = Simulation::running(checked);
        steps(&mut simulation);
        let case = format!("{case}, fences checked: {checked}");
        let before = simulation.group.last_step(0);
        simulation.run_ms(8_000);
        assert!(
            simulation.check_history().is_ok(),
            "{case}: {:?}",
            simulation.check_history()
        );
        assert!(
            simulation.group.last_step(0) > before + 100,
            "{case}: the group has stopped"
        );
        let running: Vec<_> = (0..3)
            .map(|seat| simulation.member(seat).rank().running())
            .collect();
        assert_eq!(running, [Some(epoch); 3], "{case}");
    }
}

/// Guards against answers that pause during a change of map. The map is staged
/// while steps go on, so no step has to wait for it.
#[test]
fn change_without_a_stall() {
    for checked in [true, false] {
        let mut simulation = Simulation::running(checked);
        let idle_time = simulation.group.idle_time();
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(10_000);
        assert_eq!(simulation.group.idle_time(), idle_time);
        assert_eq!(simulation.member(2).rank().running(), Some(FIRST_EPOCH + 1));
        assert!(simulation.check_history().is_ok());
    }
}

/// Guards against garbled answers when one rank continues on the old map, because
/// the grant that names the new map is lost, duplicated or delayed on its way to
/// that rank. The group has to wait for the rank.
#[test]
fn commit_lost_repeated_or_late() {
    run_case(
        "lost to rank 2 for a second",
        FIRST_EPOCH + 1,
        |simulation| {
            let mut left = 10;
            simulation.message_faults = Box::new(move |_, to, message| {
                let hit = to == 2 && grants_epoch_above(message, FIRST_EPOCH) && left > 0;
                left -= u32::from(hit);
                when(hit, Delivery::Drop)
            });
            assert!(simulation.propose_map(0, 1));
        },
    );
    run_case("duplicated after minutes", FIRST_EPOCH + 2, |simulation| {
        simulation.message_faults = Box::new(|_, _, message| {
            when(
                grants_epoch_above(message, FIRST_EPOCH),
                Delivery::Duplicate(Duration::from_secs(150)),
            )
        });
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(60_000);
        assert!(simulation.propose_map(0, 2));
        simulation.run_ms(160_000);
    });
    run_case(
        "delayed by minutes to rank 1",
        FIRST_EPOCH + 1,
        |simulation| {
            let mut left = 3;
            simulation.message_faults = Box::new(move |_, to, message| {
                let hit = to == 1 && grants_epoch_above(message, FIRST_EPOCH) && left > 0;
                left -= u32::from(hit);
                when(hit, Delivery::Delay(Duration::from_mins(2)))
            });
            assert!(simulation.propose_map(0, 1));
            simulation.run_ms(125_000);
        },
    );
}

/// Guards against a new lead that gives a second map to a step which a rank was
/// already granted. The lead's agent crashes during a change of map, when ranks
/// have different grants, and another agent acquires the lease.
#[test]
fn lead_dies_around_the_switch() {
    run_case("before the switch", FIRST_EPOCH, |simulation| {
        simulation.message_faults =
            Box::new(|_, _, message| when(is_staged_report(message), Delivery::Drop));
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(300);
        simulation.restart_agent(0);
        simulation.grant_lease(1);
    });
    run_case(
        "during the switch: rank 1 has the grant, rank 2 does not",
        FIRST_EPOCH + 1,
        |simulation| {
            simulation.message_faults = Box::new(|_, to, message| {
                when(
                    to != 1 && grants_epoch_above(message, FIRST_EPOCH),
                    Delivery::Drop,
                )
            });
            assert!(simulation.propose_map(0, 1));
            assert!(simulation.run_until(5_000, |simulation| simulation.notices.len() > 1));
            simulation.run_ms(1_500);
            simulation.restart_agent(0);
            simulation.message_faults = Box::new(|_, _, _| Delivery::Normal);
            simulation.grant_lease(2);
        },
    );
    run_case("after the switch", FIRST_EPOCH + 1, |simulation| {
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(6_000);
        simulation.restart_agent(0);
        simulation.grant_lease(1);
    });
    run_case("restarted lead leads again", 2_000_001, |simulation| {
        simulation.restart_agent(0);
        simulation.grant_lease(0);
        simulation.run_ms(2_000);
        assert!(simulation.propose_map(0, 1));
    });
}

/// Guards against an old lead that continues after a pause. Its lease expired
/// meanwhile, and another lead has changed the map.
#[test]
fn lead_paused_past_its_lease() {
    run_case("resumes as the old lead", 2_000_001, |simulation| {
        simulation.pause_agent(0, 6_000);
        simulation.grant_lease(1);
        simulation.run_ms(7_000);
        assert!(simulation.propose_map(1, 1));
        assert!(simulation.member(0).lead().is_none());
    });
    run_case(
        "while its own change is in progress",
        2_000_001,
        |simulation| {
            assert!(simulation.propose_map(0, 1));
            simulation.pause_agent(0, 3_000);
            simulation.run_ms(100);
            simulation.grant_lease(1);
            simulation.run_ms(4_000);
            assert!(simulation.propose_map(1, 2));
        },
    );
}

/// Guards against two leads that change the map at the same time. Only the one
/// with the higher fence is joined by all ranks.
#[test]
fn two_leads_and_racing_changes() {
    run_case("two leads", 2_000_001, |simulation| {
        let cut = |from: u16, to: u16| from != to && (from == 0 || to == 0);
        simulation.message_faults = Box::new(move |from, to, _| {
            when(cut(from, to), Delivery::Delay(Duration::from_secs(3)))
        });
        assert!(simulation.propose_map(0, 1));
        simulation.grant_lease(1);
        simulation.run_ms(4_000);
        simulation.message_faults = Box::new(|_, _, _| Delivery::Normal);
        simulation.run_ms(4_000);
        assert!(simulation.propose_map(1, 2));
    });
    run_case("two changes at one lead", FIRST_EPOCH + 1, |simulation| {
        assert!(simulation.propose_map(0, 1));
        assert!(!simulation.propose_map(0, 2));
    });
}

/// Guards against a restarted agent that follows an old lead. It has lost the
/// fence that it promised to follow and the steps that it granted to its engine.
#[test]
fn rank_agent_restarts() {
    run_case("between changes", FIRST_EPOCH + 1, |simulation| {
        simulation.restart_agent(2);
        simulation.run_ms(1_500);
        assert!(simulation.propose_map(0, 1));
    });
    run_case("in the middle of a change", FIRST_EPOCH + 1, |simulation| {
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(30);
        simulation.restart_agent(2);
    });
    run_case(
        "all agents at once, then a new lead",
        2_000_001,
        |simulation| {
            (0..3).for_each(|seat| simulation.restart_agent(seat));
            simulation.grant_lease(1);
            simulation.run_ms(3_000);
            assert!(simulation.propose_map(1, 1));
        },
    );
    run_case(
        "after it joined a new lead, with the old one running",
        2_000_001,
        |simulation| {
            simulation.message_faults = Box::new(|from, to, _| {
                when(
                    from == 1 && to == 0,
                    Delivery::Delay(Duration::from_secs(4)),
                )
            });
            simulation.grant_lease(1);
            simulation.run_ms(600);
            simulation.restart_agent(2);
            simulation.run_ms(5_000);
            simulation.message_faults = Box::new(|_, _, _| Delivery::Normal);
            assert!(simulation.run_until(3_000, |simulation| {
                simulation
                    .member(1)
                    .lead()
                    .is_some_and(lead::Lead::is_granting)
            }));
            assert!(simulation.propose_map(1, 1));
        },
    );
}

/// Guards against a group that stops for good after an engine restart. The engine
/// has lost its steps and weights; it has to load them again and join at the step
/// where the others wait.
#[test]
fn engine_restarts() {
    run_case("between changes", FIRST_EPOCH, |simulation| {
        simulation.group.restart(1);
        simulation.run_ms(5_000);
    });
    run_case("in the middle of a change", FIRST_EPOCH + 1, |simulation| {
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(100);
        simulation.group.restart(1);
        simulation.run_ms(5_000);
    });
}

/// Guards against a group that stops when the weight store is slow or rejects
/// loads. The change has to wait or abort while steps go on with the current map.
#[test]
fn weight_store_slow_or_rejecting() {
    run_case("rejecting permanently", FIRST_EPOCH, |simulation| {
        simulation.group.store().set_rejecting(true);
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(6_000);
        let aborted = |notice: &lead::Output| matches!(notice, lead::Output::Aborted { .. });
        assert!(simulation.notices.iter().any(aborted));
    });
    run_case("rejecting for a second", FIRST_EPOCH + 1, |simulation| {
        simulation.group.store().set_rejecting(true);
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(1_000);
        simulation.group.store().set_rejecting(false);
    });
    run_case(
        "too slow, then a change that fits",
        FIRST_EPOCH + 2,
        |simulation| {
            simulation.group.store().set_rate(100);
            assert!(simulation.propose_map(0, 1));
            simulation.run_ms(u64::try_from(STAGING_TIMEOUT.as_millis()).unwrap() + 1_000);
            simulation.group.store().set_rate(100_000);
            simulation.run_ms(60_000);
            assert!(simulation.propose_map(0, 2));
        },
    );
}

/// Guards against ranks that run ahead of one that stalls for seconds during a
/// change. The group has to wait for it.
#[test]
fn rank_stalls() {
    run_case("during a change", FIRST_EPOCH + 1, |simulation| {
        simulation
            .group
            .stall(1, simulation.now + Duration::from_secs(3));
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(3_000);
    });
}

/// Guards against a group that depends on the platform. While the platform is down
/// and no lease can be acquired or renewed, steps go on, maps change, and a
/// restarted agent recovers its state.
#[test]
fn platform_down() {
    run_case("for minutes", FIRST_EPOCH + 2, |simulation| {
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(60_000);
        simulation.restart_agent(1);
        simulation.run_ms(60_000);
        assert!(simulation.propose_map(0, 2));
    });
}

/// Guards against the late order of an agent that was paused between its check and
/// its send, and replaced meanwhile. An engine that checks fences rejects the
/// order. With one that ignores them, the order is detected: it is reverted if the
/// step hasn't run, and else the step on two maps is reported.
#[test]
fn late_order_to_the_engine() {
    for checked in [true, false] {
        let mut simulation = Simulation::running(checked);
        simulation.grant_lease(1);
        simulation.run_ms(3_000);
        assert!(simulation.propose_map(1, 1));
        simulation.run_ms(6_000);
        let done = simulation.group.last_step(2);
        let spans = vec![Span {
            from: done + 20,
            to: done + 24,
            epoch: FIRST_EPOCH,
        }];
        simulation.inject_order(2, 1, Action::Grant { spans });
        simulation.run_ms(3_000);
        assert!(
            simulation.check_history().is_ok(),
            "{:?}",
            simulation.check_history()
        );
        let found = simulation
            .notices
            .iter()
            .any(|notice| matches!(notice, lead::Output::Diverged { .. }));
        assert_eq!(found, !checked);
    }
}

/// Guards against a history checker that misses a step on two maps. Here two ranks
/// are given different maps, bypassing their agents.
#[test]
fn checker_sees_a_mixed_step() {
    let mut simulation = Simulation::running(false);
    assert!(simulation.propose_map(0, 1));
    assert!(simulation.run_until(
        5_000,
        |simulation| simulation.group.state(2, 0).loaded.len() > 1
    ));
    let step = simulation.group.last_step(2) + 1;
    let spans = vec![Span {
        from: step,
        to: step,
        epoch: FIRST_EPOCH + 1,
    }];
    simulation.inject_order(2, 0, Action::Grant { spans });
    simulation.run_ms(50);
    assert!(matches!(
        simulation.check_history(),
        Err(Violation::Mixed { .. })
    ));
}

/// Guards against rejections whose text doesn't name the reason.
#[test]
fn rejections_give_a_reason() {
    let rejection = Rejection::Fence { fence: 7 };
    assert_eq!(rejection.to_string(), "fence 7 was seen");
}

/// Guards against two leads that order the same group: the store has come back from a copy without
/// the lease, and another agent acquires it. The one that led before ends, also during a change of
/// map.
#[test]
fn lease_lost_with_the_store() {
    run_case("during a change", FIRST_EPOCH, |simulation| {
        simulation.message_faults =
            Box::new(|_, _, message| when(is_staged_report(message), Delivery::Drop));
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(300);
        simulation.lose_lease(0);
        assert!(simulation.member(0).lead().is_none());
        simulation.run_ms(1_000);
        simulation.message_faults = Box::new(|_, _, _| Delivery::Normal);
        simulation.grant_lease(1);
        simulation.run_ms(1_000);
        let leads = (0..3).filter(|seat| simulation.member(*seat).lead().is_some());
        assert_eq!(leads.collect::<Vec<_>>(), [1]);
    });
}
