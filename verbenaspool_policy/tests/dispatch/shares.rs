//! Shares of customers while there isn't enough capacity for all.

use std::collections::BTreeMap;

use verbenaspool_policy::dispatch::{
    AttemptOutcome, Dispatcher, PlacementRequest, Verdict,
    share::{MAX_REPORTED_CUSTOMERS, MAX_TRACKED_CUSTOMERS, Usage, Weights, Work},
};

use crate::simulation::{Outcomes, Simulation, Source, engine, ms, replica, stream};

/// Number of entries.
const ENTRIES: usize = 6;

/// Number of customers, of which the first three are large.
const CUSTOMERS: usize = 24;

/// Streams per second of a small customer on a usual day; a large one sends six times as many.
/// Together they take four fifths of the group.
const SMALL_RATE: f64 = 2.0;

/// How long a burst lasts.
const BURST_MS: u64 = 6_000;

fn name(number: usize) -> String {
    format!("c{number}")
}

/// The streams of a customer at the given rate, spread over entries unevenly: those of large
/// customers arrive at two entries, those of small ones at three.
fn source(number: usize, rate: f64) -> Source {
    let places = if number < 3 { 2_u8 } else { 3 };
    let mut rates = vec![0.0; ENTRIES];
    for place in 0..places {
        rates[(number + usize::from(place)) % ENTRIES] = rate / f64::from(places);
    }
    Source {
        customer: name(number),
        priority: 1,
        rates,
    }
}

/// The streams of all customers.
fn sources(factor: f64) -> Vec<Source> {
    let rate = |number| if number < 3 { 6.0 } else { 1.0 } * SMALL_RATE * factor;
    (0..CUSTOMERS)
        .map(|number| source(number, rate(number)))
        .collect()
}

/// A burst of 2.4 times the usual traffic in which one key gets 28 in 100 of the streams.
fn burst_with_hot_key() -> Vec<Source> {
    let mut sources = sources(2.4 * 0.72);
    let all = SMALL_RATE * (3.0 * 6.0 + 21.0) * 2.4;
    for (rate, more) in sources[0].rates.iter_mut().zip(source(0, all * 0.28).rates) {
        *rate += more;
    }
    sources
}

/// Streams of a customer that were served.
fn served(outcomes: &BTreeMap<String, Outcomes>, name: &str) -> f64 {
    let outcomes = outcomes.get(name).copied().unwrap_or_default();
    f64::from(outcomes.on_time + outcomes.late)
}

/// The least that a customer was served, as a share of min(its demand, its equal share).
fn least_served(simulation: &Simulation, submitted: &BTreeMap<String, u32>) -> (f64, String) {
    let outcomes = &simulation.customer_outcomes;
    let all: f64 = outcomes.keys().map(|name| served(outcomes, name)).sum();
    let equal = all / f64::from(u32::try_from(submitted.len()).expect("few"));
    let ratio = |(name, count): (&String, &u32)| {
        let due = f64::from(*count).min(equal);
        (served(outcomes, name) / due, name.clone())
    };
    let ratios = submitted.iter().map(ratio);
    ratios
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .expect("customers")
}

/// Runs a usual day and then a burst. Returns the least-served customer's ratio, and the number
/// of streams that were served.
fn run_burst(shares: bool, burst: &[Source], repeating: Option<String>) -> (f64, String, Outcomes) {
    let mut simulation = Simulation::new(ENTRIES, 12);
    if shares {
        simulation.enable_shares(&[]);
    }
    simulation.run_sources(&sources(1.0), 6_000);
    simulation.start_counting();
    simulation.repeating = repeating;
    let before = simulation.outcomes;
    let submitted = simulation.run_sources(burst, BURST_MS);
    // Lets the streams of the burst end.
    simulation.run_sources(&[], 3_000);
    let (least, name) = least_served(&simulation, &submitted);
    (least, name, simulation.outcomes - before)
}

