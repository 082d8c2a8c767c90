//! Crashes of upstreams, and whether the service can lose another one.

use std::rc::Rc;

use verbenaspool_policy::dispatch::{Dispatcher, Verdict};

use crate::simulation::{engine, ms, replica, stream};

/// Number of ranks of each group.
const RANKS: u32 = 4;

/// A dispatcher with `count` groups, which were reported to run.
fn groups(count: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let ids = 0..count * RANKS;
    let replicas: Vec<_> = ids.clone().map(|n| replica(&format!("u{n}"), 12)).collect();
    dispatcher.set_engine(Some(&engine()));
    dispatcher.set_upstreams(replicas.iter());
    for number in ids {
        let group = 1 + number / RANKS;
        dispatcher.record_status(ms(0), &format!("u{number}"), group, true, 1.0);
    }
    dispatcher
}

/// Submits a request and returns the upstream that it is sent to.
fn place(dispatcher: &mut Dispatcher, now: u64, ticket: u64) -> Option<Rc<str>> {
    dispatcher.submit(ms(now), ticket, stream(now));
    let verdicts = dispatcher.process_queue(ms(now));
    dispatcher.cancel(ticket);
    match verdicts.into_iter().find(|(other, _)| *other == ticket)?.1 {
        Verdict::Send(id) => Some(id),
        Verdict::Reject(_) => None,
    }
}

/// Guards against requests that are sent to a group that has lost a rank, before its
/// agents notice.
#[test]
fn the_group_of_a_crashed_rank_gets_nothing_until_it_runs() {
    let mut dispatcher = groups(2);
    dispatcher.record_crash(ms(10), "u1");
    for ticket in 0..4 {
        let id = place(&mut dispatcher, 20, ticket).expect("the other group runs");
        let number: u32 = id[1..].parse().expect("a number");
        assert!(
            number >= RANKS,
            "{id} belongs to the group that lost a rank"
        );
    }
    for number in 0..RANKS {
        dispatcher.record_status(ms(900), &format!("u{number}"), 1, true, 1.0);
    }
    let ids: Vec<_> = (30..34)
        .filter_map(|ticket| place(&mut dispatcher, 1_000, ticket))
        .collect();
    assert!(ids.iter().any(|id| ["u0", "u2", "u3"].contains(&&**id)));
}

/// Guards against a suspect request that crashes the last running group.
#[test]
fn a_service_with_one_of_two_groups_left_can_lose_none() {
    let mut dispatcher = groups(2);
    assert!(dispatcher.can_lose_one(ms(5)));
    dispatcher.record_crash(ms(10), "u1");
    assert!(!dispatcher.can_lose_one(ms(10)));
    for number in 0..RANKS {
        dispatcher.record_status(ms(900), &format!("u{number}"), 1, true, 1.0);
    }
    assert!(dispatcher.can_lose_one(ms(1_000)));
}

/// Guards against a service with a single group that never retries a suspect request.
#[test]
fn a_service_with_a_single_group_counts_as_if_it_could_lose_it() {
    let dispatcher = groups(1);
    assert!(dispatcher.can_lose_one(ms(5)));
    let mut dispatcher = groups(3);
    dispatcher.record_crash(ms(10), "u1");
    assert!(dispatcher.can_lose_one(ms(10)));
}

#[test]
fn upstreams_without_groups_count_individually() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    let replicas: Vec<_> = (0..3).map(|n| replica(&format!("u{n}"), 12)).collect();
    dispatcher.set_upstreams(replicas.iter());
    dispatcher.record_crash(ms(10), "u0");
    assert!(dispatcher.can_lose_one(ms(10)));
    dispatcher.record_crash(ms(20), "u1");
    assert!(!dispatcher.can_lose_one(ms(20)));
}
