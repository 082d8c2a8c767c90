use std::{rc::Rc, time::Duration};

use verbenaspool_policy::{
    attempt::Ending,
    decision::{Decision, Reason, Ticket},
    load::{CacheEvent, Report},
    request::Request,
};

use super::common::{
    RAN_OUTCOME, SECOND, admitted, balancer, member, name, outcome_with, rejected, request,
    single_attempt_settings, waiting, warm_up,
};

/// Guards against queueing a request that can't meet its deadline behind other work and
/// rejecting it only when the deadline has passed, ten seconds later. It is rejected
/// when offered, with the time until the queued work is done.
#[test]
fn late_requests_are_rejected_at_once() {
    let customer = name("bowen");
    let mut balancer = balancer(&single_attempt_settings(), &[member("loft-1")]);
    let now = warm_up(&mut balancer, &customer, 20);
    admitted(balancer.offer(now, &request(&customer, now)));
    let mut rejections = Vec::new();
    for _ in 0..20 {
        match balancer.offer(now, &request(&customer, now)) {
            Decision::Wait(_) => {}
            other => rejections.push(rejected(other)),
        }
    }
    assert!(rejections.len() >= 8, "{} of 20 rejected", rejections.len());
    for rejection in rejections {
        assert_eq!(rejection.reason, Reason::Late);
        assert!(rejection.retry_after > 4 * SECOND && rejection.retry_after < 20 * SECOND);
    }
}

/// A long request is queued, and short ones arrive that could all meet their deadlines
/// without it but not with it. The long one is displaced, and the next poll resolves its
/// ticket.
#[test]
fn the_largest_request_is_displaced_and_resolved_at_once() {
    let customer = name("quetzal");
    let mut balancer = balancer(&single_attempt_settings(), &[member("report-1")]);
    let now = warm_up(&mut balancer, &customer, 20);
    admitted(balancer.offer(now, &request(&customer, now)));
    let long = Request {
        max_tokens: 800,
        ..request(&customer, now)
    };
    let long = waiting(balancer.offer(now, &long));
    let mut displaced = None;
    for _ in 0..8 {
        waiting(balancer.offer(now, &request(&customer, now)));
        let wake = balancer.next_wake();
        let resolved = balancer.poll(now);
        if let Some(resolution) = resolved.first() {
            assert!(wake.is_some_and(|wake| wake <= now), "{wake:?}");
            displaced = Some(resolution.clone());
        }
    }
    let displaced = displaced.expect("the long request is displaced");
    assert_eq!(displaced.ticket, long);
    assert_eq!(
        displaced.result.map_err(|rejection| rejection.reason),
        Err(Reason::Displaced)
    );
}

/// A request with a higher priority starts before others of the same customer, but not
/// before those of another customer whose turn it is.
#[test]
fn priority_orders_requests_within_a_customer() {
    let (one, two) = (name("one"), name("two"));
    let mut balancer = balancer(&single_attempt_settings(), &[member("loft-1")]);
    let now = warm_up(&mut balancer, &one, 3);
    let running = admitted(balancer.offer(now, &request(&one, now)));
    let plain = waiting(balancer.offer(now, &request(&one, now)));
    let other = waiting(balancer.offer(now, &request(&two, now)));
    let urgent = Request {
        priority: 9,
        ..request(&one, now)
    };
    let urgent = waiting(balancer.offer(now, &urgent));
    assert_eq!(
        start_order(&mut balancer, running.attempt, now),
        [urgent, other, plain]
    );
}

/// Returns the tickets in the order in which they start, with one attempt per second.
fn start_order(
    balancer: &mut verbenaspool_policy::balancer::Balancer,
    mut running: verbenaspool_policy::attempt::Id,
    mut now: Duration,
) -> Vec<Ticket> {
    let mut order = Vec::new();
    for _ in 0..10 {
        now += SECOND;
        balancer.finish(now, running, &RAN_OUTCOME);
        for resolution in balancer.poll(now) {
            if let Ok(start) = resolution.result {
                running = start.attempt;
                order.push(resolution.ticket);
            }
        }
    }
    order
}

