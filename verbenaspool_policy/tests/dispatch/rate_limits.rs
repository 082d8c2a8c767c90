//! Limits that upstreams name in their answers.

use verbenaspool_policy::{
    dispatch::{AttemptOutcome, Dispatcher, PlacementRequest, RejectReason, Verdict},
    slots::Slots,
};
use verbenaspool_state::{
    engine::{Engine, Experts},
    rate_limit::RateLimit,
    route::WarmUp,
};

use crate::simulation::{engine, ms, replica, stream};

/// The span in which requests to an upstream are counted.
const SPAN_MS: u64 = 4_000;

/// Interval at which entries try to send a request.
const INTERVAL_MS: usize = 25;

/// The most requests that an upstream bears in a span: half more than its limit allows, and
/// five.
fn tolerated(limit: f64) -> f64 {
    1.5 * limit * ms(SPAN_MS).as_secs_f64() + 5.0
}

/// A count of requests, to be compared with rates.
fn to_float(count: usize) -> f64 {
    u32::try_from(count).expect("a small count").into()
}

/// An entry of `entries`, in front of these upstreams.
fn entry(number: usize, entries: usize, upstreams: &[&str]) -> Dispatcher {
    // The seeds of real entries are as far apart.
    let seed = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut entry = Dispatcher::new("a".into(), seed);
    entry.set_engine(Some(&engine()));
    entry.set_sharing_entries(&format!("entry-{number}"), Some(entries));
    let replicas: Vec<_> = upstreams.iter().map(|id| replica(id, 1_000)).collect();
    entry.set_upstreams(replicas.iter());
    entry
}

/// An engine whose upstreams form groups and have agents.
fn grouped_engine() -> Engine {
    let experts = Experts {
        layers: 1,
        count: 1,
        max_slots_per_rank: 1,
        max_new_per_layer: 1,
        work_share: 0.5,
        copy_time: ms(1),
    };
    Engine {
        experts: Some(experts),
        ..engine()
    }
}

fn limit(now: u64, per_second: Option<f64>) -> RateLimit {
    RateLimit {
        per_second,
        as_of: ms(now),
    }
}

/// The upstream to which a request is sent at once, if there is one. Its answer ends at once.
fn send(entry: &mut Dispatcher, now: u64, request: PlacementRequest) -> Option<String> {
    entry.submit(ms(now), now, request);
    let verdicts = entry.process_queue(ms(now));
    entry.cancel(now);
    let Some((_, Verdict::Send(id))) = verdicts.first() else {
        return None;
    };
    entry.finish_reservation(id);
    entry.finish_attempt(ms(now), id, AttemptOutcome::Good);
    Some(id.to_string())
}

/// The times at which entries send requests to an upstream with a limit, which all of them
/// learn at time 0, though they always have requests.
fn sent_times(entries: usize, per_second: f64, duration_ms: u64) -> Vec<u64> {
    let mut fleet: Vec<Dispatcher> = (0..entries).map(|n| entry(n, entries, &["u0"])).collect();
    for entry in &mut fleet {
        assert!(entry.record_rate_limit(ms(0), "u0", limit(0, Some(per_second))));
    }
    let mut sent = Vec::new();
    for now in (1..duration_ms).step_by(INTERVAL_MS) {
        let sends = |entry: &mut Dispatcher| send(entry, now, stream(now)).is_some();
        let count = fleet.iter_mut().filter_map(|e| sends(e).then_some(now));
        sent.extend(count);
    }
    sent
}

/// The largest number of requests in a span.
fn busiest_span(sent: &[u64]) -> usize {
    let mut end = 0;
    let from = |(start, at): (usize, &u64)| {
        while sent.get(end).is_some_and(|later| *later < at + SPAN_MS) {
            end += 1;
        }
        end - start
    };
    sent.iter().enumerate().map(from).max().unwrap_or_default()
}

