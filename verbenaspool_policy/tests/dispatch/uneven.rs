//! Uneven upstreams and zones: a plain service with one upstream in each of three zones, of which
//! one is slow, fails or flaps, or whose zone has most of the traffic. Times are in milliseconds.

mod plain;

use verbenaspool_policy::dispatch::{
    Dispatcher, PlacementRequest, Verdict, balance::Change, probation::Probation,
};
use verbenaspool_state::replica::Replica;

use self::plain::{Callers, Plain, SETUP, SLOTS, Setup, ZONES, compare, sum, worst_and_best};
use crate::simulation::{Simulation, ms, replica, stream};

/// Guards against a zone whose callers wait for its own upstream during a wave, while the
/// upstreams of other zones have capacity.
#[test]
fn a_zone_in_a_wave_uses_the_capacity_of_the_others() {
    // 85 % of the capacity of all, so that the zone of the wave has 1.24 times its own.
    let mean = 0.85 * f64::from(SLOTS) * 1e3 / SETUP.work_ms;
    let results = compare(SETUP, |plain| {
        plain.run([0.8 * mean; ZONES], 3_000);
        plain.run([1.5 * mean, 0.8 * mean, 0.8 * mean], 8_000)
    });
    let [worst, best] = worst_and_best(results[1]);
    assert!(worst >= best - 0.05, "{worst} {best}");
    assert!(worst >= 0.95, "{worst}");
}

/// Guards against callers with a deadline of 600 ms that wait at a slow upstream in vain. At 12
/// times the usual 60 ms, none of its responses is complete before the deadline.
#[test]
fn callers_are_in_time_beside_a_slow_upstream() {
    for (slowness, rate, min_worst) in [(3.0, 55.0, 0.96), (12.0, 45.0, 0.96)] {
        let results = compare(SETUP, |plain| {
            plain.run([rate; ZONES], 3_000);
            plain.servers[1].slowness = slowness;
            plain.run([rate; ZONES], 1_000);
            plain.run([rate; ZONES], 8_000)
        });
        let [[before, _], [after, _]] = results.map(worst_and_best);
        assert!(after >= min_worst && after > before, "{after} {before}");
        let failed = sum(results[1], |callers| callers.failed);
        let sent = sum(results[1], |callers| callers.sent);
        assert!(failed * 100 <= sent, "{failed} of {sent}");
    }
}

/// Guards against an upstream that goes down and up every 1.2 s and gets its share of requests
/// again with its first success, so that each time many requests find it down.
#[test]
fn few_requests_find_a_flapping_upstream_down() {
    let mut found_down = [0; 2];
    let results = compare(SETUP, |plain| {
        plain.run([50.0; ZONES], 2_000);
        plain.callers = [Callers::default(); ZONES];
        let mut down = 0;
        for number in 0..5 {
            let is_down = number % 2 == 0;
            plain.servers[2].is_down = is_down;
            // Requests in progress fail as it goes down.
            plain.servers[2].failure_ratios = [f64::from(u8::from(is_down)); ZONES];
            plain.servers[2].arrivals = 0;
            plain.send([50.0; ZONES], 1_200);
            down += if is_down {
                plain.servers[2].arrivals
            } else {
                0
            };
        }
        found_down[usize::from(plain.setup.learns_speed)] = down;
        plain.callers
    });
    let [before, after] = found_down;
    // Each of six entries finds it down once in each of three times.
    assert!(after < before && after <= 21, "{after} {before}");
    assert_eq!(sum(results[1], |callers| callers.rejected), 0);
    let [[before, _], [after, _]] = results.map(worst_and_best);
    assert!(after >= before && after >= 0.95, "{after} {before}");
}

/// Guards against an upstream that flaps and whose ejections stay short, as one success clears
/// its past, or stay long after it has been well for as long as it was ejected.
#[test]
fn ejections_grow_until_the_upstream_was_good_for_as_long() {
    let mut probation = Probation::new(12);
    let mut now = 0;
    for expected_ms in [400, 800, 1_600, 3_200, 6_000, 6_000] {
        probation.eject(ms(now));
        let left = (0..7_000).find(|left| probation.allows(ms(now + left)));
        assert_eq!(left, Some(expected_ms));
        now += expected_ms;
        probation.record_good(ms(now));
    }
    for _ in 0..=18 {
        assert!(!probation.is_forgotten());
        probation.record_good(ms(now));
        now += 1_000;
    }
    assert!(probation.is_forgotten() && !probation.is_returning());
}

/// Guards against an upstream that gets a burst as it returns, or never its capacity again.
#[test]
fn an_upstream_returns_with_one_request_then_twice_as_many() {
    let mut probation = Probation::new(12);
    probation.record_sent(ms(0));
    probation.eject(ms(0));
    assert!(probation.allows(ms(400)), "a stuck request doesn't count");
    probation.record_finished();
    for allowed in [1, 2, 4, 8, 12] {
        for _ in 0..allowed {
            assert!(probation.allows(ms(500)), "{allowed}");
            probation.record_sent(ms(500));
        }
        let unlimited = allowed == 12;
        assert_eq!(probation.allows(ms(500)), unlimited, "{allowed}");
        for _ in 0..allowed {
            probation.record_finished();
        }
        probation.record_good(ms(500));
    }
}

