//! Shared helpers: a balancer with a few upstreams, and requests for it.

use std::time::Duration;

use verbenaspool_policy::{
    attempt::{Ending, Id, Outcome},
    balancer::Balancer,
    decision::{Decision, Rejection, Start, Ticket},
    member::Member,
    request::Request,
};
use verbenaspool_state::{decisions::Decisions, name::Name};

pub const SECOND: Duration = Duration::from_secs(1);

pub fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

pub fn member(text: &str) -> Member {
    Member {
        name: name(text),
        zone: name("zone-a"),
        group: None,
        incarnation: 1,
        speed: 1.0,
        leaving: false,
    }
}

/// Settings that limit each upstream to one attempt in flight.
pub fn single_attempt_settings() -> Decisions {
    Decisions {
        initial_limit: 1,
        max_limit: 1,
        ..Decisions::default()
    }
}

pub fn balancer(settings: &Decisions, members: &[Member]) -> Balancer {
    let mut balancer = Balancer::new(settings, name("entry-1"), name("zone-a"), 7);
    balancer.set_members(Duration::ZERO, members);
    balancer
}

/// A request for 100 tokens whose deadline is 10 s from now.
pub fn request(customer: &Name, now: Duration) -> Request<'_> {
    Request {
        customer,
        priority: 0,
        deadline: now + 10 * SECOND,
        idempotent: true,
        prompt_tokens: 0,
        max_tokens: 100,
        prefixes: &[],
    }
}

pub fn admitted(decision: Decision) -> Start {
    match decision {
        Decision::Admit(start) => start,
        other => panic!("not admitted: {other:?}"),
    }
}

pub fn waiting(decision: Decision) -> Ticket {
    match decision {
        Decision::Wait(ticket) => ticket,
        other => panic!("not queued: {other:?}"),
    }
}

pub fn rejected(decision: Decision) -> Rejection {
    match decision {
        Decision::Reject(rejection) => rejection,
        other => panic!("not rejected: {other:?}"),
    }
}

/// The outcome of an attempt that generated 100 tokens in one second.
pub const RAN_OUTCOME: Outcome = Outcome {
    ending: Ending::Ran,
    took: SECOND,
    prompt_tokens: 0,
    tokens: 100,
};

pub fn outcome_with(ending: Ending) -> Outcome {
    Outcome {
        ending,
        ..RAN_OUTCOME
    }
}

/// Runs `times` requests one after the other, from which the balancer learns that 100
/// tokens take one second. Returns the time at which the last one ended.
pub fn warm_up(balancer: &mut Balancer, customer: &Name, times: u32) -> Duration {
    for second in 0..times {
        let now = SECOND * second;
        let start = admitted(balancer.offer(now, &request(customer, now)));
        balancer.finish(now + SECOND, start.attempt, &RAN_OUTCOME);
    }
    SECOND * times
}

pub const UNKNOWN_ATTEMPT: Id = Id(u64::MAX);