/// A customer with share 0 is served only when no other customer has queued requests.
#[test]
fn share_zero_is_served_only_when_others_are_idle() {
    let (guest, paying) = (name("guest"), name("paying"));
    let mut balancer = balancer(&single_attempt_settings(), &[member("loft-1")]);
    balancer.configure(
        Duration::ZERO,
        &single_attempt_settings(),
        &Rc::new(
            [(guest.clone(), 0), (paying.clone(), 2)]
                .into_iter()
                .collect(),
        ),
    );
    let now = warm_up(&mut balancer, &paying, 3);
    let running = admitted(balancer.offer(now, &request(&paying, now)));
    let last = waiting(balancer.offer(now, &request(&guest, now)));
    let first = waiting(balancer.offer(now, &request(&paying, now)));
    let second = waiting(balancer.offer(now, &request(&paying, now)));
    assert_eq!(
        start_order(&mut balancer, running.attempt, now),
        [first, second, last]
    );
}

/// Guards against a request with side effects, such as a booking that charges the
/// customer, running twice after its answer was lost. If it isn't idempotent, it is
/// retried only after an attempt that is confirmed not to have run.
#[test]
fn non_idempotent_requests_never_run_twice() {
    let customer = name("bowen");
    let table = [
        (true, Ending::NotRun, true),
        (true, Ending::Unknown, true),
        (false, Ending::NotRun, true),
        (false, Ending::Unknown, false),
        (true, Ending::Cancelled, false),
        (true, Ending::Ran, false),
    ];
    for (idempotent, ending, may_retry) in table {
        let mut balancer = balancer(&single_attempt_settings(), &[member("a"), member("b")]);
        let request = Request {
            idempotent,
            ..request(&customer, SECOND)
        };
        let start = admitted(balancer.offer(SECOND, &request));
        balancer.finish(SECOND, start.attempt, &outcome_with(ending));
        let tried = [start.upstream.clone()];
        match balancer.retry(SECOND, &request, ending, &tried) {
            Decision::Admit(second) => {
                assert!(may_retry, "{idempotent} {ending:?}");
                assert_ne!(second.upstream, start.upstream);
            }
            other => {
                assert!(!may_retry, "{idempotent} {ending:?}");
                assert_eq!(rejected(other).reason, Reason::NoRetry);
            }
        }
    }
}

/// Guards against unlimited retries when every upstream fails: they would multiply the
/// load on the recovering upstreams, which then fail again.
#[test]
fn retries_stay_within_their_budget() {
    let customer = name("bowen");
    let mut balancer = balancer(
        &single_attempt_settings(),
        &[member("a"), member("b"), member("c")],
    );
    for _ in 0..100 {
        let request = request(&customer, SECOND);
        let Decision::Admit(mut start) = balancer.offer(SECOND, &request) else {
            continue;
        };
        let mut tried = Vec::new();
        loop {
            balancer.finish(SECOND, start.attempt, &outcome_with(Ending::Unknown));
            tried.push(start.upstream.clone());
            match balancer.retry(SECOND, &request, Ending::Unknown, &tried) {
                Decision::Admit(retry) => start = retry,
                _ => break,
            }
        }
    }
    let snapshot = balancer.snapshot(SECOND);
    // The budget holds ten at the start and gains one for every ten first attempts.
    assert!(snapshot.retried <= 20, "{} retries", snapshot.retried);
}

/// An upstream that fails everything at once always looks idle and would attract most
/// requests. One of four is ejected, also when all four fail.
#[test]
fn a_failing_upstream_is_ejected_but_never_all() {
    let customer = name("bowen");
    let members = ["a", "b", "c", "d"].map(member);
    for (failing, ejected) in [(1, 1), (4, 1)] {
        let mut balancer = balancer(&single_attempt_settings(), &members);
        let mut now = SECOND;
        for _ in 0..100 {
            now += SECOND / 20;
            if let Decision::Admit(start) = balancer.offer(now, &request(&customer, now)) {
                let fails = members[..failing].iter().any(|m| m.name == start.upstream);
                let ending = if fails { Ending::Unknown } else { Ending::Ran };
                balancer.finish(now, start.attempt, &outcome_with(ending));
            }
        }
        let ejected_count = balancer
            .snapshot(now)
            .upstreams
            .iter()
            .filter(|u| u.ejected)
            .count();
        assert_eq!(ejected_count, ejected, "{failing} failing");
    }
}