/// Guards against an upstream that fails for the callers of one zone and is left by the entries
/// of others too, or is used on by the entries of that zone.
#[test]
fn an_upstream_that_fails_for_one_zone_serves_the_others() {
    let mut plain = Plain::new(SETUP);
    plain.run([40.0; ZONES], 2_000);
    plain.servers[0].failure_ratios = [1.0, 0.0, 0.0];
    plain.run([40.0; ZONES], 1_000);
    let callers = plain.run([40.0; ZONES], 6_000);
    for (number, entry) in plain.entries.iter().enumerate() {
        let ejected = entry.snapshot(ms(plain.now)).ejected;
        let counts = entry.balancing_counts().expect("it learns");
        assert!(number % ZONES == 0 || ejected == 0, "{number}: {ejected}");
        let needs_others = number % ZONES == 0;
        assert!(
            !needs_others || counts.other_zone_requests > 100,
            "{counts:?}"
        );
    }
    assert!(callers[0].failed <= 6, "{callers:?}");
    assert_eq!(callers[1].failed + callers[2].failed, 0, "{callers:?}");
}

/// Guards against requests that are rejected because one of three upstreams has left while
/// another is slow.
#[test]
fn requests_are_served_after_a_scale_in_beside_a_slow_upstream() {
    let results = compare(SETUP, |plain| {
        plain.run([30.0; ZONES], 2_000);
        plain.servers[1].slowness = 3.0;
        plain.run([30.0; ZONES], 2_000);
        let left: Vec<Replica> = plain.replicas[..2].to_vec();
        for entry in &mut plain.entries {
            entry.set_upstreams(left.iter());
        }
        plain.run([30.0; ZONES], 6_000)
    });
    let [_, after] = results;
    assert_eq!(sum(after, |callers| callers.failed + callers.rejected), 0);
    let [worst, best] = worst_and_best(after);
    assert!(worst >= best - 0.05 && worst >= 0.9, "{worst} {best}");
}

/// Guards against requests that are rejected because every upstream has been ejected, while each
/// of them serves most requests.
#[test]
fn three_unreliable_upstreams_go_on_serving() {
    let setup = Setup {
        repeatable: true,
        ..SETUP
    };
    let results = compare(setup, |plain| {
        for server in &mut plain.servers {
            server.failure_ratios = [0.48; ZONES];
        }
        plain.run([30.0; ZONES], 8_000)
    });
    let [_, after] = results;
    // With three attempts at 0.48 each, 11 in 100 requests fail.
    let sent = sum(after, |callers| callers.sent);
    let [failed, rejected] = [
        sum(after, |callers| callers.failed),
        sum(after, |callers| callers.rejected),
    ];
    // One upstream alone has too little capacity while the two others are ejected.
    assert!(rejected * 100 <= sent, "{after:?}");
    assert!(failed * 100 <= sent * 14, "{failed} of {sent}");
}

/// Guards against an upstream that stays ejected or limited long after it is well, and against
/// an entry that ejects all upstreams and uses none.
#[test]
fn all_upstreams_return_after_an_outage_of_each() {
    let mut plain = Plain::new(SETUP);
    for server in &mut plain.servers {
        server.is_down = true;
    }
    plain.run([30.0; ZONES], 4_000);
    for server in &mut plain.servers {
        server.is_down = false;
    }
    plain.run([30.0; ZONES], 1_000);
    let callers = plain.run([60.0; ZONES], 6_000);
    let [worst, _] = worst_and_best(callers);
    assert!(worst >= 0.98, "{callers:?}");
    assert_eq!(sum(callers, |callers| callers.failed + callers.rejected), 0);
}

/// Guards against an entry that must learn for long after its start which upstream is slow, and
/// meanwhile sends it as much as the others.
#[test]
fn an_entry_that_starts_learns_within_ten_responses() {
    let plain = Plain::new(SETUP);
    let mut entry = plain.entry(0);
    for number in 0..10 {
        let (id, time) = [("u0", 60), ("u1", 180), ("u2", 60)][number % 3];
        entry.record_upstream_time(ms(number as u64 * 20), id, ms(time), true);
    }
    assert_eq!(entry.balancing_state().expect("it learns").slow, 1);
    let mut slow = 0;
    for ticket in 0..12 {
        let request = PlacementRequest {
            target: ms(400),
            deadline: ms(800),
            max_gap: None,
            ..stream(200)
        };
        entry.submit(ms(200), ticket, request);
        let verdicts = entry.process_queue(ms(200));
        slow += u32::from(verdicts == [(ticket, Verdict::Send("u1".into()))]);
    }
    assert!(slow <= 2, "{slow} of 12");
}

