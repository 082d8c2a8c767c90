//! Short attempts whose measured time varies for reasons other than the upstream's load.

use std::time::Duration;

use verbenaspool_policy::{
    attempt::{Ending, Outcome},
    decision::Decision,
    request::Request,
};
use verbenaspool_state::decisions::Decisions;

use super::common::{SECOND, balancer, member, name};

/// Measured times of attempts at a service that takes 1 ms, in microseconds.
const OBSERVED_TIMES_US: [u64; 6] = [900, 2_400, 1_100, 3_900, 1_000, 2_000];

#[test]
fn a_fast_service_keeps_its_limit() {
    // Guards against a limit that shrinks for delays in the entry. Answers of a plain
    // service took 2 to 4 ms instead of 1 ms because the entry itself was busy. The
    // balancer took that for a full upstream and lowered the limit to one attempt, so
    // callers were queued while the instance was idle.
    let settings = Decisions::default();
    let mut balancer = balancer(&settings, &[member("jobs-1")]);
    let customer = name("bowen-loft");
    let mut now = SECOND;
    for round in 0..200 {
        let request = Request {
            customer: &customer,
            priority: 0,
            deadline: now + 10 * SECOND,
            idempotent: false,
            prompt_tokens: 0,
            max_tokens: 0,
            prefixes: &[],
        };
        let mut started = Vec::new();
        while let Decision::Admit(start) = balancer.offer(now, &request) {
            started.push(start);
            if started.len() == 16 {
                break;
            }
        }
        for (i, start) in started.iter().enumerate() {
            let took =
                Duration::from_micros(OBSERVED_TIMES_US[(round + i) % OBSERVED_TIMES_US.len()]);
            let outcome = Outcome {
                ending: Ending::Ran,
                took,
                prompt_tokens: 0,
                tokens: 0,
            };
            now += Duration::from_micros(100);
            balancer.finish(now, start.attempt, &outcome);
            for resolution in balancer.poll(now) {
                if let Ok(start) = resolution.result {
                    balancer.finish(now, start.attempt, &outcome);
                }
            }
        }
        now += Duration::from_millis(4);
    }
    let limit = balancer.snapshot(now).upstreams[0].limit;
    assert!(limit >= settings.initial_limit, "the limit is {limit}");
}
