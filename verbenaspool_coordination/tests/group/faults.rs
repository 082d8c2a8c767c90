//! The table of faults.

use std::time::Duration;

use verbenaspool_coordination::group::{engine::Action, lead, message::Refusal, schedule::Span};
use verbenaspool_standin::history::steps::Violation;

use crate::world::{Fate, PATIENCE, World, commits, staged};

/// The epoch of the first map under the first fence.
const FIRST: u64 = 1_000_001;

/// The fate of what is hit; all else passes.
fn when(hit: bool, fate: Fate) -> Fate {
    if hit { fate } else { Fate::Pass }
}

/// How a case goes: it starts on a group that runs on its first map.
type Play = fn(&mut World);

/// Plays a case with engines of both kinds. At its end the group runs on the
/// map that it names, has come further, and no step was mixed.
fn play(case: &str, epoch: u64, play: Play) {
    for checked in [true, false] {
        let mut world = World::running(checked);
        play(&mut world);
        let case = format!("{case}, fences checked: {checked}");
        let before = world.group.done(0);
        world.run(8_000);
        assert!(world.check().is_ok(), "{case}: {:?}", world.check());
        assert!(
            world.group.done(0) > before + 100,
            "{case}: the group stands"
        );
        let running: Vec<_> = (0..3)
            .map(|seat| world.member(seat).rank().running())
            .collect();
        assert_eq!(running, [Some(epoch); 3], "{case}");
    }
}

/// A skipper's quote is half a sentence when the map changes. The change is
/// staged while steps go on, and no step waits for it.
#[test]
fn change_without_a_stall() {
    for checked in [true, false] {
        let mut world = World::running(checked);
        let waited = world.group.waited();
        assert!(world.change(0, 1));
        world.run(10_000);
        assert_eq!(world.group.waited(), waited);
        assert_eq!(world.member(2).rank().running(), Some(FIRST + 1));
        assert!(world.check().is_ok());
    }
}

/// Users see garbled text when one rank misses the change and goes on with the
/// old map. Here the grant that names the new map is lost, repeated or late on
/// its way to one rank, whose group waits for it instead.
#[test]
fn commit_lost_repeated_or_late() {
    play("lost to rank 2 for a second", FIRST + 1, |world| {
        let mut left = 10;
        world.filter = Box::new(move |_, to, message| {
            let hit = to == 2 && commits(message, FIRST) && left > 0;
            left -= u32::from(hit);
            when(hit, Fate::Lose)
        });
        assert!(world.change(0, 1));
    });
    play("repeated after minutes", FIRST + 2, |world| {
        world.filter = Box::new(|_, _, message| {
            when(
                commits(message, FIRST),
                Fate::Twice(Duration::from_secs(150)),
            )
        });
        assert!(world.change(0, 1));
        world.run(60_000);
        assert!(world.change(0, 2));
        world.run(160_000);
    });
    play("late by minutes to rank 1", FIRST + 1, |world| {
        let mut left = 3;
        world.filter = Box::new(move |_, to, message| {
            let hit = to == 1 && commits(message, FIRST) && left > 0;
            left -= u32::from(hit);
            when(hit, Fate::Late(Duration::from_mins(2)))
        });
        assert!(world.change(0, 1));
        world.run(125_000);
    });
}

/// The lead's agent dies while a map changes; another agent takes the lease.
/// Ranks hold different grants, and the new lead must not give a step that one
/// of them was granted a second map.
#[test]
fn lead_dies_around_the_switch() {
    play("before the switch", FIRST, |world| {
        world.filter = Box::new(|_, _, message| when(staged(message), Fate::Lose));
        assert!(world.change(0, 1));
        world.run(300);
        world.restart(0);
        world.lead(1);
    });
    play(
        "during it: rank 1 has the grant, rank 2 not",
        FIRST + 1,
        |world| {
            world.filter =
                Box::new(|_, to, message| when(to != 1 && commits(message, FIRST), Fate::Lose));
            assert!(world.change(0, 1));
            assert!(world.until(5_000, |world| world.notices.len() > 1));
            world.run(1_500);
            world.restart(0);
            world.filter = Box::new(|_, _, _| Fate::Pass);
            world.lead(2);
        },
    );
    play("after it", FIRST + 1, |world| {
        assert!(world.change(0, 1));
        world.run(6_000);
        world.restart(0);
        world.lead(1);
    });
    play("and leads again", 2_000_001, |world| {
        world.restart(0);
        world.lead(0);
        world.run(2_000);
        assert!(world.change(0, 1));
    });
}

/// The lead is paused past its lease, another takes over and changes the map;
/// then the old one wakes and goes on as if nothing had happened.
#[test]
fn lead_paused_past_its_lease() {
    play("wakes as the old lead", 2_000_001, |world| {
        world.pause(0, 6_000);
        world.lead(1);
        world.run(7_000);
        assert!(world.change(1, 1));
        assert!(world.member(0).lead().is_none());
    });
    play("while its own change is under way", 2_000_001, |world| {
        assert!(world.change(0, 1));
        world.pause(0, 3_000);
        world.run(100);
        world.lead(1);
        world.run(4_000);
        assert!(world.change(1, 2));
    });
}