/// Guards against placement by the digests of other entries while an upstream has just told its
/// load, and against a told load that is believed for long.
#[test]
fn a_told_load_counts_until_it_is_outdated() {
    let plain = Plain::new(SETUP);
    let mut entry = plain.entry(0);
    let in_flight = |entry: &Dispatcher, now| entry.snapshot(ms(now)).in_flight;
    entry.record_upstream_time(ms(0), "u0", ms(60), true);
    entry.set_peer_load(ms(0), "u0", 2);
    entry.record_told_load(ms(10), "u0", [6, 3, 6]);
    entry.set_peer_load(ms(20), "u0", 2);
    assert_eq!(in_flight(&entry, 20), 9);
    entry.record_told_load(ms(20), "u0", [1_000_000, 0, 6]);
    entry.record_told_load(ms(20), "u0", [4, 0, 0]);
    assert_eq!(in_flight(&entry, 20), 9, "implausible loads are ignored");
    entry.set_peer_load(ms(40), "u0", 4);
    entry.update_balancing(ms(71), true);
    assert_eq!(in_flight(&entry, 71), 4, "the digests count again");
    entry.update_balancing(ms(80), false);
    entry.record_told_load(ms(80), "u0", [3, 0, 6]);
    assert_eq!(in_flight(&entry, 80), 4, "it has no effect unless enabled");
}

/// Guards against a damaged report of an agent after which no request is placed: a pace that is
/// no number makes the cost of its upstream none either.
#[test]
fn requests_are_placed_although_an_agent_reports_an_invalid_pace() {
    for pace in [f64::NAN, -f64::NAN] {
        let mut entry = Plain::new(SETUP).entry(0);
        entry.set_upstreams([replica("u0", SLOTS)].iter());
        entry.record_status(ms(1_000), "u0", 1, true, pace);
        let request = PlacementRequest {
            max_gap: None,
            ..stream(1_001)
        };
        entry.submit(ms(1_001), 1, request);
        let verdicts = entry.process_queue(ms(1_001));
        assert_eq!(verdicts, [(1, Verdict::Send("u0".into()))], "{pace}");
    }
}

/// Guards against a decision that begins or ends without a change for the log.
#[test]
fn changes_tell_when_decisions_begin_and_end() {
    let mut plain = Plain::new(SETUP);
    plain.run([10.0; ZONES], 2_000);
    plain.changes.clear();
    plain.servers[0].slowness = 12.0;
    plain.run([60.0; ZONES], 3_000);
    plain.servers[0].slowness = 1.0;
    plain.run([20.0; ZONES], 30_000);
    let count = |wanted: fn(&Change) -> bool| plain.changes.iter().filter(|c| wanted(c)).count();
    let slow = count(|change| matches!(change, Change::Slow(..)));
    let not_slow = count(|change| matches!(change, Change::NotSlow(_)));
    let other_zones = count(|change| matches!(change, Change::OtherZones));
    assert!(slow > 0 && slow == not_slow, "{slow} {not_slow}");
    assert!(other_zones > 0);
}

/// Guards against shares and learned speed that impair each other: in a burst beside an upstream
/// that is 3 times slower, customers that send little get what is due to them, and no capacity is
/// lost.
#[test]
fn small_customers_are_served_in_a_burst_beside_a_slow_upstream() {
    // A large customer sends half of all requests, and ten small ones the other half.
    let mut customers = vec![("large".into(), 0.5)];
    customers.extend((0..10).map(|n| (format!("small{n}").into(), 0.05)));
    // Two upstreams and a third of one remain.
    let capacity = 7.0 / 9.0 * f64::from(SLOTS) * 1e3 / SETUP.work_ms;
    let results = [false, true].map(|shares| {
        let mut plain = Plain::new(SETUP);
        plain.enable_shares(customers.clone());
        if !shares {
            for entry in &mut plain.entries {
                entry.set_shares(None);
            }
        }
        plain.run([0.6 * capacity; ZONES], 3_000);
        plain.servers[1].slowness = 3.0;
        plain.run([0.6 * capacity; ZONES], 2_000);
        plain.by_customer.clear();
        let callers = plain.run([1.4 * capacity; ZONES], 6_000);
        let counts = plain.by_customer.values();
        let all: u32 = counts.clone().map(|[_, served]| served).sum();
        let equal = f64::from(all) / 11.0;
        let due = |sent: u32| f64::from(sent).min(equal);
        let ratios = counts.map(|[sent, served]| f64::from(*served) / due(*sent));
        let least = ratios.fold(f64::INFINITY, f64::min);
        (least, sum(callers, |callers| callers.in_time))
    });
    let [(least_without, without), (least, with)] = results;
    assert!(least >= 0.8 && least_without < 0.8, "{results:?}");
    assert!(with * 100 >= without * 95, "{results:?}");
}

/// Guards against streams of a saturated group that are late because requests are spread over
/// ranks that aren't equal: a pass takes as long as that of the busiest rank.
#[test]
fn a_saturated_group_serves_as_many_streams_in_time() {
    let [before, after] = [false, true].map(|learns_speed| {
        let mut group = Simulation::new(4, 8);
        for entry in &mut group.entries {
            entry.update_balancing(ms(0), learns_speed);
        }
        group.pace = 2.5;
        group.run(&[15.0; 4], 10_000);
        group.outcomes
    });
    assert!(
        after.on_time * 100 >= before.on_time * 95,
        "{before:?} {after:?}"
    );
}