/// Guards against customers that get little in a burst, because a few others send six times as
/// much and have a hot key. Without shares the least-served one got 0.30 of its due.
#[test]
fn the_least_served_customer_gets_its_share_in_a_burst() {
    let (_, _, without) = run_burst(false, &burst_with_hot_key(), None);
    let (least, name, with) = run_burst(true, &burst_with_hot_key(), None);
    assert!(least >= 0.8, "{name}: {least}");
    // Capacity is divided, not lost.
    assert!(
        with.on_time * 100 >= without.on_time * 95,
        "{with:?}, {without:?}"
    );
}

/// Guards against callers that take others' capacity by repeating at once what is rejected.
#[test]
fn a_customer_that_repeats_at_once_gets_no_more() {
    let burst = sources(1.8);
    let (least, name, _) = run_burst(true, &burst, Some("c1".to_owned()));
    assert!(least >= 0.8, "{name}: {least}");
}

/// The least-served customer's ratio in a burst after `change`, 2 s after the burst began.
fn least_served_after(change: impl FnOnce(&mut Simulation)) -> (f64, String) {
    let mut simulation = Simulation::new(ENTRIES, 12);
    simulation.enable_shares(&[]);
    simulation.run_sources(&sources(1.0), 4_000);
    let burst = burst_with_hot_key();
    simulation.run_sources(&burst, 2_000);
    change(&mut simulation);
    simulation.start_counting();
    let submitted = simulation.run_sources(&burst, BURST_MS);
    simulation.run_sources(&[], 3_000);
    least_served(&simulation, &submitted)
}

/// Guards against an entry that is killed, or has just started, and has other customers' requests
/// rejected.
#[test]
fn shares_hold_while_an_entry_is_killed_and_starts() {
    let (least, name) = least_served_after(|simulation| simulation.restart_entry(0));
    assert!(least >= 0.8, "{name}: {least}");
}

/// Guards against an entry that is cut off and takes more than its part, or serves its callers
/// unequally.
#[test]
fn shares_hold_while_an_entry_is_cut_off() {
    let (least, name) = least_served_after(|simulation| {
        simulation.cut_off.insert(0);
    });
    assert!(least >= 0.8, "{name}: {least}");
}

/// Guards against capacity that was lent and doesn't return.
#[test]
fn lent_capacity_returns_within_a_service_time() {
    let mut simulation = Simulation::new(ENTRIES, 12);
    simulation.enable_shares(&[]);
    // A few streams at each entry, from which it learns how long passes take.
    let others = Source {
        customer: "c5".to_owned(),
        priority: 1,
        rates: vec![2.0; ENTRIES],
    };
    let borrower = [others.clone(), source(0, 150.0)];
    simulation.run_sources(&borrower, 6_000);
    let lent = simulation.running_count("c0");
    assert!(lent >= 100, "{lent} lent, as nobody else asks");
    // Another customer wants the half of all slots.
    let both = [others, source(0, 150.0), source(4, 50.0)];
    let service_time_ms = 1_500;
    simulation.run_sources(&both, service_time_ms + 300);
    let [borrower, owner] = ["c0", "c4"].map(|name| simulation.running_count(name));
    assert!(
        owner * 10 >= (borrower + owner) * 4,
        "{borrower} and {owner}"
    );
}

/// Guards against weights that have no effect.
#[test]
fn capacity_is_divided_by_weight() {
    let mut simulation = Simulation::new(ENTRIES, 12);
    simulation.enable_shares(&[("c1", 3.0)]);
    let sources = [source(0, 120.0), source(1, 120.0)];
    simulation.run_sources(&sources, 8_000);
    let [one, three] = ["c0", "c1"].map(|name| simulation.running_count(name));
    assert!((2 * one..=4 * one).contains(&three), "{one} and {three}");
}