/// Guards against entries that each take all of the limit, and against shares of less than one
/// request a second that all entries send at the same time.
#[test]
fn entries_together_keep_to_the_limit_of_an_upstream() {
    let duration_ms = 25_000;
    for entries in [1, 2, 4, 15, 60, 231] {
        for per_second in [0.0, 0.3, 1.0, 2.5, 7.0, 40.0] {
            let sent = sent_times(entries, per_second, duration_ms);
            let busiest = busiest_span(&sent);
            let within = to_float(busiest) <= tolerated(per_second);
            assert!(
                within,
                "{entries} entries, {per_second} a second: {busiest}"
            );
        }
    }
}

/// Guards against shares that leave most of the limit unused, and against an upstream that never
/// gets a request again by which entries learn that its limit has ended.
#[test]
fn an_upstream_gets_about_as_many_requests_as_its_limit_allows() {
    let duration_ms = 150_000;
    for (entries, least) in [(1, 0.75), (4, 0.75), (15, 0.5)] {
        for per_second in [0.3, 1.0, 2.5, 7.0, 40.0] {
            let sent = sent_times(entries, per_second, duration_ms).len();
            let allowed = per_second * ms(duration_ms).as_secs_f64();
            let used = to_float(sent) / allowed;
            assert!(
                (least..=1.0).contains(&used),
                "{entries}, {per_second}: {used}"
            );
        }
        assert!(!sent_times(entries, 0.0, duration_ms).is_empty());
    }
}

/// Guards against requests that wait for an upstream at its limit while another is free.
#[test]
fn requests_go_to_other_upstreams_at_once() {
    let mut entry = entry(0, 1, &["u0", "u1"]);
    entry.record_rate_limit(ms(0), "u0", limit(0, Some(1.0)));
    let sent: Vec<_> = (1..2_000)
        .map(|now| send(&mut entry, now, stream(now)))
        .collect();
    assert!(sent.iter().all(Option::is_some));
    let limited = sent.iter().flatten().filter(|id| *id == "u0").count();
    assert!((1..=3).contains(&limited), "{limited}");
}

/// Guards against an entry that has just started, doesn't know how many others there are, and
/// takes the whole limit.
#[test]
fn an_entry_that_may_not_know_all_others_takes_no_share() {
    let mut entry = entry(0, 1, &["u0"]);
    entry.set_sharing_entries("entry-0", None);
    assert!(send(&mut entry, 1, stream(1)).is_some());
    entry.record_rate_limit(ms(1), "u0", limit(1, Some(1_000.0)));
    assert!(send(&mut entry, 2_000, stream(2_000)).is_none());
    entry.set_sharing_entries("entry-0", Some(1));
    assert!(send(&mut entry, 2_001, stream(2_001)).is_some());
}

/// Guards against a limit that stays after its upstream named it no more, and against one that
/// an older answer lifts.
#[test]
fn a_limit_holds_until_a_newer_answer_names_none() {
    let mut entry = entry(0, 1, &["u0"]);
    assert!(entry.record_rate_limit(ms(10), "u0", limit(10, Some(1.0))));
    assert!(!entry.record_rate_limit(ms(20), "u0", limit(5, None)));
    assert_eq!(entry.rate_limit("u0"), Some(limit(10, Some(1.0))));
    assert!(entry.record_rate_limit(ms(30), "u0", limit(25, None)));
    assert_eq!(entry.rate_limit("u0"), Some(limit(25, None)));
    let all_sent = (31..131).all(|now| send(&mut entry, now, stream(now)).is_some());
    assert!(all_sent);
}

/// Sends a request to a rank whose agent has to grant it. A request that the agent denies is
/// placed again, up to some times. Returns the upstream that it was sent to, and the number of
/// denials.
fn send_if_granted(entry: &mut Dispatcher, agent: &mut Slots, now: u64) -> (Option<String>, u32) {
    let mut denials = 0;
    while denials < 10 {
        let request = PlacementRequest {
            max_gap: None,
            ..stream(now)
        };
        entry.submit(ms(now), now, request);
        let verdicts = entry.process_queue(ms(now));
        entry.cancel(now);
        let Some((_, Verdict::Send(id))) = verdicts.first() else {
            return (None, denials);
        };
        let asks = &**id == "u0" && entry.needs_reservation(ms(now), id);
        let granted = !asks || agent.grant(ms(now), 1_000);
        if asks {
            entry.record_agent_wait(ms(now), id, Some(agent.wait(ms(now))));
        }
        entry.finish_reservation(id);
        entry.finish_attempt(ms(now), id, AttemptOutcome::Good);
        if granted {
            return (Some(id.to_string()), denials);
        }
        denials += 1;
    }
    (None, denials)
}

