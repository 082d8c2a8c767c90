//! The table of faults.

use std::time::Duration;

use verbenaspool_coordination::group::{engine::Action, lead, message::Refusal, schedule::Span};
use verbenaspool_standin::history::steps::Violation;

use crate::simulation::{
    Delivery, STAGING_TIMEOUT, Simulation, grants_epoch_above, is_staged_report,
};

/// The epoch of the first map under the first fence.
const FIRST_EPOCH: u64 = 1_000_001;

/// The fate of what is hit; all else passes.
fn when(hit: bool, delivery: Delivery) -> Delivery {
    if hit { delivery } else { Delivery::Normal }
}

/// How a case goes: it starts on a group that runs on its first map.
type Case = fn(&mut Simulation);

/// Plays a case with engines of both kinds. At its end the group runs on the
/// map that it names, has come further, and no step was mixed.
fn run_case(case: &str, epoch: u64, steps: Case) {
    for checked in [true, false] {
        let mut simulation = Simulation::running(checked);
        steps(&mut simulation);
        let case = format!("{case}, fences checked: {checked}");
        let before = simulation.group.done(0);
        simulation.run_ms(8_000);
        assert!(
            simulation.check_history().is_ok(),
            "{case}: {:?}",
            simulation.check_history()
        );
        assert!(
            simulation.group.done(0) > before + 100,
            "{case}: the group stands"
        );
        let running: Vec<_> = (0..3)
            .map(|seat| simulation.member(seat).rank().running())
            .collect();
        assert_eq!(running, [Some(epoch); 3], "{case}");
    }
}

/// A skipper's quote is half a sentence when the map changes. The change is
/// staged while steps go on, and no step waits for it.
#[test]
fn change_without_a_stall() {
    for checked in [true, false] {
        let mut simulation = Simulation::running(checked);
        let waited = simulation.group.waited();
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(10_000);
        assert_eq!(simulation.group.waited(), waited);
        assert_eq!(simulation.member(2).rank().running(), Some(FIRST_EPOCH + 1));
        assert!(simulation.check_history().is_ok());
    }
}

/// Users see garbled text when one rank misses the change and goes on with the
/// old map. Here the grant that names the new map is lost, repeated or late on
/// its way to one rank, whose group waits for it instead.
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
    run_case("repeated after minutes", FIRST_EPOCH + 2, |simulation| {
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
    run_case("late by minutes to rank 1", FIRST_EPOCH + 1, |simulation| {
        let mut left = 3;
        simulation.message_faults = Box::new(move |_, to, message| {
            let hit = to == 1 && grants_epoch_above(message, FIRST_EPOCH) && left > 0;
            left -= u32::from(hit);
            when(hit, Delivery::Delay(Duration::from_mins(2)))
        });
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(125_000);
    });
}

/// The lead's agent dies while a map changes; another agent takes the lease.
/// Ranks hold different grants, and the new lead must not give a step that one
/// of them was granted a second map.
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
        "during it: rank 1 has the grant, rank 2 not",
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
    run_case("after it", FIRST_EPOCH + 1, |simulation| {
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(6_000);
        simulation.restart_agent(0);
        simulation.grant_lease(1);
    });
    run_case("and leads again", 2_000_001, |simulation| {
        simulation.restart_agent(0);
        simulation.grant_lease(0);
        simulation.run_ms(2_000);
        assert!(simulation.propose_map(0, 1));
    });
}

