//! Measures the cost of a decision at the fleet size expected in two years: at one of
//! 1,000 entries, with 12,000 upstreams and 16,000 customers.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use verbenaspool_policy::{
    attempt::{Ending, Id, Outcome},
    decision::{Decision, Start},
    member::{Member, Peer},
    request::Request,
};
use verbenaspool_state::name::Name;

use super::{policy::Policy, score::Score, simulator::name};

pub const UPSTREAMS: usize = 12_000;
pub const CUSTOMERS: usize = 16_000;
pub const ENTRIES: usize = 1_000;
pub const ZONES: usize = 11;
const MEASURED_REQUESTS: u32 = 20_000;
/// The time between two requests: 34,000 per second over all entries.
const ARRIVAL_INTERVAL: Duration = Duration::from_nanos(29_411_765);
/// How long each request runs.
const SERVICE_TIME: Duration = Duration::from_secs(4);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// Returns all upstreams of the fleet.
pub fn members() -> Vec<Member> {
    (0..UPSTREAMS)
        .map(|upstream| Member {
            name: name("upstream", upstream),
            zone: name("zone", upstream % ZONES),
            group: None,
            incarnation: 1,
            speed: 1.0,
            leaving: false,
        })
        .collect()
}

/// Returns all entries of the fleet.
pub fn peers() -> Vec<Peer> {
    (0..ENTRIES)
        .map(|entry| Peer {
            name: name("entry", entry),
            zone: name("zone", entry % ZONES),
        })
        .collect()
}

/// Offers requests to one entry at `load_factor` times its share of the fleet's rate.
pub fn run(policy: &mut dyn Policy, load_factor: u32) -> Score {
    let customers: Vec<Name> = (0..CUSTOMERS)
        .map(|customer| name("customer", customer))
        .collect();
    let mut random = SmallRng::seed_from_u64(1);
    let mut running: BinaryHeap<Reverse<(Duration, Id)>> = BinaryHeap::new();
    let mut decision_time = Duration::ZERO;
    let (mut decisions, mut answered) = (0_u64, 0_u64);
    let mut start = |now: Duration, start: &Start, running: &mut BinaryHeap<_>| {
        running.push(Reverse((now + SERVICE_TIME, start.attempt)));
        answered += 1;
    };
    for i in 0..MEASURED_REQUESTS {
        let now = ARRIVAL_INTERVAL * i / load_factor;
        while let Some(&Reverse((end, attempt))) = running.peek().filter(|r| r.0.0 <= now) {
            running.pop();
            let outcome = Outcome {
                ending: Ending::Ran,
                took: SERVICE_TIME,
                prompt_tokens: 100,
                tokens: 400,
            };
            policy.finish(end, attempt, &outcome);
        }
        let customer = &customers[random.random_range(0..CUSTOMERS)];
        let request = Request {
            customer,
            priority: 0,
            deadline: now + REQUEST_TIMEOUT,
            idempotent: true,
            prompt_tokens: 100,
            max_tokens: 800,
            prefixes: &[],
        };
        let started_at = Instant::now();
        let decision = policy.offer(now, &request);
        let resolved = policy.poll(now);
        decision_time += started_at.elapsed();
        decisions += 1 + resolved.len() as u64;
        if let Decision::Admit(admitted) = decision {
            start(now, &admitted, &mut running);
        }
        for started in resolved
            .iter()
            .filter_map(|resolution| resolution.result.as_ref().ok())
        {
            start(now, started, &mut running);
        }
    }
    Score {
        p50_ms: f64::NAN,
        p99_ms: f64::NAN,
        goodput: f64::NAN,
        fairness: f64::NAN,
        deadlines_met: answered as f64 / f64::from(MEASURED_REQUESTS),
        ns_per_decision: decision_time.as_nanos() as f64 / decisions as f64,
        ..Score::default()
    }
}