/// Guards against an agent that grants more than its upstream takes, or much less, and against
/// one that limits only the entries that know of the limit.
#[test]
fn an_agent_keeps_to_the_limit_for_all_entries() {
    let duration_ms = 20_000;
    for entries in [1, 4, 60] {
        for per_second in [0.0, 0.3, 1.0, 2.5, 40.0] {
            let mut fleet: Vec<_> = (0..entries).map(|n| entry(n, entries, &["u0"])).collect();
            let mut agent = Slots::default();
            agent.set_rate_limit(limit(0, Some(per_second)));
            // Every second entry hasn't got an answer yet.
            for entry in fleet.iter_mut().step_by(2) {
                entry.record_rate_limit(ms(0), "u0", limit(0, Some(per_second)));
            }
            let mut sent = Vec::new();
            for now in (1..duration_ms).step_by(INTERVAL_MS) {
                agent.report(ms(now), 0);
                for entry in &mut fleet {
                    entry.record_load(ms(now), "u0", now, 0);
                    let (sent_to, _) = send_if_granted(entry, &mut agent, now);
                    sent.extend(sent_to.map(|_| now));
                }
            }
            let case = format!("{entries} entries, {per_second} a second");
            let busiest = to_float(busiest_span(&sent));
            assert!(busiest <= tolerated(per_second), "{case}: {busiest}");
            let allowed = per_second * ms(duration_ms).as_secs_f64();
            assert!(
                to_float(sent.len()) >= 0.6 * allowed,
                "{case}: {}",
                sent.len()
            );
        }
    }
}

/// Guards against a request that is placed at an upstream again and again while its agent denies
/// it, though another upstream is free.
#[test]
fn a_request_that_an_agent_denies_goes_to_another_upstream() {
    let mut entry = entry(0, 1, &["u0", "u1"]);
    entry.set_engine(Some(&grouped_engine()));
    let warm_up = WarmUp {
        duration: ms(3_000),
        max_rate: 2.0,
    };
    entry.set_warm_up(Some(warm_up));
    entry.record_warm_up(ms(0), "u0", Some(ms(3_000)));
    entry.record_warm_up(ms(0), "u1", Some(ms(0)));
    let mut agent = Slots::default();
    agent.set_warm_up(ms(3_000), 2);
    let mut denials = 0;
    for now in 1..1_000 {
        entry.record_load(ms(now), "u0", now, 0);
        // The other upstream is busier.
        entry.record_load(ms(now), "u1", now, 100);
        let (sent_to, denied) = send_if_granted(&mut entry, &mut agent, now);
        assert!(sent_to.is_some(), "at {now}");
        denials += denied;
    }
    assert!(denials <= 2, "{denials}");
}

/// Guards against a rank that gets everything while its agent doesn't answer, and against one
/// whose agent has the previous version and ignores the limit.
#[test]
fn an_entry_keeps_to_its_share_where_no_agent_counts() {
    let mut entry = entry(0, 4, &["u0"]);
    entry.record_rate_limit(ms(0), "u0", limit(0, Some(1.0)));
    entry.record_load(ms(0), "u0", 1, 0);
    entry.record_agent_wait(ms(0), "u0", None);
    let count = |entry: &mut Dispatcher, from: u64| {
        let sent = (from..from + 20_000).step_by(INTERVAL_MS);
        sent.filter(|now| {
            entry.record_load(ms(*now), "u0", *now, 0);
            send(entry, *now, stream(*now)).is_some()
        })
        .count()
    };
    assert!((1..=6).contains(&count(&mut entry, 1)));
    entry.record_agent_wait(ms(20_001), "u0", Some(ms(0)));
    assert!(send(&mut entry, 20_002, stream(20_002)).is_some());
    assert!(send(&mut entry, 20_003, stream(20_003)).is_some());
    entry.record_agent_timeout(ms(20_004), "u0");
    assert!(send(&mut entry, 20_005, stream(20_005)).is_none());
}