/// Guards against a strict order of priorities that starves a route.
#[test]
fn each_priority_gets_one_in_eight_placements() {
    let mut simulation = Simulation::new(1, 12);
    simulation.enable_shares(&[]);
    // One customer for each priority, so that shares and priorities can be told apart by name,
    // and a weight for the most urgent with which it is never over its share.
    simulation.enable_shares(&[("c0", 1_000.0), ("c1", 1_000.0), ("c2", 1_000.0)]);
    let sources = [(0, 200.0), (1, 60.0), (2, 60.0)].map(|(priority, rate)| Source {
        customer: name(priority.into()),
        priority,
        rates: vec![rate],
    });
    simulation.run_sources(&sources, 3_000);
    simulation.start_counting();
    simulation.run_sources(&sources, 5_000);
    simulation.run_sources(&[], 3_000);
    let outcomes = &simulation.customer_outcomes;
    let [first, second, third] = [0, 1, 2].map(|number| served(outcomes, &name(number)));
    let all = first + second + third;
    assert!(first > second && first > third, "{outcomes:?}");
    for served in [second, third] {
        assert!(served * 9.0 >= all, "{outcomes:?}");
    }
}

/// A dispatcher with shares that has one upstream with four slots and no engine.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    dispatcher.set_shares(Some(&Weights::default()));
    dispatcher.set_upstreams([replica("u0", 4)].iter());
    dispatcher
}

/// A request of a customer.
fn request(now: u64, customer: &str) -> PlacementRequest {
    PlacementRequest {
        customer: Some(customer.into()),
        max_gap: None,
        ..stream(now)
    }
}

/// Submits a request of a customer.
fn submit(dispatcher: &mut Dispatcher, now: u64, ticket: u64, customer: &str) {
    let request = request(now, customer);
    dispatcher.record_arrival(ms(now), request.customer.as_ref(), request.work);
    dispatcher.submit(ms(now), ticket, request);
}

/// Guards against usage that grows with the number of customers: 16,000 of them send to one
/// entry.
#[test]
fn state_and_reports_are_bounded_with_many_customers() {
    let mut dispatcher = dispatcher();
    for ticket in 0..16_000 {
        let now = ticket / 10;
        submit(&mut dispatcher, now, ticket, &format!("c{ticket}"));
        if ticket % 200 > 0 {
            continue;
        }
        dispatcher.process_queue(ms(now));
        let status = dispatcher.share_status(ms(now)).expect("enabled");
        assert!(status.tracked <= MAX_TRACKED_CUSTOMERS, "{status:?}");
    }
    let usage = dispatcher.usage(ms(1_600)).expect("a shortage");
    assert_eq!(usage.largest.len(), MAX_REPORTED_CUSTOMERS);
    assert!(usage.total.demand() > 100.0, "{usage:?}");
}

/// Guards against usage of a customer that is evicted while it has requests in service, and whose
/// work would then count for ever.
#[test]
fn work_ends_when_its_customer_is_not_tracked() {
    let mut dispatcher = Dispatcher::new("a".into(), 1);
    dispatcher.set_shares(Some(&Weights::default()));
    dispatcher.set_upstreams([replica("u0", 10_000)].iter());
    for ticket in 0..5_000 {
        submit(&mut dispatcher, 0, ticket, &format!("c{ticket}"));
        assert_eq!(dispatcher.process_queue(ms(0)).len(), 1);
    }
    for ticket in 0..5_000 {
        dispatcher.finish_work(ticket);
        dispatcher.finish_work(ticket);
    }
    // A report of a peer makes this entry report its own usage.
    let shortage = Usage {
        shortage: true,
        ..Usage::default()
    };
    assert!(dispatcher.record_usage(ms(60_000), 1, (1, 1), shortage));
    let usage = dispatcher.usage(ms(60_000)).expect("a shortage at a peer");
    assert!(usage.total.in_service.abs() < 1e-6, "{usage:?}");
    assert_eq!(usage.customers, 0);
}

