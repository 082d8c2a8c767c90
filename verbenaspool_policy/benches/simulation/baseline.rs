//! Simple policies that the balancer is compared with.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use verbenaspool_policy::{
    attempt::{Ending, Id, Outcome},
    decision::{Decision, Reason, Rejection, Resolution, Start, Ticket},
    member::Member,
    request::Request,
};
use verbenaspool_state::name::Name;

use super::policy::Policy;

/// How a baseline chooses an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Each upstream in turn, regardless of its load.
    RoundRobin,
    /// The upstream with the fewest attempts in flight from this entry, without a limit.
    LeastInFlight,
    /// A random upstream; the request is rejected if that has reached a fixed limit.
    RandomLimit,
}

impl Kind {
    pub const ALL: [Self; 3] = [Self::RoundRobin, Self::LeastInFlight, Self::RandomLimit];

    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastInFlight => "least-in-flight",
            Self::RandomLimit => "random-limit",
        }
    }
}

/// The most attempts that one entry has in flight at one upstream with
/// [`Kind::RandomLimit`]: four entries fill a batch of 16.
const MAX_IN_FLIGHT: u32 = 4;

#[derive(Debug)]
pub struct Baseline {
    kind: Kind,
    members: Vec<Name>,
    in_flight: HashMap<Name, u32>,
    upstreams_by_attempt: HashMap<Id, Name>,
    last_id: u64,
    random: SmallRng,
}

impl Baseline {
    pub fn new(kind: Kind, seed: u64) -> Self {
        Self {
            kind,
            members: Vec::new(),
            in_flight: HashMap::new(),
            upstreams_by_attempt: HashMap::new(),
            last_id: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn choose(&mut self) -> Option<Name> {
        let count = self.members.len();
        if count == 0 {
            return None;
        }
        let load = |name: &Name| self.in_flight.get(name).copied().unwrap_or(0);
        match self.kind {
            Kind::RoundRobin => Some(self.members[self.last_id as usize % count].clone()),
            Kind::LeastInFlight => {
                let from = self.last_id as usize % count;
                (from..count)
                    .chain(0..from)
                    .map(|i| &self.members[i])
                    .min_by_key(|name| load(name))
                    .cloned()
            }
            Kind::RandomLimit => {
                let name = &self.members[self.random.random_range(0..count)];
                (load(name) < MAX_IN_FLIGHT).then(|| name.clone())
            }
        }
    }
}

impl Policy for Baseline {
    fn set_members(&mut self, _now: Duration, members: &[Member]) {
        self.members = members
            .iter()
            .filter(|m| !m.leaving)
            .map(|m| m.name.clone())
            .collect();
    }

    fn offer(&mut self, _now: Duration, _request: &Request<'_>) -> Decision {
        self.last_id += 1;
        let Some(upstream) = self.choose() else {
            return Decision::Reject(Rejection {
                reason: Reason::NoUpstream,
                retry_after: Duration::from_secs(1),
            });
        };
        let attempt = Id(self.last_id);
        *self.in_flight.entry(upstream.clone()).or_default() += 1;
        self.upstreams_by_attempt.insert(attempt, upstream.clone());
        Decision::Admit(Start { attempt, upstream })
    }

    fn poll(&mut self, _now: Duration) -> Vec<Resolution> {
        Vec::new()
    }

    fn cancel(&mut self, _now: Duration, _ticket: Ticket) {}

    fn finish(&mut self, _now: Duration, attempt: Id, _outcome: &Outcome) {
        if let Some(count) = self
            .upstreams_by_attempt
            .remove(&attempt)
            .and_then(|name| self.in_flight.get_mut(&name))
        {
            *count -= 1;
        }
    }

    fn retry(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        _ending: Ending,
        _tried: &[Name],
    ) -> Decision {
        self.offer(now, request)
    }
}