/// Two agents believe that they lead and both propose a map at once. Only the
/// one with the higher fence gets all ranks' promises.
#[test]
fn two_leads_and_racing_changes() {
    play("two leads", 2_000_001, |world| {
        let cut = |from: u16, to: u16| from != to && (from == 0 || to == 0);
        world.filter =
            Box::new(move |from, to, _| when(cut(from, to), Fate::Late(Duration::from_secs(3))));
        assert!(world.change(0, 1));
        world.lead(1);
        world.run(4_000);
        world.filter = Box::new(|_, _, _| Fate::Pass);
        world.run(4_000);
        assert!(world.change(1, 2));
    });
    play("two changes at one lead", FIRST + 1, |world| {
        assert!(world.change(0, 1));
        assert!(!world.change(0, 2));
    });
}

/// A rank's agent is replaced and knows nothing: neither the fence that it
/// promised nor the steps that it let its engine run.
#[test]
fn rank_agent_restarts() {
    play("between changes", FIRST + 1, |world| {
        world.restart(2);
        world.run(1_500);
        assert!(world.change(0, 1));
    });
    play("in the middle of one", FIRST + 1, |world| {
        assert!(world.change(0, 1));
        world.run(30);
        world.restart(2);
    });
    play("all at once, and a new lead", 2_000_001, |world| {
        (0..3).for_each(|seat| world.restart(seat));
        world.lead(1);
        world.run(3_000);
        assert!(world.change(1, 1));
    });
    play(
        "having promised a new lead, with the old one awake",
        2_000_001,
        |world| {
            world.filter = Box::new(|from, to, _| {
                when(from == 1 && to == 0, Fate::Late(Duration::from_secs(4)))
            });
            world.lead(1);
            world.run(600);
            world.restart(2);
            world.run(5_000);
            world.filter = Box::new(|_, _, _| Fate::Pass);
            assert!(world.until(3_000, |world| {
                world.member(1).lead().is_some_and(lead::Lead::is_granting)
            }));
            assert!(world.change(1, 1));
        },
    );
}

/// An engine is restarted and holds neither steps nor weights. The others wait
/// in a step for it; it loads its experts again and joins them there.
#[test]
fn engine_restarts() {
    play("and joins again", FIRST, |world| {
        world.group.restart(1);
        world.run(5_000);
    });
    play("in the middle of a change", FIRST + 1, |world| {
        assert!(world.change(0, 1));
        world.run(100);
        world.group.restart(1);
        world.run(5_000);
    });
}

/// The weight store is slow or refuses. The change waits or is given up, and
/// the group goes on with its map.
#[test]
fn weight_store_slow_or_refusing() {
    play("refusing for good", FIRST, |world| {
        world.group.store().refuse(true);
        assert!(world.change(0, 1));
        world.run(6_000);
        let aborted = |notice: &lead::Output| matches!(notice, lead::Output::Aborted { .. });
        assert!(world.notices.iter().any(aborted));
    });
    play("refusing for a while", FIRST + 1, |world| {
        world.group.store().refuse(true);
        assert!(world.change(0, 1));
        world.run(1_000);
        world.group.store().refuse(false);
    });
    play("too slow, then a change that fits", FIRST + 2, |world| {
        world.group.store().limit(100);
        assert!(world.change(0, 1));
        world.run(u64::try_from(PATIENCE.as_millis()).unwrap() + 1_000);
        world.group.store().limit(100_000);
        world.run(60_000);
        assert!(world.change(0, 2));
    });
}

/// One rank stalls for seconds in the middle of a change: the group waits for
/// it and nobody runs ahead.
#[test]
fn rank_stalls() {
    play("in a change", FIRST + 1, |world| {
        world.group.stall(1, world.now + Duration::from_secs(3));
        assert!(world.change(0, 1));
        world.run(3_000);
    });
}

/// The platform is down throughout: no lease can be had or renewed. Steps go
/// on, maps change, and an agent that restarts finds its place without it.
#[test]
fn platform_down() {
    play("for minutes", FIRST + 2, |world| {
        assert!(world.change(0, 1));
        world.run(60_000);
        world.restart(1);
        world.run(60_000);
        assert!(world.change(0, 2));
    });
}

/// An agent was paused between its check and its send, and replaced meanwhile.
/// When it wakes, its order reaches an engine that ignores fences. Where the
/// step hasn't run, the order is found and taken back; where it has, the mixed
/// step is reported. An engine that checks fences refuses it.
#[test]
fn late_order_to_the_engine() {
    for checked in [true, false] {
        let mut world = World::running(checked);
        world.lead(1);
        world.run(3_000);
        assert!(world.change(1, 1));
        world.run(6_000);
        let done = world.group.done(2);
        let spans = vec![Span {
            from: done + 20,
            to: done + 24,
            epoch: FIRST,
        }];
        world.inject(2, 1, Action::Grant { spans });
        world.run(3_000);
        assert!(world.check().is_ok(), "{:?}", world.check());
        let found = world
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
    let mut world = World::running(false);
    assert!(world.change(0, 1));
    assert!(world.until(5_000, |world| world.group.state(2, 0).loaded.len() > 1));
    let step = world.group.done(2) + 1;
    let spans = vec![Span {
        from: step,
        to: step,
        epoch: FIRST + 1,
    }];
    world.inject(2, 0, Action::Grant { spans });
    world.run(50);
    assert!(matches!(world.check(), Err(Violation::Mixed { .. })));
}

/// Operators read why a command was refused.
#[test]
fn refusals_say_why() {
    let refusal = Refusal::Fence { fence: 7 };
    assert_eq!(refusal.to_string(), "fence 7 was seen");
}