/// Guards against reports that replace newer ones, are implausible, or count for an entry that is
/// no longer live; and against reports without a shortage.
#[test]
fn outdated_and_implausible_reports_are_dropped() {
    let mut dispatcher = dispatcher();
    assert_eq!(dispatcher.usage(ms(0)), None);
    let work = |in_service| Work {
        in_service,
        ..Work::default()
    };
    let usage = |in_service| Usage {
        shortage: true,
        customers: 1,
        total: work(in_service),
        largest: vec![(5, work(in_service))],
    };
    assert!(dispatcher.record_usage(ms(10), 1, (2, 7), usage(1.0)));
    assert!(!dispatcher.record_usage(ms(20), 1, (2, 6), usage(1.0)));
    assert!(!dispatcher.record_usage(ms(20), 1, (1, 9), usage(1.0)));
    for implausible in [f64::NAN, f64::INFINITY, -1.0, 1e300] {
        assert!(!dispatcher.record_usage(ms(20), 1, (2, 8), usage(implausible)));
    }
    assert!(dispatcher.record_usage(ms(30), 1, (3, 1), usage(1.0)));
    assert!(dispatcher.usage(ms(40)).is_some());
    let peers = |dispatcher: &Dispatcher| dispatcher.share_status(ms(40)).map(|s| s.peers);
    assert_eq!(peers(&dispatcher), Some(1));
    dispatcher.retain_usage(|peer| peer != 1);
    assert_eq!(peers(&dispatcher), Some(0));
    assert_eq!(dispatcher.usage(ms(40)), None);
}

/// Guards against shares that hold customers back although there is capacity for all.
#[test]
fn nobody_is_over_its_share_without_a_shortage() {
    let mut dispatcher = dispatcher();
    for ticket in 0..4 {
        submit(&mut dispatcher, 0, ticket, "a");
    }
    assert_eq!(dispatcher.process_queue(ms(0)).len(), 4);
    assert_eq!(dispatcher.is_over_share(ms(0), Some("a")), None);
}

/// Guards against a customer over its share that is held back at an upstream with capacity though
/// nobody else waits: requests that aren't streams may wait at the ranks of an engine.
#[test]
fn a_request_that_is_no_stream_uses_an_engine_beyond_its_slots() {
    let mut dispatcher = dispatcher();
    dispatcher.set_engine(Some(&engine()));
    for ticket in 0..9 {
        submit(&mut dispatcher, 0, ticket, "a");
    }
    assert_eq!(dispatcher.process_queue(ms(0)).len(), 8);
    assert_eq!(dispatcher.process_queue(ms(10)), []);
    assert_eq!(dispatcher.is_over_share(ms(10), Some("a")), Some(true));
    dispatcher.set_upstreams([replica("u0", 5)].iter());
    let verdicts = dispatcher.process_queue(ms(20));
    assert_eq!(verdicts, [(8, Verdict::Send("u0".into()))]);
}

/// Guards against a freed slot that goes to a customer over its share while one under its share
/// waits, because its request came earlier or is more urgent.
#[test]
fn a_freed_slot_goes_to_the_customer_under_its_share() {
    let mut dispatcher = dispatcher();
    for ticket in 0..8 {
        submit(&mut dispatcher, 0, ticket, "a");
    }
    assert_eq!(dispatcher.process_queue(ms(0)).len(), 8);
    dispatcher.submit(
        ms(1),
        8,
        PlacementRequest {
            priority: 0,
            ..request(1, "a")
        },
    );
    submit(&mut dispatcher, 2, 9, "b");
    assert_eq!(dispatcher.process_queue(ms(3)), []);
    dispatcher.finish_work(0);
    dispatcher.finish_attempt(ms(4), "u0", AttemptOutcome::Good);
    let verdicts = dispatcher.process_queue(ms(4));
    assert_eq!(verdicts, [(9, Verdict::Send("u0".into()))]);
}