/// The lead is paused past its lease, another takes over and changes the map;
/// then the old one wakes and goes on as if nothing had happened.
#[test]
fn lead_paused_past_its_lease() {
    run_case("wakes as the old lead", 2_000_001, |simulation| {
        simulation.pause_agent(0, 6_000);
        simulation.grant_lease(1);
        simulation.run_ms(7_000);
        assert!(simulation.propose_map(1, 1));
        assert!(simulation.member(0).lead().is_none());
    });
    run_case(
        "while its own change is under way",
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

/// Two agents believe that they lead and both propose a map at once. Only the
/// one with the higher fence gets all ranks' promises.
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

/// A rank's agent is replaced and knows nothing: neither the fence that it
/// promised nor the steps that it let its engine run.
#[test]
fn rank_agent_restarts() {
    run_case("between changes", FIRST_EPOCH + 1, |simulation| {
        simulation.restart_agent(2);
        simulation.run_ms(1_500);
        assert!(simulation.propose_map(0, 1));
    });
    run_case("in the middle of one", FIRST_EPOCH + 1, |simulation| {
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(30);
        simulation.restart_agent(2);
    });
    run_case("all at once, and a new lead", 2_000_001, |simulation| {
        (0..3).for_each(|seat| simulation.restart_agent(seat));
        simulation.grant_lease(1);
        simulation.run_ms(3_000);
        assert!(simulation.propose_map(1, 1));
    });
    run_case(
        "having promised a new lead, with the old one awake",
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

/// An engine is restarted and holds neither steps nor weights. The others wait
/// in a step for it; it loads its experts again and joins them there.
#[test]
fn engine_restarts() {
    run_case("and joins again", FIRST_EPOCH, |simulation| {
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

/// The weight store is slow or refuses. The change waits or is given up, and
/// the group goes on with its map.
#[test]
fn weight_store_slow_or_refusing() {
    run_case("refusing for good", FIRST_EPOCH, |simulation| {
        simulation.group.store().refuse(true);
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(6_000);
        let aborted = |notice: &lead::Output| matches!(notice, lead::Output::Aborted { .. });
        assert!(simulation.notices.iter().any(aborted));
    });
    run_case("refusing for a while", FIRST_EPOCH + 1, |simulation| {
        simulation.group.store().refuse(true);
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(1_000);
        simulation.group.store().refuse(false);
    });
    run_case(
        "too slow, then a change that fits",
        FIRST_EPOCH + 2,
        |simulation| {
            simulation.group.store().limit(100);
            assert!(simulation.propose_map(0, 1));
            simulation.run_ms(u64::try_from(STAGING_TIMEOUT.as_millis()).unwrap() + 1_000);
            simulation.group.store().limit(100_000);
            simulation.run_ms(60_000);
            assert!(simulation.propose_map(0, 2));
        },
    );
}

/// One rank stalls for seconds in the middle of a change: the group waits for
/// it and nobody runs ahead.
#[test]
fn rank_stalls() {
    run_case("in a change", FIRST_EPOCH + 1, |simulation| {
        simulation
            .group
            .stall(1, simulation.now + Duration::from_secs(3));
        assert!(simulation.propose_map(0, 1));
        simulation.run_ms(3_000);
    });
}

/// The platform is down throughout: no lease can be had or renewed. Steps go
/// on, maps change, and an agent that restarts finds its place without it.
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

/// An agent was paused between its check and its send, and replaced meanwhile.
/// When it wakes, its order reaches an engine that ignores fences. Where the
/// step hasn't run, the order is found and taken back; where it has, the mixed
/// step is reported. An engine that checks fences refuses it.
#[test]
fn late_order_to_the_engine() {
    for checked in [true, false] {
        let mut simulation = Simulation::running(checked);
        simulation.grant_lease(1);
        simulation.run_ms(3_000);
        assert!(simulation.propose_map(1, 1));
        simulation.run_ms(6_000);
        let done = simulation.group.done(2);
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

/// The checker of all these runs has to see a mixed step when there is one:
/// here two ranks are told different maps past all agents.
#[test]
fn checker_sees_a_mixed_step() {
    let mut simulation = Simulation::running(false);
    assert!(simulation.propose_map(0, 1));
    assert!(simulation.run_until(
        5_000,
        |simulation| simulation.group.state(2, 0).loaded.len() > 1
    ));
    let step = simulation.group.done(2) + 1;
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

/// Operators read why a command was refused.
#[test]
fn refusals_say_why() {
    let refusal = Refusal::Fence { fence: 7 };
    assert_eq!(refusal.to_string(), "fence 7 was seen");
}