/// Guards against an agent that lifts a limit by an older answer, or never again.
#[test]
fn an_agent_keeps_to_the_limit_of_the_newest_answer() {
    let mut agent = Slots::default();
    assert!(agent.set_rate_limit(limit(10, Some(1.0))));
    assert!(!agent.set_rate_limit(limit(5, None)));
    assert!(agent.grant(ms(20), 100));
    assert!(!agent.grant(ms(30), 100));
    assert!(!agent.wait(ms(30)).is_zero());
    assert!(agent.set_rate_limit(limit(25, None)));
    assert!(agent.wait(ms(30)).is_zero());
    assert!((30..100).all(|now| agent.grant(ms(now), 100)));
}

/// Guards against requests that wait for upstreams which take none before they are rejected, and
/// against callers that come back before one does.
#[test]
fn requests_that_no_limit_lets_pass_in_time_are_rejected_at_once() {
    let mut entry = entry(0, 1, &["u0", "u1"]);
    let mut requests = Vec::new();
    for id in ["u0", "u1"] {
        entry.record_rate_limit(ms(0), id, limit(0, Some(1.0)));
    }
    for now in 1..4_000 {
        entry.submit(ms(now), now, stream(now));
        let verdicts = entry.process_queue(ms(now));
        entry.cancel(now);
        requests.extend(verdicts.into_iter().map(|(_, verdict)| (now, verdict)));
    }
    let sent_at = |(now, verdict): &(u64, Verdict)| {
        let sent = matches!(verdict, Verdict::Send(_));
        sent.then_some(*now)
    };
    let sent: Vec<u64> = requests.iter().filter_map(sent_at).collect();
    assert!((4..=12).contains(&sent.len()), "{sent:?}");
    for (now, verdict) in &requests {
        let Verdict::Reject(rejection) = verdict else {
            continue;
        };
        assert_eq!(rejection.reason, RejectReason::RateLimited);
        let next = sent.iter().find(|at| *at > now);
        let until_next = next.map(|at| ms(at - now)).unwrap_or_default();
        // Requests come once in a millisecond.
        assert!(rejection.retry_after + ms(1) >= until_next, "at {now}");
    }
    // Only those wait for which an upstream takes one in time.
    let rejected = requests.len() - sent.len();
    assert!(rejected >= 2_000, "{rejected}");
}

/// Guards against entries that don't reach a rank's agent and send their shares on top of all
/// that the agent grants the others.
#[test]
fn entries_that_reach_no_agent_add_little_to_what_it_grants() {
    let duration_ms = 25_000;
    for entries in [4, 60] {
        for per_second in [1.0, 7.0, 40.0] {
            let mut fleet: Vec<_> = (0..entries).map(|n| entry(n, entries, &["u0"])).collect();
            let mut agent = Slots::default();
            agent.set_rate_limit(limit(0, Some(per_second)));
            for entry in &mut fleet {
                entry.set_engine(Some(&grouped_engine()));
                entry.record_rate_limit(ms(0), "u0", limit(0, Some(per_second)));
            }
            let mut sent = Vec::new();
            for now in (1..duration_ms).step_by(INTERVAL_MS) {
                agent.report(ms(now), 0);
                for (number, entry) in fleet.iter_mut().enumerate() {
                    entry.record_load(ms(now), "u0", now, 0);
                    if number > 0 {
                        entry.record_agent_timeout(ms(now), "u0");
                    }
                    let (sent_to, _) = send_if_granted(entry, &mut agent, now);
                    sent.extend(sent_to.map(|_| now));
                }
            }
            let busiest = to_float(busiest_span(&sent));
            let case = format!("{entries} entries, {per_second} a second");
            assert!(busiest <= tolerated(per_second), "{case}: {busiest}");
        }
    }
}
