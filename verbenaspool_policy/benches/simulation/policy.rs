//! The policy interface of the simulation, which is that of the balancer.

use std::time::Duration;

use verbenaspool_policy::{
    attempt::{Ending, Id, Outcome},
    balancer::Balancer,
    decision::{Decision, Resolution, Ticket},
    load::{CacheEvent, Report},
    member::Member,
    request::Request,
};
use verbenaspool_state::name::Name;

pub trait Policy {
    fn set_members(&mut self, now: Duration, members: &[Member]);
    fn offer(&mut self, now: Duration, request: &Request<'_>) -> Decision;
    fn poll(&mut self, now: Duration) -> Vec<Resolution>;
    fn cancel(&mut self, now: Duration, ticket: Ticket);
    fn finish(&mut self, now: Duration, attempt: Id, outcome: &Outcome);
    fn retry(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        ending: Ending,
        tried: &[Name],
    ) -> Decision;
    fn load_report(&mut self, _now: Duration, _upstream: &Name, _load: &Report) {}
    fn cache_event(&mut self, _now: Duration, _upstream: &Name, _event: CacheEvent) {}
    fn next_wake(&self) -> Option<Duration> {
        None
    }
}

impl Policy for Balancer {
    fn set_members(&mut self, now: Duration, members: &[Member]) {
        self.set_members(now, members);
    }
    fn offer(&mut self, now: Duration, request: &Request<'_>) -> Decision {
        self.offer(now, request)
    }
    fn poll(&mut self, now: Duration) -> Vec<Resolution> {
        self.poll(now)
    }
    fn cancel(&mut self, now: Duration, ticket: Ticket) {
        self.cancel(now, ticket);
    }
    fn finish(&mut self, now: Duration, attempt: Id, outcome: &Outcome) {
        self.finish(now, attempt, outcome);
    }
    fn retry(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        ending: Ending,
        tried: &[Name],
    ) -> Decision {
        self.retry(now, request, ending, tried)
    }
    fn load_report(&mut self, now: Duration, upstream: &Name, load: &Report) {
        self.load_report(now, upstream, load);
    }
    fn cache_event(&mut self, now: Duration, upstream: &Name, event: CacheEvent) {
        self.cache_event(now, upstream, event);
    }
    fn next_wake(&self) -> Option<Duration> {
        self.next_wake()
    }
}