/// An agent's load report says that its instance is leaving before the list of upstreams
/// does.
#[test]
fn a_leaving_upstream_gets_no_new_requests() {
    let customer = name("bowen");
    let mut balancer = balancer(&single_attempt_settings(), &[member("a"), member("b")]);
    let load = Report {
        incarnation: 1,
        sequence: 1,
        running: 0,
        waiting: 0,
        leaving: true,
    };
    balancer.load_report(SECOND, &name("a"), &load);
    for _ in 0..20 {
        let start = admitted(balancer.offer(SECOND, &request(&customer, SECOND)));
        assert_eq!(start.upstream, name("b"));
        balancer.finish(SECOND, start.attempt, &outcome_with(Ending::Cancelled));
    }
}

/// A request goes to the upstream that caches its prefix until a cache event of that
/// upstream resets its cache.
#[test]
fn requests_go_to_the_upstream_that_caches_their_prefix() {
    let customer = name("bowen");
    let members = ["a", "b", "c", "d", "e", "f", "g", "h"].map(member);
    let mut balancer = balancer(&single_attempt_settings(), &members);
    let request = Request {
        prefixes: &[1, 2],
        ..request(&customer, SECOND)
    };
    balancer.cache_event(SECOND, &name("f"), CacheEvent::Added(2));
    for _ in 0..5 {
        let start = admitted(balancer.offer(SECOND, &request));
        assert_eq!(start.upstream, name("f"));
        balancer.finish(SECOND, start.attempt, &outcome_with(Ending::Cancelled));
    }
    balancer.cache_event(SECOND, &name("f"), CacheEvent::Reset);
    let affine = balancer.snapshot(SECOND).affine;
    admitted(balancer.offer(SECOND, &request));
    assert_eq!(balancer.snapshot(SECOND).affine, affine);
}

/// When a caller disconnects while its request is queued, the next queued request
/// starts instead. Cancelling twice has no further effect.
#[test]
fn cancelled_requests_leave_the_queue() {
    let customer = name("bowen");
    let mut balancer = balancer(&single_attempt_settings(), &[member("a")]);
    let running = admitted(balancer.offer(SECOND, &request(&customer, SECOND)));
    let gone = waiting(balancer.offer(SECOND, &request(&customer, SECOND)));
    let next = waiting(balancer.offer(SECOND, &request(&customer, SECOND)));
    balancer.cancel(SECOND, gone);
    balancer.cancel(SECOND, gone);
    assert_eq!(start_order(&mut balancer, running.attempt, SECOND), [next]);
}

/// One customer's requests are fifty times as long as the other's. If shares counted
/// requests rather than work, it would take nearly all of the upstream's time.
#[test]
fn shares_count_work_and_not_requests() {
    let (long, short) = (name("long"), name("short"));
    let mut balancer = balancer(&single_attempt_settings(), &[member("report-1")]);
    let request_of = |customer, max_tokens| Request {
        max_tokens,
        deadline: 1_000_000 * SECOND,
        ..request(customer, SECOND)
    };
    let running = admitted(balancer.offer(SECOND, &request_of(&short, 100)));
    let mut running = running.attempt;
    let mut tokens_by_ticket = std::collections::HashMap::new();
    let mut started_tokens = [0, 0];
    for second in 1..2_000 {
        let now = SECOND * second;
        for (customer, tokens) in [(&long, 5_000), (&short, 100)] {
            if let Decision::Wait(ticket) = balancer.offer(now, &request_of(customer, tokens)) {
                tokens_by_ticket.insert(ticket, tokens);
            }
        }
        balancer.finish(now, running, &outcome_with(Ending::Cancelled));
        for resolution in balancer.poll(now) {
            if let Ok(start) = resolution.result {
                running = start.attempt;
                let tokens = tokens_by_ticket[&resolution.ticket];
                started_tokens[usize::from(tokens == 100)] += tokens;
            }
        }
    }
    let ratio = f64::from(started_tokens[0]) / f64::from(started_tokens[1]);
    assert!((0.5..2.0).contains(&ratio), "{started_tokens:?}");
}
